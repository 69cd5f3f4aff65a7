/**
 * Measures how fast a queue's requests start, to tell a new one how long it would wait.
 *
 * Only the time in which requests wait counts, since a queue that runs empty is not the bottleneck. Places become free
 * in batches, so the rate is that of the last starts together, up to now: it falls while nothing starts.
 */
import type { Clock } from "../state/types.js";

export type StartRate = {
    /** Takes the time at which requests begin to wait. */
    recordBusy: () => void;
    /** Counts a start of a request that waited. */
    recordStart: () => void;
    /** Takes the time at which no request waits any more. */
    recordIdle: () => void;
    /** Expected wait in milliseconds of a request with `ahead` others before it; 0 while nothing was measured. */
    expectedWait: (ahead: number) => number;
};

const startsMeasured = 32;

/** With fewer starts in the present busy time, the rate of the one before it counts as well. */
const startsNeeded = 4;

export const createStartRate = (clock: Pick<Clock, "now">): StartRate => {
    let windowStart: number | undefined;
    let starts: number[] = [];
    let lastGap = 0;

    const gap = (): number => {
        if (windowStart === undefined) {
            return lastGap;
        }
        const elapsed = clock.now() - windowStart;
        return starts.length < startsNeeded
            ? Math.max(lastGap, elapsed / (starts.length + 1))
            : elapsed / starts.length;
    };

    return {
        recordBusy: () => {
            windowStart ??= clock.now();
        },
        recordStart: () => {
            starts.push(clock.now());
            if (starts.length > startsMeasured) {
                windowStart = starts.shift();
            }
        },
        recordIdle: () => {
            lastGap = gap();
            windowStart = undefined;
            starts = [];
        },
        expectedWait: ahead => ahead * gap(),
    };
};
