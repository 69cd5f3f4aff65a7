import { expect } from "chai";
import { applyChange, readSettingsHistory } from "../src/coordination/settingsChange.js";
import { editFrom } from "../src/state/settingsStateMachine.js";
import { effectiveValues, emptySettings } from "../src/state/settingsTree.js";
import type { SettingsState } from "../src/state/settingsTree.js";
import type { SettingsChange, SettingsRecord } from "../src/state/types.js";
import { memoryLog } from "./support/memoryLog.js";
import { seededRandom } from "./support/random.js";
import { steppedClock } from "./support/steppedClock.js";

const timeoutMilliseconds = 30_000;
const path = "availabilityZones/fes-medina";

const changeFrom = (state: SettingsState, author: string, value: Record<string, unknown>): SettingsChange => ({
    kind: "change",
    id: `${author}-1`,
    author,
    comment: "",
    edits: [editFrom(state, path, value)],
});

const startPlatform = () => {
    const clock = steppedClock(0);
    const log = memoryLog<SettingsRecord>(clock);
    const { signal } = new AbortController();
    const apply = (change: SettingsChange, stream = log.connect()) =>
        applyChange(change, { stream, timeoutMilliseconds, clock, random: seededRandom(1), signal });
    const readHistory = async () => (await readSettingsHistory(log.connect(), signal))._unsafeUnwrap();
    return { clock, log, apply, readHistory };
};

describe("settings change", () => {
    it("is accepted for one of two racing operators, and the other learns the path and the winner", async () => {
        const { apply, readHistory } = startPlatform();
        const salma = changeFrom(emptySettings, "salma", { state: "out" });
        const [first, second] = await Promise.all([apply(salma), apply(changeFrom(emptySettings, "idriss", {}))]);
        expect(first._unsafeUnwrap()).to.include({ kind: "accepted", offset: 0 });
        expect(second._unsafeUnwrap()).to.deep.equal({
            kind: "conflict",
            offset: 1,
            winners: [{ path, base: -1, winningOffset: 0, change: salma }],
        });
        expect(effectiveValues((await readHistory()).state, path)).to.deep.equal({ state: "out" });
    });

    it("is found in the log after a lost response and not applied over a later change", async () => {
        const { clock, log, apply, readHistory } = startPlatform();
        log.faults.loseAnswers = 1;
        const first = apply(changeFrom(emptySettings, "salma", { state: "out" }));
        await clock.advance(1);
        const { state } = await readHistory();
        await apply(changeFrom(state, "idriss", { state: "in" }));
        await clock.advance(1_000);
        expect((await first)._unsafeUnwrap()).to.include({ kind: "accepted", offset: 0 });
        expect(effectiveValues((await readHistory()).state, path)).to.deep.equal({ state: "in" });
    });

    it("counts once when it was appended twice because the first copy came late", async () => {
        const { log, apply, readHistory } = startPlatform();
        const change = changeFrom(emptySettings, "salma", { state: "out" });
        const { signal } = new AbortController();
        await log.connect().append(change, signal);
        expect((await apply(change))._unsafeUnwrap()).to.include({ kind: "accepted", offset: 0 });
        const { steps } = await readHistory();
        expect(steps.map(({ verdict }) => verdict.kind)).to.deep.equal(["accepted", "conflict"]);
    });

    it("is retried through an outage of the log and fails with `not-taken` if it lasts too long", async () => {
        const { clock, log, apply } = startPlatform();
        log.faults.outage = true;
        const retriedChange = apply(changeFrom(emptySettings, "salma", { state: "out" }));
        await clock.advance(5_000);
        log.faults.outage = false;
        await clock.advance(5_000);
        expect((await retriedChange)._unsafeUnwrap().kind).to.equal("accepted");
        log.faults.outage = true;
        const failedChange = apply(changeFrom(emptySettings, "idriss", {}));
        await clock.advance(timeoutMilliseconds);
        expect((await failedChange)._unsafeUnwrapErr().kind).to.equal("not-taken");
    });

    it("is `unsettled` while the log cannot be read after a lost response", async () => {
        const { clock, log, apply } = startPlatform();
        log.faults.loseAnswers = 1;
        const outcome = apply(changeFrom(emptySettings, "salma", { state: "out" }));
        await clock.advance(1);
        log.faults.outage = true;
        await clock.advance(timeoutMilliseconds);
        expect((await outcome)._unsafeUnwrapErr().kind).to.equal("unsettled");
    });
});
