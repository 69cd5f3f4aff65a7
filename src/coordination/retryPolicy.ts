/**
 * Decides whether a failed attempt of one request is followed by another.
 *
 * What ran nothing, or moves on from where it was, costs the upstreams no work twice and is free. What may have worked in
 * vain counts against the request's own retries and takes from the entry's budget. A crash always counts, since the
 * request itself may be its cause. However they fail, a request has only so many attempts
 * that were sent to run.
 */
import type { ErrorCode } from "../state/errors.js";
import type { AttemptFailure } from "./attempts.js";

export type RetryPolicy = {
    /** Whether to go on after `failure`; `progressed` tells that the attempt gave the caller new tokens. */
    mayRetry: (failure: AttemptFailure, madeProgress: boolean) => boolean;
};

const maximumAttempts = 16;

/** Refusals that another upstream, or the same one later, may not repeat. */
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

/** The policy of one request; `takeRetry` draws on the entry's budget. */
export const createRetryPolicy = (maximumRetries: number, takeRetry: () => boolean): RetryPolicy => {
    let attemptCount = 0;
    let countedRetries = 0;
    return {
        mayRetry: (failure, madeProgress) => {
            // A refusal with a load report corrects the entry's view; the request then waits until its deadline at most.
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

/** Whether the request should pass over the host of its failed attempt; others tell of themselves in their load. */
export const shouldAvoidHost = (failure: AttemptFailure): boolean =>
    failure.kind !== "moved" && !(failure.kind === "refused" && failure.refusal.code !== "no-upstream");
