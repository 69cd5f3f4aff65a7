/**
 * Simulates the fair queue of an entry on a virtual clock, in front of overloaded upstreams: one account sends far more
 * than its fair share, another sends little.
 */
import { createFairQueue } from "../coordination/fairQueue.js";
import type { Clock, RandomNumber } from "../state/types.js";
import { LatencyHistogram } from "./measurements.js";

export type QueueModelResult = {
    smallAccount: LatencyHistogram;
    largeAccount: LatencyHistogram;
    /** Percentage of the small account's requests that were refused. */
    refusedPercent: number;
};

const seconds = 60;
const stepMilliseconds = 20;
const concurrencyLimit = 64;
const serviceMilliseconds = 1_000;
const smallRequestsPerSecond = 8;
const largeRequestsPerSecond = 120;
const deadlineMilliseconds = 10_000;
const queueLimit = 256;

const flushPromises = (): Promise<void> => new Promise(resolve => setImmediate(resolve));

/** Runs the simulation; `first come` is the baseline that queues all requests under one account. */
export const runQueueModel = async (order: "first come" | "fair", random: RandomNumber): Promise<QueueModelResult> => {
    let now = 0;
    // `dispatch` refuses requests whose deadline has passed, so the model needs no timers.
    const clock: Clock = { now: () => now, sleep: () => new Promise(() => undefined) };
    const queue = createFairQueue(clock, () => queueLimit);
    const latencies = { small: new LatencyHistogram(), large: new LatencyHistogram() };
    const counts = { submitted: 0, refused: 0 };
    let runningUntil: number[] = [];

    const submitRequest = async (account: "small" | "large"): Promise<void> => {
        const arrivedAt = now;
        counts.submitted += account === "small" ? 1 : 0;
        const submission = await queue.submit<number>({
            clientAccount: order === "fair" ? account : "everyone",
            priority: "standard",
            tokens: 100,
            startDeadline: now + deadlineMilliseconds,
            tryStart: () => {
                if (runningUntil.length >= concurrencyLimit) {
                    return { kind: "wait" };
                }
                runningUntil.push(now + serviceMilliseconds);
                return { kind: "done", value: now - arrivedAt };
            },
        }, new AbortController().signal);
        if (submission.isOk()) {
            latencies[account].record(submission.value);
        }
        else {
            counts.refused += account === "small" ? 1 : 0;
        }
    };

    for (; now < seconds * 1_000; now += stepMilliseconds) {
        runningUntil = runningUntil.filter(endsAt => endsAt > now);
        queue.dispatch();
        for (
            const [account, rate] of [["large", largeRequestsPerSecond], [
                "small",
                smallRequestsPerSecond,
            ]] as const
        ) {
            const arrivalCount = Math.floor(rate * stepMilliseconds / 1_000 + random());
            [...Array(arrivalCount).keys()].forEach(() => void submitRequest(account));
        }
        await flushPromises();
    }
    return {
        smallAccount: latencies.small,
        largeAccount: latencies.large,
        refusedPercent: 100 * counts.refused / counts.submitted,
    };
};
