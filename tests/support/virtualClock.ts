/**
 * A clock that moves only when a test says so.
 */
import type { Clock } from "../../src/state/types.js";

export type VirtualClock = Clock & {
    /** Moves time on and wakes the sleepers whose time has come, earliest first. */
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
