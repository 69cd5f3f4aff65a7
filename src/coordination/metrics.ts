/**
 * Counters and latency histograms of one process.
 *
 * Durations are recorded in HDR histograms. The text form has one `name value` pair per line, with the percentiles of
 * each histogram in milliseconds.
 */
import * as hdr from "hdr-histogram-js";

export type Metrics = {
    count: (name: string, amount?: number) => void;
    observe: (name: string, milliseconds: number) => void;
    counter: (name: string) => number;
    text: () => string;
};

const maximumMilliseconds = 3_600_000;
const significantDigits = 2;
/** Histograms hold integers: microseconds, since latencies inside a process are well below a millisecond. */
const unitsPerMillisecond = 1_000;
const percentiles = [50, 95, 99];

export const createMetrics = (): Metrics => {
    const counters = new Map<string, number>();
    const histograms = new Map<string, hdr.Histogram>();

    const histogram = (name: string): hdr.Histogram => {
        const existing = histograms.get(name);
        if (existing !== undefined) {
            return existing;
        }
        const created = hdr.build({
            highestTrackableValue: maximumMilliseconds * unitsPerMillisecond,
            numberOfSignificantValueDigits: significantDigits,
        });
        histograms.set(name, created);
        return created;
    };

    const histogramLines = ([name, values]: [string, hdr.Histogram]): string[] => [
        `${name}_count ${values.totalCount}`,
        ...percentiles.map(percentile =>
            `${name}_milliseconds_p${percentile} ${values.getValueAtPercentile(percentile) / unitsPerMillisecond}`
        ),
    ];

    return {
        count: (name, amount = 1) => void counters.set(name, (counters.get(name) ?? 0) + amount),
        observe: (name, milliseconds) =>
            histogram(name).recordValue(
                Math.max(0, Math.min(maximumMilliseconds, milliseconds)) * unitsPerMillisecond,
            ),
        counter: name => counters.get(name) ?? 0,
        text: () =>
            [
                ...[...counters].map(([name, value]) => `${name} ${value}`),
                ...[...histograms].flatMap(histogramLines),
                "",
            ].join("\n"),
    };
};
