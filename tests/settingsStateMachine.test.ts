import { expect } from "chai";
import { applySettingsRecord, applySettingsRecords, editFrom, snapshotOf } from "../src/state/settingsStateMachine.js";
import { effectiveValues, emptySettings, valueOrigins } from "../src/state/settingsTree.js";
import type { SettingsState } from "../src/state/settingsTree.js";
import type { LogRecord, SettingsChange, SettingsEdit, SettingsRecord } from "../src/state/types.js";

const change = (...edits: SettingsEdit[]): SettingsChange => ({
    kind: "change",
    id: "x",
    author: "",
    comment: "",
    edits,
});

const at = (offset: number, body: SettingsRecord): LogRecord<SettingsRecord> => ({ offset, appendedAt: offset, body });

const next = (state: SettingsState, ...edits: SettingsEdit[]) =>
    applySettingsRecord(state, at(state.offset + 1, change(...edits)));

describe("settings state machine", () => {
    it("lets a child override only what differs and reports the origin of each value", () => {
        const { state } = next(
            emptySettings,
            { path: "", base: -1, value: { queueLimit: 8 } },
            { path: "clientAccounts/clerks", base: -1, value: { priority: "batch", apiKeyDigests: ["a"] } },
            { path: "clientAccounts/clerks/fes", base: -1, value: { requestsPerSecond: 2 } },
        );
        expect(effectiveValues(state, "clientAccounts/clerks/fes"))
            .to.deep.equal({ queueLimit: 8, priority: "batch", requestsPerSecond: 2 });
        expect(valueOrigins(state, "clientAccounts/clerks/fes")).to.deep.equal({
            queueLimit: "",
            priority: "clientAccounts/clerks",
            requestsPerSecond: "clientAccounts/clerks/fes",
        });
    });

    it("accepts one of two racing changes and names the path and the winner in the other's conflict", () => {
        const edit = editFrom(emptySettings, "availabilityZones/savo-kuopio", { state: "out" });
        const first = next(emptySettings, edit);
        const second = next(first.state, { ...edit, value: { state: "in" } });
        expect(first.verdict.kind).to.equal("accepted");
        expect(second.verdict).to.deep.include({
            kind: "conflict",
            conflicts: [{ path: "availabilityZones/savo-kuopio", base: -1, winningOffset: 0 }],
        });
        expect(effectiveValues(second.state, "availabilityZones/savo-kuopio")).to.deep.equal({ state: "out" });
    });

    it("treats the removal of an ancestor as a change of every path below it, including recreated paths", () => {
        const made = next(emptySettings, { path: "groups/council", base: -1, value: { ranks: 4 } }).state;
        const late = editFrom(made, "groups/council/night", { capacity: 2 });
        const removed = next(made, editFrom(made, "groups", undefined)).state;
        const again = next(removed, editFrom(removed, "groups/council", { ranks: 8 })).state;
        expect(effectiveValues(removed, "groups/council")).to.deep.equal({});
        expect(next(again, late).verdict.kind).to.equal("conflict");
    });

    it("rejects a removal based on a revision before a change below the removed path", () => {
        const made = next(emptySettings, { path: "groups/council", base: -1, value: {} }).state;
        const removal = editFrom(made, "groups", undefined);
        const changed = next(made, editFrom(made, "groups/council", { ranks: 8 })).state;
        expect(next(changed, removal).verdict.kind).to.equal("conflict");
    });

    it("never returns to a lower offset and never applies records past a gap", () => {
        const { state } = next(emptySettings, { path: "", base: -1, value: { queueLimit: 1 } });
        const blank = change({ path: "", base: -1, value: {} });
        expect(applySettingsRecord(state, at(0, blank)))
            .to.deep.equal({ state, verdict: { kind: "repeated" } });
        expect(applySettingsRecord(state, at(2, blank)))
            .to.deep.equal({ state, verdict: { kind: "gap" } });
    });

    it("starts from a snapshot and the records after its upToOffset when earlier records are gone", () => {
        const first = next(emptySettings, { path: "", base: -1, value: { queueLimit: 1 } }).state;
        const snapshot = at(2, snapshotOf(first));
        const between = at(1, change(editFrom(first, "", { queueLimit: 2 })));
        const full = applySettingsRecords(first, [between, snapshot]).state;
        expect(applySettingsRecords(emptySettings, [between, snapshot]).state).to.deep.equal(full);
        expect(applySettingsRecords(emptySettings, [snapshot]).state).to.deep.equal(emptySettings);
    });

    it("skips records that it does not understand, as every other version does", () => {
        const junk = [{ kind: "later" }, 7, null, { kind: "change", id: "x", edits: [{ path: "a//b", base: -1 }] }];
        const records = junk.map((body, offset) => at(offset, body as unknown as SettingsRecord));
        expect(applySettingsRecords(emptySettings, records).state).to.deep.equal({ offset: 3, nodes: new Map() });
    });
});
