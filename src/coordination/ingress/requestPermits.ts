/**
 * Permits for requests to upstreams that state a limit, as one entry gives them to all (a token bucket a run).
 *
 * A bucket begins empty: the entry that decided before may just have given a full one. It holds little, as the upstream
 * counts all requests of a few seconds.
 */
import type { Clock } from "../../state/types.js";
import { keyOfRun, type UpstreamRun } from "./upstreamRun.js";

export type PermitDecision = {
    isGranted: boolean;
    /** Time until the next permit; 0 if this one is granted. */
    closedForMilliseconds: number;
};

export type RequestPermits = {
    /** Decides on one request to an upstream that may be sent `requestsPerSecond` by way of this entry. */
    decide: (upstream: UpstreamRun, requestsPerSecond: number) => PermitDecision;
};

/** Permits that may be left over, as a share of those of a second, beside one. */
const burstSeconds = 0.25;
/** Buckets of upstreams that state no limit any more are dropped with the oldest. */
const maximumBuckets = 1_000;
const millisecondsPerSecond = 1_000;

type Bucket = { permits: number; updatedAt: number; };

export const createRequestPermits = (clock: Pick<Clock, "now">): RequestPermits => {
    const buckets = new Map<string, Bucket>();

    const bucketOf = (upstream: UpstreamRun): Bucket => {
        const key = keyOfRun(upstream);
        const bucket = buckets.get(key) ?? { permits: 0, updatedAt: clock.now() };
        buckets.set(key, bucket);
        const [oldest] = buckets.keys();
        if (buckets.size > maximumBuckets && oldest !== undefined) {
            buckets.delete(oldest);
        }
        return bucket;
    };

    return {
        decide: (upstream, requestsPerSecond) => {
            const bucket = bucketOf(upstream);
            const elapsedSeconds = (clock.now() - bucket.updatedAt) / millisecondsPerSecond;
            bucket.permits = Math.min(
                1 + requestsPerSecond * burstSeconds,
                bucket.permits + requestsPerSecond * elapsedSeconds,
            );
            bucket.updatedAt = clock.now();
            if (bucket.permits < 1) {
                const seconds = (1 - bucket.permits) / requestsPerSecond;
                return { isGranted: false, closedForMilliseconds: seconds * millisecondsPerSecond };
            }
            bucket.permits -= 1;
            return { isGranted: true, closedForMilliseconds: 0 };
        },
    };
};
