/**
 * Judges whether an engine's step time is within its bound.
 *
 * All ranks of a group advance in lock-step, so one stalled rank stretches a single step of every rank. A verdict
 * therefore rests on the median of the last few steps: one stall changes nothing, a lasting rise shows at the third
 * step. Every stream of one rank sees the same step, so an observation that overlaps the previous step is dropped.
 */
import type { Clock } from "../state/types.js";

/** `risen` is above the bound; `far-risen` is so far above that the engine may have turned cold. */
export type StepTimeVerdict = "within-bound" | "risen" | "far-risen";

export type StepTimeWatch = {
    /** Takes the length of one step in milliseconds that ends now; false when it belongs to a step already counted. */
    observe: (milliseconds: number) => boolean;
    /** Compares the median of the last steps with `boundMilliseconds`. */
    verdict: (boundMilliseconds: number) => StepTimeVerdict;
    /** Median of the last steps in milliseconds, or undefined before the first step. */
    median: () => number | undefined;
    /** Forgets all steps, as after a restart of the engine. */
    reset: () => void;
};

const stepsWatched = 3;
const farRisenFactor = 2;

export const createStepTimeWatch = (clock: Pick<Clock, "now">): StepTimeWatch => {
    let steps: number[] = [];
    let lastStepEndedAt = -Infinity;

    const median = (): number | undefined => {
        const sorted = [...steps].sort((left, right) => left - right);
        return sorted[Math.floor((sorted.length - 1) / 2)];
    };

    return {
        observe: milliseconds => {
            const now = clock.now();
            if (now - lastStepEndedAt < milliseconds / 2) {
                return false;
            }
            lastStepEndedAt = now;
            steps = [...steps, milliseconds].slice(-stepsWatched);
            return true;
        },
        verdict: boundMilliseconds => {
            const middle = median();
            if (middle === undefined || steps.length < stepsWatched || middle <= boundMilliseconds) {
                return "within-bound";
            }
            return middle > boundMilliseconds * farRisenFactor ? "far-risen" : "risen";
        },
        median,
        reset: () => {
            steps = [];
            lastStepEndedAt = -Infinity;
        },
    };
};
