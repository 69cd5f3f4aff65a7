/**
 * Limits the retries of one entry to a fraction of its requests, so that retries cannot amplify an overload.
 *
 * Each request adds `ratio` of a retry to the balance, up to a maximum. A small reserve refills with time alone, so
 * that an entry with little traffic can still retry.
 */
import type { Clock } from "../state/types.js";

export type RetryBudget = {
    /** Counts a request's first attempt. */
    recordRequest: () => void;
    /** Takes one retry from the balance; false if none is left. */
    takeRetry: () => boolean;
};

export type RetryReserve = {
    /** Retries allowed in addition to the ratio, and at the start. */
    retries: number;
    refillPerSecond: number;
    /** Maximum number of retries that can accumulate. */
    maximumBalance: number;
};

const defaultReserve: RetryReserve = { retries: 10, refillPerSecond: 1, maximumBalance: 100 };

/** `ratio` returns the retries allowed per request, `reserve` those in addition; both are read at each use. */
export const createRetryBudget = (
    clock: Pick<Clock, "now">,
    ratio: () => number,
    reserve: () => RetryReserve = () => defaultReserve,
): RetryBudget => {
    let balance = reserve().retries;
    let refilledAt = clock.now();

    const refillReserve = (): void => {
        const now = clock.now();
        const { retries, refillPerSecond, maximumBalance } = reserve();
        const refill = (now - refilledAt) / 1_000 * refillPerSecond;
        refilledAt = now;
        balance = Math.min(maximumBalance, balance < retries ? Math.min(retries, balance + refill) : balance);
    };

    return {
        recordRequest: () => {
            balance = Math.min(reserve().maximumBalance, balance + ratio());
        },
        takeRetry: () => {
            refillReserve();
            if (balance < 1) {
                return false;
            }
            balance -= 1;
            return true;
        },
    };
};
