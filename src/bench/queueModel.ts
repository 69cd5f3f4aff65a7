/**
 * The fair queue of an entry on a virtual clock, before upstreams that bear less than what is asked: one account asks for
 * far more than its part, another for little.
 */
import { createFairQueue } from "../coordination/fairQueue.js";
import type { Clock, RandomNumber } from "../state/types.js";
import { Latency } from "./measures.js";

export type QueueOutcome = {
    smallAccount: Latency;
    largeAccount: Latency;
    /** Part of the small account's requests that were refused, in per cent. */
    refused: number;
};

const seconds = 60;
const stepMilliseconds = 20;
const places = 64;
const serviceMilliseconds = 1_000;
const smallPerSecond = 8;
const largePerSecond = 120;
const deadlineMilliseconds = 10_000;
const queueLimit = 256;

const settle = (): Promise<void> => new Promise(resolve => setImmediate(resolve));

/** `first come` serves all requests as if they were one account's. */
export const measureQueue = async (order: "first come" | "fair", random: RandomNumber): Promise<QueueOutcome> => {
    let now = 0;
    // A refusal by time is decided when the queue is pumped, so that no sleeper is needed.
    const clock: Clock = { now: () => now, sleep: () => new Promise(() => undefined) };
    const queue = createFairQueue(clock, () => queueLimit);
    const latencies = { small: new Latency(), large: new Latency() };
    const counts = { asked: 0, refused: 0 };
    let busy: number[] = [];

    const ask = async (account: "small" | "large"): Promise<void> => {
        const arrivedAt = now;
        counts.asked += account === "small" ? 1 : 0;
        const started = await queue.submit<number>({
            clientAccount: order === "fair" ? account : "everyone",
            priority: "standard",
            tokens: 100,
            startDeadline: now + deadlineMilliseconds,
            tryStart: () => {
                if (busy.length >= places) {
                    return { kind: "wait" };
                }
                busy.push(now + serviceMilliseconds);
                return { kind: "done", value: now - arrivedAt };
            },
        }, new AbortController().signal);
        if (started.isOk()) {
            latencies[account].record(started.value);
        }
        else {
            counts.refused += account === "small" ? 1 : 0;
        }
    };

    for (; now < seconds * 1_000; now += stepMilliseconds) {
        busy = busy.filter(endsAt => endsAt > now);
        queue.dispatch();
        for (const [account, perSecond] of [["large", largePerSecond], ["small", smallPerSecond]] as const) {
            const arriving = Math.floor(perSecond * stepMilliseconds / 1_000 + random());
            [...Array(arriving).keys()].forEach(() => void ask(account));
        }
        await settle();
    }
    return {
        smallAccount: latencies.small,
        largeAccount: latencies.large,
        refused: 100 * counts.refused / counts.asked,
    };
};
