import { expect } from "chai";
import fc from "fast-check";
import {
    brokenSettingsRules,
    emptySpecReader,
    exploreSettings,
    settingsRules,
    specBase,
    specFold,
} from "../spec/settingsAcceptance.js";
import type { SettingsSpecSize, SpecReader, SpecRecord } from "../spec/settingsAcceptance.js";
import {
    adoptSettings,
    applySettingsRecords,
    editFrom,
    lastTouchedOffset,
    snapshotOf,
    stateFromSnapshot,
} from "../src/state/settingsStateMachine.js";
import { emptySettings, nodeAt } from "../src/state/settingsTree.js";
import type { SettingsState } from "../src/state/settingsTree.js";
import type { LogRecord, SettingsRecord, SettingsSnapshot } from "../src/state/types.js";

const sizes: SettingsSpecSize[] = [
    { paths: ["p", "p/c"], readers: 1, changes: 3, copies: 1, snapshots: 0, restarts: 0 },
    { paths: ["p", "p/c"], readers: 2, changes: 2, copies: 0, snapshots: 1, restarts: 1 },
];
const seed = 20_261;
const paths = ["p", "p/c", "p/c/d", "p/e", "q"];
const readerCount = 3;

describe("settings acceptance", () => {
    for (const size of sizes) {
        it(`holds its invariants in every state of ${JSON.stringify(size)}`, () => {
            const { states, broken } = exploreSettings(settingsRules, size);
            console.log(`      ${states} states`);
            expect(broken).to.deep.equal([]);
        });
    }

    for (const { name, rules, breaks } of brokenSettingsRules) {
        it(`detects a ${name}`, () => {
            const found = sizes.map(size => exploreSettings(rules, size).broken);
            expect(found.flat()).to.include(breaks);
        });
    }

    it("matches the daemons' state machine, with snapshots, lost records, gossip and restarts", () => {
        const index = fc.nat(100);
        const kind = (name: string, weight: number) => ({ weight, arbitrary: fc.constant(name) });
        const command = fc.record({
            kind: fc.oneof(
                kind("change", 6),
                kind("copy", 1),
                kind("drop", 3),
                kind("restart", 2),
                kind("snapshot", 3),
                kind("read", 6),
                kind("relay", 1),
            ),
            index,
            path: index,
            removes: fc.boolean(),
        });
        fc.assert(
            fc.property(fc.array(command, { maxLength: 60 }), commands => {
                const run = startComparison();
                commands.forEach(run);
            }),
            { seed, numRuns: 500 },
        );
    });
});

type Command = { kind: string; index: number; path: number; removes: boolean; };

/** Applies commands to the real state machine and to the specification, and compares every reader after each. */
const startComparison = (): (command: Command) => void => {
    const log: LogRecord<SettingsRecord>[] = [];
    const expectedStates: { state: SettingsState; spec: SpecReader; }[] = [{
        state: emptySettings,
        spec: emptySpecReader(paths),
    }];
    const readers: SettingsState[] = Array.from({ length: readerCount }, () => emptySettings);
    let firstKeptOffset = 0;

    const append = (body: SettingsRecord, specRecord: SpecRecord): void => {
        const last = expectedStates.at(-1)!;
        const record = { offset: log.length, appendedAt: 0, body };
        log.push(record);
        const { state, steps } = applySettingsRecords(last.state, [record]);
        const { reader, accepted } = specFold(settingsRules, last.spec, specRecord);
        expect(steps[0]!.verdict.kind === "accepted").to.equal(accepted);
        expectedStates.push({ state, spec: reader });
    };

    const specRecordOf = (body: SettingsRecord): SpecRecord => {
        if (body.kind === "snapshot") {
            return { kind: "snapshot", upToOffset: body.upToOffset, tree: {} };
        }
        const { path, base, value } = body.edits[0]!;
        return { kind: "change", edit: { path, base, removes: value === undefined }, plannedFrom: -1 };
    };

    const handlers: Record<string, (command: Command) => void> = {
        change: ({ index, path, removes }) => {
            const seen = expectedStates[index % expectedStates.length]!;
            const name = paths[path % paths.length]!;
            const edit = editFrom(seen.state, name, removes ? undefined : { at: log.length });
            expect(edit.base).to.equal(specBase(seen.spec.tree, { path: name, removes: removes }));
            const body: SettingsRecord = { kind: "change", id: "x", author: "", comment: "", edits: [edit] };
            append(body, specRecordOf(body));
        },
        copy: ({ index }) => {
            const original = log[index % Math.max(log.length, 1)];
            if (original !== undefined) {
                append(original.body, specRecordOf(original.body));
            }
        },
        snapshot: ({ index }) => {
            const body = snapshotOf(readers[index % readerCount]!);
            append(body, specRecordOf(body));
        },
        drop: ({ index }) => {
            firstKeptOffset = Math.min(firstKeptOffset + index % 4, log.length);
        },
        restart: ({ index }) => {
            readers[index % readerCount] = emptySettings;
        },
        read: ({ index, path }) => {
            const current = readers[index % readerCount]!;
            const records = log.filter(({ offset }) => offset >= firstKeptOffset && offset > current.offset);
            readers[index % readerCount] = applySettingsRecords(current, records.slice(0, path % 32)).state;
        },
        relay: ({ index, path }) => {
            const other = JSON.parse(JSON.stringify(snapshotOf(readers[path % readerCount]!))) as SettingsSnapshot;
            readers[index % readerCount] = adoptSettings(readers[index % readerCount]!, stateFromSnapshot(other));
        },
    };

    return command => {
        const before = readers.map(({ offset }) => offset);
        handlers[command.kind]!(command);
        readers.forEach((state, position) => {
            const { spec } = expectedStates[state.offset + 1]!;
            for (const path of paths) {
                expect(nodeAt(state, path)?.["at"] ?? -1).to.equal(spec.tree[path]!.value);
                expect(lastTouchedOffset(state, path, false)).to.equal(spec.tree[path]!.lastTouch);
            }
            expect(state.offset >= before[position]! || command.kind === "restart").to.be.true;
        });
    };
};
