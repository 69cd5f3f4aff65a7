/**
 * The real clock of a daemon.
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

/** A clock that neither jumps nor runs back, in milliseconds since the process started. */
export const monotonicClock: Clock = { now: () => performance.now(), sleep: systemClock.sleep };
