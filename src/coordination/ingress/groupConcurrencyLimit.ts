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

export type GroupConcurrencyLimit = {
    recordPause: (milliseconds: number, gapTargetMilliseconds: number) => void;
    /** Streams that this entry runs. */
    running: () => number;
    limit: () => number;
    acquire: () => void;
    release: () => void;
};

export type GroupConcurrencyLimitOptions = {
    clock: Pick<Clock, "now">;
    initialLimit: number;
    /** Streams that all entries run on the group. */
    runningOnAllEntries: () => number;
    /** What the other entries estimate; undefined if none does. */
    peerLimit: () => number | undefined;
    /** The places of the ranks that are there now. */
    maximumLimit: () => number;
};

const windowMilliseconds = 250;
/** Shares of the gap target, from trials: thresholds of 85 and 110 in place of 100 ms of 120 served less. */
const increaseBelowGapShare = 0.71;
const decreaseAboveGapShare = 0.83;
/** Streams added in one window, about 6 a second: two seconds from half to full use of a group of 8 ranks. */
const increasePerWindow = 1.5;
const mildDecreaseFactor = 0.96;
const strongDecreaseFactor = 0.88;
/** Beyond this share of the gap target the cut is the hard one. */
const strongDecreaseAboveGapShare = 1.0;
/** Pauses longer than this many gap targets come from a stall, not from load. */
const stallGapTargets = 4;
const minimumPauseSamples = 4;
const pauseQuantile = 0.8;
const minimumLimit = 4;
/** How far an estimate moves towards the others' in one window. */
const peerLimitWeight = 0.2;

export const createGroupConcurrencyLimit = (options: GroupConcurrencyLimitOptions): GroupConcurrencyLimit => {
    const { clock, runningOnAllEntries: runningOnAllEntries, peerLimit: peerLimit, maximumLimit: maximumLimit } =
        options;
    /** A group with hardly any slots is bounded by its ranks' slots alone. */
    const clampLimit = (requestedLimit: number): number =>
        Math.max(minimumLimit, Math.min(maximumLimit(), requestedLimit));
    let limit = clampLimit(options.initialLimit);
    let running = 0;
    let peakRunning = 0;
    let pauseShares: number[] = [];
    let windowStart = clock.now();

    const closeWindow = (): void => {
        if (pauseShares.length >= minimumPauseSamples) {
            const sortedPauseShares = pauseShares.sort((left, right) => left - right);
            const highPauseShare = sortedPauseShares[Math.floor(sortedPauseShares.length * pauseQuantile)] ?? 0;
            if (highPauseShare > decreaseAboveGapShare) {
                limit *= highPauseShare > strongDecreaseAboveGapShare ? strongDecreaseFactor : mildDecreaseFactor;
            }
            else if (highPauseShare < increaseBelowGapShare && peakRunning >= Math.floor(limit) - 1) {
                limit += increasePerWindow;
            }
        }
        limit += ((peerLimit() ?? limit) - limit) * peerLimitWeight;
        limit = clampLimit(limit);
        pauseShares = [];
        peakRunning = runningOnAllEntries();
        windowStart = clock.now();
    };

    return {
        recordPause: (milliseconds, gapTargetMilliseconds) => {
            const pauseShare = milliseconds / gapTargetMilliseconds;
            if (pauseShare < stallGapTargets) {
                pauseShares.push(pauseShare);
            }
            if (clock.now() - windowStart >= windowMilliseconds) {
                closeWindow();
            }
        },
        running: () => running,
        limit: () => limit,
        acquire: () => {
            running += 1;
            peakRunning = Math.max(peakRunning, runningOnAllEntries());
        },
        release: () => {
            running -= 1;
        },
    };
};
