/**
 * Whether a request ran, worked out from its attempts.
 *
 * "Not run" is said only if every attempt was refused by an agent's explicit word or never left the entry. One silent
 * attempt is enough to make the outcome unknown.
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

/** Seconds after which a caller may come back when no upstream takes its request now. */
const retryAfterSeconds = 1;

export type OutcomeTracker = {
    record: (failure: AttemptFailure) => void;
    mayHaveRun: () => boolean;
    /** The final answer when no further attempt is made; `target` names what was called. */
    conclude: (target: string, unknownOutcomeRefusal: Refusal) => Refusal;
};

/** Follows the attempts of one request. */
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
