/**
 * How many streams this entry keeps running on one lock-step group.
 *
 * Load it answers: more streams than a group can pace. All ranks of a group take each pass together and a pass slows
 * with the streams that run, so beyond a point every further stream makes all of them late. The pause between two
 * events of a stream is one pass, which every entry sees without a message: the limit grows a little while it is used up
 * and the pauses are short, and is cut when they near what callers accept. A stalled group shows pauses that no load
 * explains; they say nothing about its capacity.
 */
import type { Clock } from "../../state/types.js";

export type GroupLimit = {
    recordPause: (milliseconds: number, gapTargetMilliseconds: number) => void;
    running: () => number;
    hasPlace: () => boolean;
    /** How full it is, from 0; 1 and more when no place is left. */
    load: () => number;
    take: () => void;
    release: () => void;
    limit: () => number;
};

const windowMilliseconds = 250;
/** Shares of the gap target, from trials: thresholds of 85 and 110 in place of 100 ms of 120 served less. */
const growBelow = 0.71;
const cutAbove = 0.83;
const growthPerWindow = 0.25;
const lightCut = 0.95;
const hardCut = 0.85;
/** Beyond this share of the gap target the cut is the hard one. */
const hardCutAbove = 1.0;
/** Pauses longer than this many gap targets come from a stall, not from load. */
const stallTargets = 4;
const leastPauses = 4;
const pausePercentile = 0.8;
const smallestLimit = 1;

export const createGroupLimit = (clock: Pick<Clock, "now">, startLimit: number, largestLimit: number): GroupLimit => {
    let limit = startLimit;
    let running = 0;
    let mostRunning = 0;
    let pauses: number[] = [];
    let windowStart = clock.now();

    const closeWindow = (): void => {
        if (pauses.length >= leastPauses) {
            const sorted = pauses.sort((left, right) => left - right);
            const high = sorted[Math.floor(sorted.length * pausePercentile)] ?? 0;
            if (high > cutAbove) {
                limit = Math.max(smallestLimit, limit * (high > hardCutAbove ? hardCut : lightCut));
            }
            else if (high < growBelow && mostRunning >= Math.floor(limit)) {
                limit = Math.min(largestLimit, limit + growthPerWindow);
            }
        }
        pauses = [];
        mostRunning = running;
        windowStart = clock.now();
    };

    return {
        recordPause: (milliseconds, gapTargetMilliseconds) => {
            const share = milliseconds / gapTargetMilliseconds;
            if (share < stallTargets) {
                pauses.push(share);
            }
            if (clock.now() - windowStart >= windowMilliseconds) {
                closeWindow();
            }
        },
        running: () => running,
        hasPlace: () => running + 1 <= Math.max(smallestLimit, limit),
        load: () => running / Math.max(smallestLimit, limit),
        take: () => {
            running += 1;
            mostRunning = Math.max(mostRunning, running);
        },
        release: () => {
            running -= 1;
        },
        limit: () => limit,
    };
};
