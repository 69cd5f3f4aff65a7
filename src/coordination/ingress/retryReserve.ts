/**
 * An entry's part of the retries that all entries may make beside the ratio.
 *
 * An entry that is cut off may count only itself, so the most entries that it ever heard divide the whole.
 */
import type { RetryReserve } from "../retryBudget.js";

/** Part of the whole that entries use; the rest covers those that start and have heard nobody yet. */
const usedShare = 0.7;
/** The fewest entries of the deployments in use, so that one which heard nobody yet takes no more than its part. */
const fewestEntries = 8;

export type AllowedRetries = { retrySlack: number; retryWindowSeconds: number; };

export const createRetryReserve =
    ({ retrySlack, retryWindowSeconds }: AllowedRetries, mostEntries: () => number) => (): RetryReserve => {
        const retries = retrySlack * usedShare / Math.max(fewestEntries, mostEntries());
        // Half is there at once and half comes back within a window.
        return { retries: retries / 2, perSecond: retries / 2 / retryWindowSeconds, largestBalance: retries };
    };
