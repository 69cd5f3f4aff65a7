/**
 * Estimates the load of the experts and the speed of the ranks from delayed, incomplete load reports.
 *
 * Each rank counts, at its gate, the experts chosen by the tokens of its own sequences. A report is therefore a sample
 * of the popularity in the whole group, and a missing report only makes the sample smaller. The reports of one interval
 * are summed, and intervals are averaged with an exponential half-life. If an interval differs from the average by far
 * more than sampling noise, the popularity has shifted, and the average restarts from that interval.
 */
import type { GroupLoad } from "../state/expertMap.js";

/** Load report of one rank for one interval. */
export type ExpertLoadReport = {
    rank: number;
    /** Sequence number of the interval, common to all ranks of the group. */
    interval: number;
    /** Expert choices counted at the gate of this rank, `counts[layer][expert]`. */
    counts: number[][];
    /** Expert tokens processed by this rank, and the time it spent on them. */
    processedTokens: number;
    busyMilliseconds: number;
};

export type LoadEstimate = {
    /**
     * Each expert's share of the layer's tokens, `popularity[layer][expert]`; sums to 1 in each layer, empty before the
     * first interval.
     */
    popularity: number[][];
    /** Average tokens per millisecond of each rank; undefined before its first report. */
    rates: (number | undefined)[];
    /** Last interval included in the estimate. */
    interval: number;
};

const halfLifeIntervals = 2;
const rateHalfLifeIntervals = 3;
/** Ratio of the observed distance to the one expected from sampling, above which the popularity has shifted. */
const shiftThresholdFactor = 4;
const minimumShiftDistance = 0.06;

export const emptyEstimate = (ranks: number): LoadEstimate => ({
    popularity: [],
    rates: new Array<number | undefined>(ranks).fill(undefined),
    interval: -1,
});

const addCounts = (reports: ExpertLoadReport[]): number[][] => {
    const total: number[][] = [];
    for (const report of reports) {
        report.counts.forEach((counts, layer) => {
            const sum = total[layer] ??= new Array<number>(counts.length).fill(0);
            counts.forEach((count, expert) => sum[expert] = (sum[expert] ?? 0) + count);
        });
    }
    return total;
};

const sumOf = (values: number[]): number => values.reduce((sum, value) => sum + value, 0);

/** L1 distance between two popularity distributions, 0 to 2. */
const popularityDistance = (left: number[], right: number[]): number =>
    left.reduce((sum, value, expert) => sum + Math.abs(value - (right[expert] ?? 0)), 0);

/** Distance caused by sampling alone: the mean absolute deviation of a count is about 0.8 × its square root. */
const expectedSamplingDistance = (counts: number[]): number => {
    const total = sumOf(counts);
    return counts.reduce((sum, count) => sum + 0.8 * Math.sqrt(count), 0) / Math.max(1, total);
};

const exponentialAverage = (previous: number[], current: number[], weight: number): number[] =>
    current.map((value, expert) => (previous[expert] ?? 0) * (1 - weight) + value * weight);

const layerPopularity = (previous: number[] | undefined, counts: number[]): number[] => {
    const total = sumOf(counts);
    if (total === 0) {
        return previous ?? counts.map(() => 1 / counts.length);
    }
    const current = counts.map(count => count / total);
    const shiftThreshold = Math.max(minimumShiftDistance, shiftThresholdFactor * expectedSamplingDistance(counts));
    if (previous === undefined || popularityDistance(previous, current) > shiftThreshold) {
        return current;
    }
    return exponentialAverage(previous, current, 1 - 0.5 ** (1 / halfLifeIntervals));
};

/** Adds the reports of the next interval; reports of intervals already included are ignored. */
export const updateEstimate = (estimate: LoadEstimate, reports: ExpertLoadReport[]): LoadEstimate => {
    const newReports = reports.filter(report => report.interval > estimate.interval);
    if (newReports.length === 0) {
        return estimate;
    }
    const rates = estimate.rates.slice();
    const rateWeight = 1 - 0.5 ** (1 / rateHalfLifeIntervals);
    for (const { rank, processedTokens, busyMilliseconds } of newReports) {
        if (busyMilliseconds > 0) {
            const rate = processedTokens / busyMilliseconds;
            const previousRate = rates[rank];
            rates[rank] = previousRate === undefined ? rate : previousRate * (1 - rateWeight) + rate * rateWeight;
        }
    }
    return {
        popularity: addCounts(newReports).map((counts, layer) => layerPopularity(estimate.popularity[layer], counts)),
        rates,
        interval: Math.max(...newReports.map(report => report.interval)),
    };
};

const relativeSpeedTolerance = 0.03;

/** Input of the planner: speeds are relative to the median rank, and small differences count as equal. */
export const groupLoadOf = (estimate: LoadEstimate): GroupLoad => {
    const knownRates = estimate.rates.filter(rate => rate !== undefined).sort((left, right) => left - right);
    const median = knownRates[Math.floor(knownRates.length / 2)] ?? 1;
    const speeds = estimate.rates.map(rate => {
        const speed = rate === undefined || median === 0 ? 1 : rate / median;
        return Math.abs(speed - 1) < relativeSpeedTolerance ? 1 : speed;
    });
    return { layers: estimate.popularity, speeds };
};
