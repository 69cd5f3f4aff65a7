/**
 * An entry's part of the retries that all entries may make beside the ratio.
 *
 * An entry that is cut off may count only itself, so the most entries that it ever heard divide the whole.
 */
import type { RetryReserve } from "../retryBudget.js";

/** Part of the whole that entries use; the rest covers those that start and have heard nobody yet. */
const usedFraction = 0.7;
/** The fewest entries of the deployments in use, so that one which heard nobody yet takes no more than its part. */
const minimumEntries = 8;

export type RetryAllowance = { retrySlack: number; retryWindowSeconds: number; };

export const createRetryReserve =
    ({ retrySlack, retryWindowSeconds }: RetryAllowance, maximumEntriesSeen: () => number) => (): RetryReserve => {
        const retries = retrySlack * usedFraction / Math.max(minimumEntries, maximumEntriesSeen());
        // Half is there at once and half comes back within a window.
        return { retries: retries / 2, refillPerSecond: retries / 2 / retryWindowSeconds, maximumBalance: retries };
    };
