/**
 * Advances a stepped clock until a condition holds.
 */
import type { SteppedClock } from "./steppedClock.js";

const pollIntervalMilliseconds = 50;

/** Returns the simulated time until `condition` held, in milliseconds; throws after `timeoutMilliseconds`. */
export const advanceUntil = async (
    clock: SteppedClock,
    condition: () => boolean,
    timeoutMilliseconds = 60_000,
): Promise<number> => {
    const start = clock.now();
    for (;;) {
        await clock.advance(0);
        if (condition()) {
            return clock.now() - start;
        }
        if (clock.now() - start >= timeoutMilliseconds) {
            throw new Error(`condition still false after ${timeoutMilliseconds} ms: ${condition.toString()}`);
        }
        await clock.advance(pollIntervalMilliseconds);
    }
};
