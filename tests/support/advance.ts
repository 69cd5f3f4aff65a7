/**
 * Moves a stepped clock on until something holds.
 */
import type { SteppedClock } from "./steppedClock.js";

const stepMilliseconds = 50;

/** Moves on until `condition` holds and gives the time it took in milliseconds; fails after `limit`. */
export const advanceUntil = async (clock: SteppedClock, condition: () => boolean, limit = 60_000): Promise<number> => {
    const start = clock.now();
    for (;;) {
        await clock.run(0);
        if (condition()) {
            return clock.now() - start;
        }
        if (clock.now() - start >= limit) {
            throw new Error(`condition does not hold after ${limit} ms: ${condition.toString()}`);
        }
        await clock.run(stepMilliseconds);
    }
};
