/**
 * Measurements of one run: latencies in HDR histograms with a resolution of one microsecond, and event counts by name.
 */
import * as hdr from "hdr-histogram-js";

/** Summary of one latency histogram, in milliseconds except for `count`. */
export type LatencySummary = { count: number; p50: number; p95: number; p99: number; max: number; mean: number; };

const microsecondsPerMillisecond = 1_000;
const maximumMicroseconds = 600_000_000;

export class LatencyHistogram {
    private readonly histogram = hdr.build({
        lowestDiscernibleValue: 1,
        highestTrackableValue: maximumMicroseconds,
        numberOfSignificantValueDigits: 3,
        useWebAssembly: false,
    });

    /** Records one latency, clamped to the range of 1 µs to 10 minutes. */
    record(milliseconds: number): void {
        const microseconds = Math.round(milliseconds * microsecondsPerMillisecond);
        this.histogram.recordValue(Math.min(maximumMicroseconds, Math.max(1, microseconds)));
    }

    percentile(percent: number): number {
        return this.histogram.getValueAtPercentile(percent) / microsecondsPerMillisecond;
    }

    summary(): LatencySummary {
        return {
            count: this.histogram.totalCount,
            p50: this.percentile(50),
            p95: this.percentile(95),
            p99: this.percentile(99),
            max: this.histogram.maxValue / microsecondsPerMillisecond,
            mean: this.histogram.mean / microsecondsPerMillisecond,
        };
    }
}

/** Counts events by name. */
export class EventCounts {
    private readonly counts = new Map<string, number>();

    add(name: string, count = 1): void {
        this.counts.set(name, this.of(name) + count);
    }

    of(name: string): number {
        return this.counts.get(name) ?? 0;
    }

    toObject(): Record<string, number> {
        return Object.fromEntries([...this.counts].sort());
    }
}
