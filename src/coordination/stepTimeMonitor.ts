/**
 * Checks whether the step time of an engine is within its bound, from the times at which it emits tokens.
 *
 * Every running stream gets one token per step, so the intervals between the tokens of one stream are the step times.
 * Only one stream is measured at a time, the reference stream. If it gets no tokens while another stream does, that
 * stream replaces it.
 *
 * All ranks of a group run in lock-step, so a single stall of one rank prolongs one step of every rank. The assessment
 * therefore uses the median of the last three steps: one stall changes nothing, while a lasting rise shows at its
 * second step.
 */
import type { Clock } from "../state/types.js";

/** `risen` is above the bound; `far-risen` is above twice the bound, where the engine may have turned cold. */
export type StepTimeAssessment = "within-bound" | "risen" | "far-risen";

export type StepTimeMonitor = {
    /** Records a token of `stream`; returns true if it completes a measured step. */
    recordToken: (stream: number) => boolean;
    endStream: (stream: number) => void;
    /** Compares the median of the last steps with `boundMilliseconds`. */
    assess: (boundMilliseconds: number) => StepTimeAssessment;
    /** Mean of the last steps, or undefined before the first one. */
    meanMilliseconds: () => number | undefined;
    /** Clock time of the last token of any stream, -Infinity before the first. */
    lastTokenAt: () => number;
    /** Discards all measurements, as needed after a restart of the engine. */
    reset: () => void;
};

type ReferenceStream = { stream: number; tokenAt: number; };

const medianWindowSteps = 3;
const meanWindowSteps = 32;
const farAboveBoundFactor = 2;

/** Tokens that another stream must get, while the reference stream gets none, to replace it. */
const tokensUntilReplacement = 4;

export const createStepTimeMonitor = (clock: Pick<Clock, "now">): StepTimeMonitor => {
    let stepMilliseconds: number[] = [];
    let reference: ReferenceStream | undefined;
    let replacement: { stream: number; tokens: number; } | undefined;
    let lastTokenAt = -Infinity;

    const considerReplacement = (stream: number, now: number): void => {
        const tokens = replacement?.stream === stream ? replacement.tokens + 1 : 1;
        replacement = replacement === undefined || replacement.stream === stream ? { stream, tokens } : replacement;
        if (reference === undefined || replacement.tokens >= tokensUntilReplacement) {
            reference = { stream, tokenAt: now };
            replacement = undefined;
        }
    };

    const medianMilliseconds = (): number => {
        const sorted = stepMilliseconds.slice(-medianWindowSteps).sort((left, right) => left - right);
        return sorted[Math.floor(medianWindowSteps / 2)] ?? 0;
    };

    return {
        recordToken: stream => {
            const now = clock.now();
            lastTokenAt = now;
            if (reference?.stream !== stream) {
                considerReplacement(stream, now);
                return false;
            }
            stepMilliseconds.push(now - reference.tokenAt);
            if (stepMilliseconds.length > meanWindowSteps) {
                stepMilliseconds.shift();
            }
            reference.tokenAt = now;
            replacement = undefined;
            return true;
        },
        endStream: stream => {
            reference = reference?.stream === stream ? undefined : reference;
            replacement = replacement?.stream === stream ? undefined : replacement;
        },
        assess: boundMilliseconds => {
            if (stepMilliseconds.length < medianWindowSteps || medianMilliseconds() <= boundMilliseconds) {
                return "within-bound";
            }
            return medianMilliseconds() > boundMilliseconds * farAboveBoundFactor ? "far-risen" : "risen";
        },
        meanMilliseconds: () =>
            stepMilliseconds.length === 0
                ? undefined
                : stepMilliseconds.reduce((sum, milliseconds) => sum + milliseconds, 0) / stepMilliseconds.length,
        lastTokenAt: () => lastTokenAt,
        reset: () => {
            stepMilliseconds = [];
            reference = undefined;
            replacement = undefined;
        },
    };
};
