/**
 * Waiting for a named thing to change, for at most a given time.
 */
import type { Clock } from "../state/types.js";

/** Reason of a waiter's abort; without one, each abort builds an error with its stack. */
const notifiedReason = "woken";

export type Notifier = {
    /** Resolves when `name` is announced, after `milliseconds`, or when `signal` aborts. */
    wait: (name: string, milliseconds: number, signal: AbortSignal) => Promise<void>;
    /** Wakes all who wait for `name`. */
    notify: (name: string) => void;
};

export const createNotifier = (clock: Clock): Notifier => {
    const waiters = new Map<string, Set<AbortController>>();

    const wait = async (name: string, milliseconds: number, signal: AbortSignal): Promise<void> => {
        if (signal.aborted) {
            return;
        }
        const waiter = new AbortController();
        const stop = (): void => waiter.abort(notifiedReason);
        const nameWaiters = waiters.get(name) ?? new Set();
        waiters.set(name, nameWaiters.add(waiter));
        signal.addEventListener("abort", stop, { once: true });
        await clock.sleep(milliseconds, waiter.signal);
        signal.removeEventListener("abort", stop);
        nameWaiters.delete(waiter);
        if (nameWaiters.size === 0 && waiters.get(name) === nameWaiters) {
            waiters.delete(name);
        }
    };

    const announce = (name: string): void => {
        const nameWaiters = waiters.get(name);
        waiters.delete(name);
        nameWaiters?.forEach(waiter => waiter.abort(notifiedReason));
    };

    return { wait, notify: announce };
};
