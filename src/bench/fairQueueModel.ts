/**
 * The fair queue of an entry on a virtual clock, before upstreams that bear less than what is asked: one account asks for
 * far more than its part, another for little.
 */
import { createFairQueue } from "../coordination/fairQueue.js";
import type { Clock, RandomNumber } from "../state/types.js";
import { LatencyHistogram } from "./measurements.js";

export type QueueModelResult = {
    smallAccount: LatencyHistogram;
    largeAccount: LatencyHistogram;
    /** Part of the small account's requests that were refused, in per cent. */
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

/** `first come` serves all requests as if they were one account's. */
export const runQueueModel = async (order: "first come" | "fair", random: RandomNumber): Promise<QueueModelResult> => {
    let now = 0;
    // A refusal by time is decided when the queue is pumped, so that no sleeper is needed.
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
