/**
 * Clocks based on the system time and on the monotonic time of the process.
 */
import type { Clock } from "../state/types.js";

export const systemClock: Clock = {
    now: () => Date.now(),
    sleep: (milliseconds, signal) =>
        new Promise(resolve => {
            if (signal.aborted) {
                resolve();
                return;
            }
            const finish = (): void => {
                clearTimeout(timer);
                signal.removeEventListener("abort", finish);
                resolve();
            };
            const timer = setTimeout(finish, milliseconds);
            signal.addEventListener("abort", finish);
        }),
};

/** Monotonic clock; its time is in milliseconds since the process started. */
export const monotonicClock: Clock = { now: () => performance.now(), sleep: systemClock.sleep };
