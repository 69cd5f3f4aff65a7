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
const comeBackSeconds = 1;

export type OutcomeTracker = {
    record: (failure: AttemptFailure) => void;
    mayHaveRun: () => boolean;
    /** The final answer when no further attempt is made; `target` names what was called. */
    conclude: (target: string, whenUnknown: Refusal) => Refusal;
};

/** Follows the attempts of one request. */
export const trackOutcome = (): OutcomeTracker => {
    let ran = false;
    let last: AttemptFailure | undefined;
    return {
        record: failure => {
            ran ||= mayHaveRun[failure.kind];
            last = failure;
        },
        mayHaveRun: () => ran,
        conclude: (target, whenUnknown) => {
            if (ran) {
                return whenUnknown;
            }
            if (last?.kind === "refused") {
                return last.refusal;
            }
            return refusal("no-upstream", [target], comeBackSeconds);
        },
    };
};
