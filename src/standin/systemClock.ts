/** The machine's own clock, for stand-ins and the bench as real processes; tests pass a virtual one instead. */
import type { Clock } from "../state/types.js";

/** Resolves after `milliseconds`, or at once when `signal` aborts. */
const sleep = (milliseconds: number, signal: AbortSignal): Promise<void> =>
    new Promise(resolve => {
        if (signal.aborted) {
            resolve();
            return;
        }
        const finish = () => {
            clearTimeout(timer);
            signal.removeEventListener("abort", finish);
            resolve();
        };
        const timer = setTimeout(finish, milliseconds);
        signal.addEventListener("abort", finish);
    });

export const systemClock: Clock = { now: () => Date.now(), sleep };
