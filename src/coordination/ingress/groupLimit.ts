/**
 * How many streams all entries together keep running on one lock-step group.
 *
 * Load it answers: more streams than a group can pace. All ranks of a group take each pass together and a pass slows
 * with the streams that run, so beyond a point every further stream makes all of them late. The pause between two
 * events of a stream is one pass, which every entry sees without a message: the estimate grows a little while it is used
 * up and the pauses are short, and is cut when they near what callers accept. Entries lean towards each other's
 * estimates, so that one with few streams, and few pauses to judge by, doesn't drift away.
 *
 * A stalled group shows pauses that no load explains; they say nothing about its capacity.
 */
import type { Clock } from "../../state/types.js";

export type GroupLimit = {
    recordPause: (milliseconds: number, gapTargetMilliseconds: number) => void;
    /** Streams that this entry runs. */
    running: () => number;
    limit: () => number;
    take: () => void;
    release: () => void;
};

export type GroupLimitOptions = {
    clock: Pick<Clock, "now">;
    startLimit: number;
    /** Streams that all entries run on the group. */
    runningOverall: () => number;
    /** What the other entries estimate; undefined if none does. */
    limitElsewhere: () => number | undefined;
    /** The places of the ranks that are there now. */
    largestLimit: () => number;
};

const windowMilliseconds = 250;
/** Shares of the gap target, from trials: thresholds of 85 and 110 in place of 100 ms of 120 served less. */
const growBelow = 0.71;
const cutAbove = 0.83;
/** Streams added in one window, about 6 a second: two seconds from half to full use of a group of 8 ranks. */
const growthPerWindow = 1.5;
const lightCut = 0.96;
const hardCut = 0.88;
/** Beyond this share of the gap target the cut is the hard one. */
const hardCutAbove = 1.0;
/** Pauses longer than this many gap targets come from a stall, not from load. */
const stallTargets = 4;
const leastPauses = 4;
const pausePercentile = 0.8;
const smallestLimit = 4;
/** How far an estimate moves towards the others' in one window. */
const leaning = 0.2;

export const createGroupLimit = (options: GroupLimitOptions): GroupLimit => {
    const { clock, runningOverall, limitElsewhere, largestLimit } = options;
    /** A group with hardly any slots is bounded by its ranks' slots alone. */
    const bounded = (wanted: number): number => Math.max(smallestLimit, Math.min(largestLimit(), wanted));
    let limit = bounded(options.startLimit);
    let running = 0;
    let mostRunning = 0;
    let pauses: number[] = [];
    let windowStart = clock.now();

    const closeWindow = (): void => {
        if (pauses.length >= leastPauses) {
            const sorted = pauses.sort((left, right) => left - right);
            const high = sorted[Math.floor(sorted.length * pausePercentile)] ?? 0;
            if (high > cutAbove) {
                limit *= high > hardCutAbove ? hardCut : lightCut;
            }
            else if (high < growBelow && mostRunning >= Math.floor(limit) - 1) {
                limit += growthPerWindow;
            }
        }
        limit += ((limitElsewhere() ?? limit) - limit) * leaning;
        limit = bounded(limit);
        pauses = [];
        mostRunning = runningOverall();
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
        limit: () => limit,
        take: () => {
            running += 1;
            mostRunning = Math.max(mostRunning, runningOverall());
        },
        release: () => {
            running -= 1;
        },
    };
};
