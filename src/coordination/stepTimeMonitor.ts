/**
 * Judges whether an engine's step time is within its bound, from the tokens that it gives.
 *
 * Every running stream gets one token a step, so the gaps between the tokens of one stream are the step times. Only one
 * stream is measured at a time, the pace maker; if it gets nothing while another stream goes on, that one takes its
 * place.
 *
 * All ranks of a group advance in lock-step, so one stalled rank stretches a single step of every rank. A verdict
 * therefore rests on the median of the last few steps: one stall changes nothing, a lasting rise shows at the third step.
 */
import type { Clock } from "../state/types.js";

/** `risen` is above the bound; `far-risen` is so far above that the engine may have turned cold. */
export type StepTimeAssessment = "within-bound" | "risen" | "far-risen";

export type StepTimeMonitor = {
    /** Takes a token of the stream `stream`; true when it ends a measured step. */
    recordToken: (stream: number) => boolean;
    /** Takes the end of a stream. */
    endStream: (stream: number) => void;
    /** Compares the median of the last steps with `boundMilliseconds`. */
    assess: (boundMilliseconds: number) => StepTimeAssessment;
    /** Mean of the last steps in milliseconds, or undefined before the first one. */
    meanMilliseconds: () => number | undefined;
    /** When the last token came, by the clock. */
    lastTokenAt: () => number;
    /** Forgets all steps, as after a restart of the engine. */
    reset: () => void;
};

type ReferenceStream = { stream: number; tokenAt: number; };

const medianWindowSteps = 3;
const meanWindowSteps = 32;
const farAboveBoundFactor = 2;

/** Tokens that another stream gets while the pace maker gets none, until it takes over. */
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
