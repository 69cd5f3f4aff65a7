/**
 * Adaptive limit on the streams that all entries together run on one lock-step group.
 *
 * All ranks of a group run each forward pass together, and a pass takes longer with more running streams, so beyond
 * some number every further stream makes all of them late. The pause between two events of a stream is one pass, which
 * each entry measures without any message: the limit rises slowly while it is fully used and the pauses are short, and
 * drops when they approach the longest that callers accept. Each entry moves its limit towards the mean of the others',
 * so that an entry with few streams, and hence few samples, doesn't drift. One without any still follows them.
 *
 * Pauses caused by a stall of the group say nothing about its capacity and are ignored.
 */
import type { Clock } from "../../state/types.js";

export type GroupConcurrencyLimit = {
    recordPause: (milliseconds: number, gapTargetMilliseconds: number) => void;
    /** Streams that this entry runs on the group. */
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
    /** Mean limit of the other entries; undefined if none has one. */
    peerLimit: () => number | undefined;
    /** Total slots of the listed ranks. */
    maximumLimit: () => number;
};

const windowMilliseconds = 250;
/** A window with too few samples goes on for so long: with a hundred entries each has a stream or two on a group. */
const longestWindowMilliseconds = 1_000;
/** Fractions of the gap target; with 85 and 110 ms of 120 in place of 85 and 100, fewer streams were served in time. */
const increaseBelowGapShare = 0.71;
const decreaseAboveGapShare = 0.83;
/** Streams per second, or a share of the limit where that is more: a group goes from half to full use in seconds. */
const increasePerSecond = 6;
const increaseSharePerSecond = 0.2;
const mildDecreaseFactor = 0.96;
const strongDecreaseFactor = 0.88;
/** Above this fraction of the gap target the strong decrease applies. */
const strongDecreaseAboveGapShare = 1.0;
/** Pauses of this many gap targets or more are caused by a stall, not by load. */
const stallGapTargets = 4;
const minimumPauseSamples = 4;
const pauseQuantile = 0.8;
const minimumLimit = 4;
const millisecondsPerSecond = 1_000;
/** Fraction of the distance to the other entries' mean limit that is covered per window. */
const peerLimitWeight = 0.2;

export const createGroupConcurrencyLimit = (options: GroupConcurrencyLimitOptions): GroupConcurrencyLimit => {
    const { clock, runningOnAllEntries, peerLimit, maximumLimit } = options;
    /** The minimum takes precedence, so a group with fewer slots than that is limited by its ranks' slots alone. */
    const clampLimit = (requestedLimit: number): number =>
        Math.max(minimumLimit, Math.min(maximumLimit(), requestedLimit));
    let limit = clampLimit(options.initialLimit);
    let running = 0;
    let peakRunning = 0;
    let pauseShares: number[] = [];
    let windowStart = clock.now();

    const closeWindow = (): void => {
        const seconds = Math.min(clock.now() - windowStart, longestWindowMilliseconds) / millisecondsPerSecond;
        if (pauseShares.length >= minimumPauseSamples) {
            const sortedPauseShares = pauseShares.sort((left, right) => left - right);
            const highPauseShare = sortedPauseShares[Math.floor(sortedPauseShares.length * pauseQuantile)] ?? 0;
            if (highPauseShare > decreaseAboveGapShare) {
                limit *= highPauseShare > strongDecreaseAboveGapShare ? strongDecreaseFactor : mildDecreaseFactor;
            }
            else if (highPauseShare < increaseBelowGapShare && peakRunning >= Math.floor(limit) - 1) {
                limit += Math.max(increasePerSecond, limit * increaseSharePerSecond) * seconds;
            }
        }
        limit += ((peerLimit() ?? limit) - limit) * peerLimitWeight;
        limit = clampLimit(limit);
        pauseShares = [];
        peakRunning = runningOnAllEntries();
        windowStart = clock.now();
    };

    const closeWindowIfDue = (): void => {
        const elapsed = clock.now() - windowStart;
        const hasSamples = pauseShares.length >= minimumPauseSamples;
        if (elapsed >= (hasSamples ? windowMilliseconds : longestWindowMilliseconds)) {
            closeWindow();
        }
    };

    return {
        recordPause: (milliseconds, gapTargetMilliseconds) => {
            const pauseShare = milliseconds / gapTargetMilliseconds;
            if (pauseShare < stallGapTargets) {
                pauseShares.push(pauseShare);
            }
            closeWindowIfDue();
        },
        running: () => running,
        limit: () => {
            closeWindowIfDue();
            return limit;
        },
        acquire: () => {
            running += 1;
            peakRunning = Math.max(peakRunning, runningOnAllEntries());
        },
        release: () => {
            running -= 1;
        },
    };
};
