/**
 * Measures how fast queued requests start, to predict the wait of a new one.
 *
 * Only busy periods count, since an empty queue is not the bottleneck. Capacity becomes free in batches, so the rate is
 * averaged over the latest starts up to now; it therefore falls while nothing starts.
 */
import type { Clock } from "../state/types.js";

export type DequeueRate = {
    /** Marks the start of a busy period; no effect during one. */
    recordBusy: () => void;
    /** Counts the start of a queued request. */
    recordDequeue: () => void;
    /** Marks the end of a busy period: the queue is empty. */
    recordIdle: () => void;
    /** Expected wait in milliseconds behind `requestsAhead` others; 0 before anything was measured. */
    expectedWait: (requestsAhead: number) => number;
};

const maximumSamples = 32;

/** With fewer starts in the current busy period, the rate of the previous one counts as well. */
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
