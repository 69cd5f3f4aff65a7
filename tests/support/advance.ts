/**
 * Moves a virtual clock on in small steps, letting every task run in between.
 */
import { setImmediate } from "node:timers/promises";
import type { VirtualClock } from "./virtualClock.js";

const stepMilliseconds = 50;
const turnsPerStep = 4;

/** Moves on until `condition` holds and gives the time it took in milliseconds; fails after `limit`. */
export const advanceUntil = async (clock: VirtualClock, condition: () => boolean, limit = 60_000): Promise<number> => {
    const start = clock.now();
    for (;;) {
        for (let turn = 0; turn < turnsPerStep; turn++) {
            await setImmediate();
        }
        if (condition()) {
            return clock.now() - start;
        }
        if (clock.now() - start >= limit) {
            throw new Error(`condition does not hold after ${limit} ms: ${condition.toString()}`);
        }
        clock.advance(stepMilliseconds);
    }
};

export const advanceBy = async (clock: VirtualClock, milliseconds: number): Promise<void> => {
    const end = clock.now() + milliseconds;
    await advanceUntil(clock, () => clock.now() >= end, milliseconds + stepMilliseconds);
};
