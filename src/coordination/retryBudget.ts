/**
 * Bounds the retries of one entry to a part of its requests, so that retries can't multiply an overload.
 *
 * Each first attempt adds `ratio` of a retry, up to a ceiling. A small allowance comes back with time alone, so that an
 * entry with little traffic can still retry.
 */
import type { Clock } from "../state/types.js";

export type RetryBudget = {
    /** Counts a request's first attempt. */
    recordRequest: () => void;
    /** Takes one retry; false when the budget is spent. */
    takeRetry: () => boolean;
};

export type RetryReserve = {
    /** Retries allowed beside the ratio, and at the start. */
    retries: number;
    /** How fast the reserve comes back. */
    refillPerSecond: number;
    /** The most retries that requests can save up. */
    maximumBalance: number;
};

const defaultReserve: RetryReserve = { retries: 10, refillPerSecond: 1, maximumBalance: 100 };

/** `ratio` gives the retries allowed for each request, and `reserve` those beside it, as both are now. */
export const createRetryBudget = (
    clock: Pick<Clock, "now">,
    ratio: () => number,
    reserve: () => RetryReserve = () => defaultReserve,
): RetryBudget => {
    let balance = reserve().retries;
    let refilledAt = clock.now();

    const refillReserve = (): void => {
        const now = clock.now();
        const { retries, refillPerSecond: refillPerSecond, maximumBalance: maximumBalance } = reserve();
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
