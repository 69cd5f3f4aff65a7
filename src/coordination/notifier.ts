/**
 * Lets tasks wait for a notification by name, for at most a given time.
 */
import type { Clock } from "../state/types.js";

/** Abort reason of a waiter; without an explicit reason, each abort would build an error with its stack trace. */
const notifiedReason = "woken";

export type Notifier = {
    /** Resolves when `name` is notified, after `milliseconds`, or when `signal` aborts. */
    wait: (name: string, milliseconds: number, signal: AbortSignal) => Promise<void>;
    /** Wakes all waiters of `name`. */
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

    const notify = (name: string): void => {
        const nameWaiters = waiters.get(name);
        waiters.delete(name);
        nameWaiters?.forEach(waiter => waiter.abort(notifiedReason));
    };

    return { wait, notify };
};
