/**
 * Derives from the attempts of a request whether the request ran.
 *
 * "Not run" is reported only if each attempt was explicitly refused by an agent or was never sent. A single attempt
 * that may have run makes the outcome unknown.
 */
import { type Refusal, refusal } from "../state/errors.js";
import type { AttemptFailure } from "./attempts.js";

const mayHaveRun: Record<AttemptFailure["kind"], boolean> = {
    refused: false,
    unreachable: false,
    moved: true,
    crashed: true,
    cut: true,
};

/** Retry hint for a request that no upstream accepts. */
const retryAfterSeconds = 1;

export type OutcomeTracker = {
    record: (failure: AttemptFailure) => void;
    mayHaveRun: () => boolean;
    /** The final refusal when no further attempt is made; `target` is the model or service that was called. */
    conclude: (target: string, unknownOutcomeRefusal: Refusal) => Refusal;
};

/** Tracks the attempts of one request. */
export const trackOutcome = (): OutcomeTracker => {
    let anyMayHaveRun = false;
    let lastFailure: AttemptFailure | undefined;
    return {
        record: failure => {
            anyMayHaveRun ||= mayHaveRun[failure.kind];
            lastFailure = failure;
        },
        mayHaveRun: () => anyMayHaveRun,
        conclude: (target, unknownOutcomeRefusal) => {
            if (anyMayHaveRun) {
                return unknownOutcomeRefusal;
            }
            if (lastFailure?.kind === "refused") {
                return lastFailure.refusal;
            }
            return refusal("no-upstream", [target], retryAfterSeconds);
        },
    };
};
