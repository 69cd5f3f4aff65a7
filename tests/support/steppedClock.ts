/**
 * Simulated clock that advances from one timer to the next and lets pending callbacks run before each step.
 */
import type { Clock } from "../../src/state/types.js";

export type SteppedClock = Clock & {
    /** Advances the time by `milliseconds`; each sleeper that is due wakes at its own time. */
    advance: (milliseconds: number) => Promise<void>;
};

type Sleeper = { wakeAt: number; wake: () => void; };

const runPendingCallbacks = (): Promise<void> => new Promise(resolve => setImmediate(resolve));

export const steppedClock = (startAt: number): SteppedClock => {
    const sleepers = new Set<Sleeper>();
    let now = startAt;

    const sleep = (milliseconds: number, signal: AbortSignal): Promise<void> =>
        new Promise(resolve => {
            if (signal.aborted) {
                resolve();
                return;
            }
            const wake = (): void => {
                sleepers.delete(sleeper);
                signal.removeEventListener("abort", wake);
                resolve();
            };
            const sleeper = { wakeAt: now + milliseconds, wake };
            sleepers.add(sleeper);
            signal.addEventListener("abort", wake);
        });

    const earliest = (): Sleeper | undefined =>
        [...sleepers].reduce<Sleeper | undefined>(
            (first, sleeper) => first === undefined || sleeper.wakeAt < first.wakeAt ? sleeper : first,
            undefined,
        );

    const advance = async (milliseconds: number): Promise<void> => {
        const end = now + milliseconds;
        await runPendingCallbacks();
        for (let next = earliest(); next !== undefined && next.wakeAt <= end; next = earliest()) {
            now = Math.max(now, next.wakeAt);
            next.wake();
            await runPendingCallbacks();
        }
        now = end;
    };

    return { now: () => now, sleep, advance };
};
