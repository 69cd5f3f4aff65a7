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
export type StepTimeVerdict = "within-bound" | "risen" | "far-risen";

export type StepTimeWatch = {
    /** Takes a token of the stream `stream`; true when it ends a measured step. */
    takeToken: (stream: number) => boolean;
    /** Takes the end of a stream. */
    endStream: (stream: number) => void;
    /** Compares the median of the last steps with `boundMilliseconds`. */
    verdict: (boundMilliseconds: number) => StepTimeVerdict;
    /** Mean of the last steps in milliseconds, or undefined before the first one. */
    mean: () => number | undefined;
    /** When the last token came, by the clock. */
    lastTokenAt: () => number;
    /** Forgets all steps, as after a restart of the engine. */
    reset: () => void;
};

type PaceMaker = { stream: number; tokenAt: number; };

const stepsJudged = 3;
const stepsAveraged = 32;
const farRisenFactor = 2;

/** Tokens that another stream gets while the pace maker gets none, until it takes over. */
const tokensToTakeOver = 4;

export const createStepTimeWatch = (clock: Pick<Clock, "now">): StepTimeWatch => {
    let steps: number[] = [];
    let paceMaker: PaceMaker | undefined;
    let challenger: { stream: number; tokens: number; } | undefined;
    let lastTokenAt = -Infinity;

    const challenge = (stream: number, now: number): void => {
        const tokens = challenger?.stream === stream ? challenger.tokens + 1 : 1;
        challenger = challenger === undefined || challenger.stream === stream ? { stream, tokens } : challenger;
        if (paceMaker === undefined || challenger.tokens >= tokensToTakeOver) {
            paceMaker = { stream, tokenAt: now };
            challenger = undefined;
        }
    };

    const median = (): number => {
        const sorted = steps.slice(-stepsJudged).sort((left, right) => left - right);
        return sorted[Math.floor(stepsJudged / 2)] ?? 0;
    };

    return {
        takeToken: stream => {
            const now = clock.now();
            lastTokenAt = now;
            if (paceMaker?.stream !== stream) {
                challenge(stream, now);
                return false;
            }
            steps.push(now - paceMaker.tokenAt);
            if (steps.length > stepsAveraged) {
                steps.shift();
            }
            paceMaker.tokenAt = now;
            challenger = undefined;
            return true;
        },
        endStream: stream => {
            paceMaker = paceMaker?.stream === stream ? undefined : paceMaker;
            challenger = challenger?.stream === stream ? undefined : challenger;
        },
        verdict: boundMilliseconds => {
            if (steps.length < stepsJudged || median() <= boundMilliseconds) {
                return "within-bound";
            }
            return median() > boundMilliseconds * farRisenFactor ? "far-risen" : "risen";
        },
        mean: () =>
            steps.length === 0 ? undefined : steps.reduce((sum, milliseconds) => sum + milliseconds, 0) / steps.length,
        lastTokenAt: () => lastTokenAt,
        reset: () => {
            steps = [];
            paceMaker = undefined;
            challenger = undefined;
        },
    };
};
