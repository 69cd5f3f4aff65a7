/**
 * Decides whether a failed attempt of a request is followed by another.
 *
 * An attempt that ran nothing, or whose progress the next one continues, wastes no work of the upstreams, and a retry
 * after it is free. An attempt that may have run in vain counts against the request's own retries and draws on the
 * entry's retry budget. A crash always counts, since the request itself may have caused it. Whatever the failures, the
 * number of attempts is limited, not counting those refused with a load report.
 */
import type { ErrorCode } from "../state/errors.js";
import type { AttemptFailure } from "./attempts.js";

export type RetryPolicy = {
    /** Whether to try again after `failure`; `madeProgress` tells whether the attempt gave the caller new tokens. */
    mayRetry: (failure: AttemptFailure, madeProgress: boolean) => boolean;
};

const maximumAttempts = 16;

/** Refusals that may not recur on another upstream, or on the same one later. */
const transientRefusals: ReadonlySet<ErrorCode> = new Set([
    "upstream-full",
    "upstream-draining",
    "no-upstream",
    "not-ready",
]);

type Cost = "free" | "counted" | "final";

const costs: {
    [Kind in AttemptFailure["kind"]]: (failure: AttemptFailure & { kind: Kind; }, madeProgress: boolean) => Cost;
} = {
    refused: ({ refusal }) => transientRefusals.has(refusal.code) ? "free" : "final",
    unreachable: () => "free",
    moved: () => "free",
    crashed: () => "counted",
    cut: (failure, madeProgress) => madeProgress ? "free" : "counted",
};

const costOf = (failure: AttemptFailure, madeProgress: boolean): Cost =>
    (costs[failure.kind] as (failure: AttemptFailure, madeProgress: boolean) => Cost)(failure, madeProgress);

/** The policy of one request; `takeRetry` draws on the entry's retry budget. */
export const createRetryPolicy = (maximumRetries: number, takeRetry: () => boolean): RetryPolicy => {
    let attemptCount = 0;
    let countedRetries = 0;
    return {
        mayRetry: (failure, madeProgress) => {
            // A refusal with a load report does not count: it updates the directory, and the request then waits in the
            // queue, at most until its deadline.
            attemptCount += failure.kind === "refused" && failure.load !== undefined ? 0 : 1;
            const cost = costOf(failure, madeProgress);
            if (cost === "final" || attemptCount >= maximumAttempts) {
                return false;
            }
            if (cost === "free") {
                return true;
            }
            countedRetries += 1;
            return countedRetries <= maximumRetries && takeRetry();
        },
    };
};

/**
 * Whether later attempts should avoid the host of the failed one. After `moved` and after refusals other than
 * `no-upstream` they need not, because the load report tells whether the host accepts work.
 */
export const shouldAvoidHost = (failure: AttemptFailure): boolean =>
    failure.kind !== "moved" && !(failure.kind === "refused" && failure.refusal.code !== "no-upstream");
