/**
 * This entry's part of the fixed number of retries that all entries may make in addition to the retry ratio.
 *
 * The total is divided by the highest number of entries ever seen: an entry that is partitioned from the others sees
 * only itself and would otherwise claim the whole.
 */
import type { RetryReserve } from "../retryBudget.js";

/**
 * Fraction of the total that is used; the rest covers entries that have just started and have not seen the others yet.
 */
const usedFraction = 0.7;
/**
 * The fewest entries of any deployment in use, so that an entry which has seen no other takes no more than its part.
 */
const minimumEntries = 8;

export type RetryAllowance = { retrySlack: number; retryWindowSeconds: number; };

export const createRetryReserve =
    ({ retrySlack, retryWindowSeconds }: RetryAllowance, maximumEntriesSeen: () => number) => (): RetryReserve => {
        const retries = retrySlack * usedFraction / Math.max(minimumEntries, maximumEntriesSeen());
        // Half is available at once and half accrues over one window.
        return { retries: retries / 2, refillPerSecond: retries / 2 / retryWindowSeconds, maximumBalance: retries };
    };
