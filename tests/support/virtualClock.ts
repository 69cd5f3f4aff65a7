/**
 * Simulated clock that advances only when the test advances it.
 */
import type { Clock } from "../../src/state/types.js";

export type VirtualClock = Clock & {
    /** Advances the time, then wakes the sleepers that are due, earliest first. */
    advance: (milliseconds: number) => void;
};

type Sleeper = { wakeAt: number; wake: () => void; };

export const virtualClock = (startAt = 0): VirtualClock => {
    let now = startAt;
    let sleepers: Sleeper[] = [];
    const advance = (milliseconds: number): void => {
        now += milliseconds;
        const due = sleepers.filter(sleeper => sleeper.wakeAt <= now).sort((left, right) => left.wakeAt - right.wakeAt);
        sleepers = sleepers.filter(sleeper => sleeper.wakeAt > now);
        due.forEach(sleeper => sleeper.wake());
    };
    const sleep = (milliseconds: number, signal: AbortSignal): Promise<void> =>
        new Promise(resolve => {
            if (signal.aborted) {
                resolve();
                return;
            }
            const wake = (): void => {
                signal.removeEventListener("abort", wake);
                resolve();
            };
            sleepers.push({ wakeAt: now + milliseconds, wake });
            signal.addEventListener("abort", wake, { once: true });
        });
    return { now: () => now, sleep, advance };
};
