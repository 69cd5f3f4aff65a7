/**
 * Measures how fast a queue's requests start, to tell a new one how long it would wait.
 *
 * Only the time in which requests wait counts, since a queue that runs empty is not the bottleneck. Places become free
 * in batches, so the rate is that of the last starts together, up to now: it falls while nothing starts.
 */
import type { Clock } from "../state/types.js";

export type DequeueRate = {
    /** Takes the time at which requests begin to wait. */
    recordBusy: () => void;
    /** Counts a start of a request that waited. */
    recordDequeue: () => void;
    /** Takes the time at which no request waits any more. */
    recordIdle: () => void;
    /** Expected wait in milliseconds of a request with `ahead` others before it; 0 while nothing was measured. */
    expectedWait: (requestsAhead: number) => number;
};

const maximumSamples = 32;

/** With fewer starts in the present busy time, the rate of the one before it counts as well. */
const minimumSamples = 4;

export const createDequeueRate = (clock: Pick<Clock, "now">): DequeueRate => {
    let windowStart: number | undefined;
    let dequeueTimes: number[] = [];
    let previousIntervalMilliseconds = 0;

    const meanIntervalMilliseconds = (): number => {
        if (windowStart === undefined) {
            return previousIntervalMilliseconds;
        }
        const elapsedMilliseconds = clock.now() - windowStart;
        return dequeueTimes.length < minimumSamples
            ? Math.max(previousIntervalMilliseconds, elapsedMilliseconds / (dequeueTimes.length + 1))
            : elapsedMilliseconds / dequeueTimes.length;
    };

    return {
        recordBusy: () => {
            windowStart ??= clock.now();
        },
        recordDequeue: () => {
            dequeueTimes.push(clock.now());
            if (dequeueTimes.length > maximumSamples) {
                windowStart = dequeueTimes.shift();
            }
        },
        recordIdle: () => {
            previousIntervalMilliseconds = meanIntervalMilliseconds();
            windowStart = undefined;
            dequeueTimes = [];
        },
        expectedWait: requestsAhead => requestsAhead * meanIntervalMilliseconds(),
    };
};
