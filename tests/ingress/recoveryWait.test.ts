/**
 * What callers get while all groups of a service are stalled: refused with a retry time first, and served late on their
 * second attempt if a group recovers before they disconnect.
 */
import { expect } from "chai";
import { createRecoveryWait, type RecoveryRequest } from "../../src/coordination/ingress/recoveryWait.js";
import type { IngressRoute } from "../../src/state/ingressTypes.js";
import { type SteppedClock, steppedClock } from "../support/steppedClock.js";

const stallMilliseconds = 6_000;
const timeoutMilliseconds = 8_000;

const route = (objectiveMilliseconds: number): IngressRoute =>
    ({ objectiveMilliseconds, gapTargetMilliseconds: 120, timeoutMilliseconds }) as IngressRoute;

const secondAttempt = (clock: SteppedClock, changes: Partial<RecoveryRequest> = {}): RecoveryRequest => ({
    service: "model",
    route: route(400),
    arrivedAt: clock.now(),
    callerDeadlineAt: clock.now() + 5_400,
    responseDueAt: clock.now() + 5_400,
    signal: new AbortController().signal,
    ...changes,
});

/** Whether each request waited until the recovery, and for how long. */
const play = async (attemptsAt: number[], changes?: Partial<RecoveryRequest>) => {
    const clock = steppedClock(0);
    const wait = createRecoveryWait({ clock, random: () => 0.5, isRecovering: () => clock.now() < stallMilliseconds });
    const results: { hasRecovered: boolean; waited: number; }[] = [];
    for (const attemptAt of attemptsAt) {
        await clock.advance(attemptAt - clock.now());
        const arrivedAt = clock.now();
        void wait.untilRecovered(secondAttempt(clock, changes)).then(hasRecovered => {
            results.push({ hasRecovered, waited: clock.now() - arrivedAt });
        });
    }
    await clock.advance(10_000);
    return { results, waiting: wait.waiting() };
};

describe("waiting for a group to recover", () => {
    it("does not refuse a second attempt that can still be served before its caller disconnects", async () => {
        const { results, waiting } = await play([5_000, 5_900]);
        expect(results.map(({ hasRecovered }) => hasRecovered)).to.deep.equal([true, true]);
        expect(waiting).to.equal(0);
    });

    it("gives up in time for callers that disconnect after two seconds without an event", async () => {
        const { results } = await play([1_000]);
        expect(results[0]?.hasRecovered).to.equal(false);
        expect(results[0]?.waited).to.be.lessThan(1_700);
    });

    it("waits longer for callers with a longer objective, but never beyond their deadline", async () => {
        const { results: patient } = await play([3_000], { route: route(1_000) });
        expect(patient[0]?.hasRecovered).to.equal(true);
        const { results: bounded } = await play([3_000], { route: route(1_000), responseDueAt: 4_000 });
        expect(bounded[0]).to.include({ hasRecovered: false });
        expect(bounded[0]?.waited).to.be.lessThan(1_000);
    });

    it("refuses a first attempt at once, as its caller can come back", async () => {
        const { results } = await play([5_000], { callerDeadlineAt: 5_000 + timeoutMilliseconds });
        expect(results[0]).to.deep.equal({ hasRecovered: false, waited: 0 });
    });

    it("does not wait for a caller that has disconnected", async () => {
        const { results } = await play([5_000], { signal: AbortSignal.abort() });
        expect(results[0]).to.include({ hasRecovered: false });
    });
});
