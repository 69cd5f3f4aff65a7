/**
 * Moves a stepped clock on until something holds.
 */
import type { SteppedClock } from "./steppedClock.js";

const pollIntervalMilliseconds = 50;

/** Moves on until `condition` holds and gives the time it took in milliseconds; fails after `limit`. */
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
            throw new Error(`condition does not hold after ${timeoutMilliseconds} ms: ${condition.toString()}`);
        }
        await clock.advance(pollIntervalMilliseconds);
    }
};
