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

const platform = () => {
    const clock = steppedClock(0);
    const log = memoryLog<SettingsRecord>(clock);
    const { signal } = new AbortController();
    const apply = (change: SettingsChange, stream = log.connect()) =>
        applyChange(change, { stream, timeoutMilliseconds, clock, random: seededRandom(1), signal });
    const reading = async () => (await readSettingsHistory(log.connect(), signal))._unsafeUnwrap();
    return { clock, log, apply, reading };
};

describe("settings change", () => {
    it("of two racing operators is accepted for one, and the other is told the path and the winner", async () => {
        const { apply, reading } = platform();
        const salma = changeFrom(emptySettings, "salma", { state: "out" });
        const [first, second] = await Promise.all([apply(salma), apply(changeFrom(emptySettings, "idriss", {}))]);
        expect(first._unsafeUnwrap()).to.include({ kind: "accepted", offset: 0 });
        expect(second._unsafeUnwrap()).to.deep.equal({
            kind: "conflict",
            offset: 1,
            winners: [{ path, base: -1, winningOffset: 0, change: salma }],
        });
        expect(effectiveValues((await reading()).state, path)).to.deep.equal({ state: "out" });
    });

    it("whose append's answer is lost is found in the log and not applied over a later change", async () => {
        const { clock, log, apply, reading } = platform();
        log.faults.loseAnswers = 1;
        const first = apply(changeFrom(emptySettings, "salma", { state: "out" }));
        await clock.run(1);
        const { state } = await reading();
        await apply(changeFrom(state, "idriss", { state: "in" }));
        await clock.run(1_000);
        expect((await first)._unsafeUnwrap()).to.include({ kind: "accepted", offset: 0 });
        expect(effectiveValues((await reading()).state, path)).to.deep.equal({ state: "in" });
    });

    it("appended twice, since the first copy came late, counts once", async () => {
        const { log, apply, reading } = platform();
        const change = changeFrom(emptySettings, "salma", { state: "out" });
        const { signal } = new AbortController();
        await log.connect().append(change, signal);
        expect((await apply(change))._unsafeUnwrap()).to.include({ kind: "accepted", offset: 0 });
        const { steps } = await reading();
        expect(steps.map(({ verdict }) => verdict.kind)).to.deep.equal(["accepted", "conflict"]);
    });

    it("waits out an outage of the log and says `not-taken` if it lasts too long", async () => {
        const { clock, log, apply } = platform();
        log.faults.outage = true;
        const patient = apply(changeFrom(emptySettings, "salma", { state: "out" }));
        await clock.run(5_000);
        log.faults.outage = false;
        await clock.run(5_000);
        expect((await patient)._unsafeUnwrap().kind).to.equal("accepted");
        log.faults.outage = true;
        const hopeless = apply(changeFrom(emptySettings, "idriss", {}));
        await clock.run(timeoutMilliseconds);
        expect((await hopeless)._unsafeUnwrapErr().kind).to.equal("not-taken");
    });

    it("is `unsettled` as long as the log can't be read after a lost answer", async () => {
        const { clock, log, apply } = platform();
        log.faults.loseAnswers = 1;
        const outcome = apply(changeFrom(emptySettings, "salma", { state: "out" }));
        await clock.run(1);
        log.faults.outage = true;
        await clock.run(timeoutMilliseconds);
        expect((await outcome)._unsafeUnwrapErr().kind).to.equal("unsettled");
    });
});
