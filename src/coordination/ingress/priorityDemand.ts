/**
 * Measures the demand for each service by priority at one entry: streams a second that arrive and that start, and those
 * that wait for a place.
 *
 * Answers a burst of one priority of some seconds, of which each of 44 entries sees a stream or two a second. The
 * averages are short, so that the total over all entries follows a burst within half a second; the noise of one entry
 * cancels out in the total.
 */
import type { Clock } from "../../state/types.js";
import type { PriorityDemand } from "./peerStatusTable.js";

export type PriorityDemandTracker = {
    recordArrival: (service: string, priority: number) => void;
    recordStart: (service: string, priority: number) => void;
    /** Counts a stream as waiting until the returned function is called. */
    recordWait: (service: string, priority: number) => () => void;
    /** This entry's demand for a service, in the order of priorities. */
    own: (service: string) => PriorityDemand[];
    /** This entry's demand for all services with recent streams. */
    all: () => Record<string, PriorityDemand[]>;
};

/** Time over which rates are averaged: two thirds of a sudden change are seen after it. */
const averagingMilliseconds = 400;
/** A priority counts as seen for this long after its last stream, longer than any stream lasts. */
const seenMilliseconds = 10_000;
const millisecondsPerSecond = 1_000;

/** Events a second, averaged with weights that decay exponentially with age. */
const createDecayingRate = (clock: Pick<Clock, "now">) => {
    let rate = 0;
    let at = clock.now();
    const current = (): number => {
        rate *= Math.exp((at - clock.now()) / averagingMilliseconds);
        at = clock.now();
        return rate;
    };
    return {
        record: (): void => {
            rate = current() + millisecondsPerSecond / averagingMilliseconds;
        },
        perSecond: current,
    };
};

type Counts = {
    arrivals: ReturnType<typeof createDecayingRate>;
    starts: ReturnType<typeof createDecayingRate>;
    waiting: number;
    seenAt: number;
};

export const createPriorityDemandTracker = (clock: Pick<Clock, "now">): PriorityDemandTracker => {
    const byService = new Map<string, Map<number, Counts>>();

    const countsOf = (service: string, priority: number): Counts => {
        const byPriority = byService.get(service) ?? new Map<number, Counts>();
        byService.set(service, byPriority);
        const counts = byPriority.get(priority) ?? {
            arrivals: createDecayingRate(clock),
            starts: createDecayingRate(clock),
            waiting: 0,
            seenAt: clock.now(),
        };
        byPriority.set(priority, counts);
        return counts;
    };

    const own = (service: string): PriorityDemand[] => {
        const byPriority = byService.get(service) ?? new Map<number, Counts>();
        for (const [priority, { seenAt, waiting }] of byPriority) {
            if (waiting === 0 && clock.now() - seenAt > seenMilliseconds) {
                byPriority.delete(priority);
            }
        }
        return [...byPriority]
            .sort(([left], [right]) => left - right)
            .map(([priority, { arrivals, starts, waiting }]) => ({
                priority,
                arrivalsPerSecond: arrivals.perSecond(),
                startsPerSecond: starts.perSecond(),
                waiting,
            }));
    };

    return {
        recordArrival: (service, priority) => {
            const counts = countsOf(service, priority);
            counts.arrivals.record();
            counts.seenAt = clock.now();
        },
        recordStart: (service, priority) => countsOf(service, priority).starts.record(),
        recordWait: (service, priority) => {
            const counts = countsOf(service, priority);
            counts.waiting += 1;
            return () => {
                counts.waiting -= 1;
            };
        },
        own,
        all: () =>
            Object.fromEntries(
                [...byService.keys()].map(service => [service, own(service)] as const).filter(([, rows]) =>
                    rows.length > 0
                ),
            ),
    };
};
