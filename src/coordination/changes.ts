/**
 * Waiting for a named thing to change, for at most a given time.
 */
import type { Clock } from "../state/types.js";

/** Reason of a waiter's abort; without one, each abort builds an error with its stack. */
const woken = "woken";

export type Changes = {
    /** Resolves when `name` is announced, after `milliseconds`, or when `signal` aborts. */
    wait: (name: string, milliseconds: number, signal: AbortSignal) => Promise<void>;
    /** Wakes all who wait for `name`. */
    announce: (name: string) => void;
};

export const createChanges = (clock: Clock): Changes => {
    const waiters = new Map<string, Set<AbortController>>();

    const wait = async (name: string, milliseconds: number, signal: AbortSignal): Promise<void> => {
        if (signal.aborted) {
            return;
        }
        const waiter = new AbortController();
        const stop = (): void => waiter.abort(woken);
        const group = waiters.get(name) ?? new Set();
        waiters.set(name, group.add(waiter));
        signal.addEventListener("abort", stop, { once: true });
        await clock.sleep(milliseconds, waiter.signal);
        signal.removeEventListener("abort", stop);
        group.delete(waiter);
        if (group.size === 0 && waiters.get(name) === group) {
            waiters.delete(name);
        }
    };

    const announce = (name: string): void => {
        const group = waiters.get(name);
        waiters.delete(name);
        group?.forEach(waiter => waiter.abort(woken));
    };

    return { wait, announce };
};
