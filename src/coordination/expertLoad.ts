/**
 * Estimates the load of the experts and the speed of the ranks from late, incomplete load reports.
 *
 * A rank counts, at the gate, the experts that the tokens of its own sequences chose, so each report is a sample of the
 * whole group's popularity and a missing report only makes the sample smaller. Reports of one interval are added up,
 * and intervals are averaged with an exponential half-life. When an interval differs from the average by far more than
 * sampling noise, the popularity has changed suddenly: the average starts afresh from that interval.
 */
import type { GroupLoad } from "../state/expertMap.js";

/** One rank's report of one interval. */
export type ExpertLoadReport = {
    rank: number;
    /** Number of the interval, the same for all ranks of the group. */
    interval: number;
    /** Choices counted at this rank's gate, `counts[layer][expert]`. */
    counts: number[][];
    /** Expert tokens that this rank processed, and how long it was busy with them. */
    processedTokens: number;
    busyMilliseconds: number;
};

export type LoadEstimate = {
    /** Popularity, `popularity[layer][expert]`, adding up to 1 in each layer; empty before the first interval. */
    popularity: number[][];
    /** Tokens ÷ millisecond of each rank, averaged; undefined before its first report. */
    rates: (number | undefined)[];
    /** The last interval that is included. */
    interval: number;
};

const halfLifeIntervals = 2;
const rateHalfLifeIntervals = 3;
/** Mean relative deviation ÷ the one expected from sampling, above which the popularity has changed suddenly. */
const suddenChangeFactor = 4;
const leastSuddenChange = 0.06;

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

/** Sum over experts of |difference| between two popularities, 0 to 2. */
const distance = (left: number[], right: number[]): number =>
    left.reduce((sum, value, expert) => sum + Math.abs(value - (right[expert] ?? 0)), 0);

/** The distance that sampling alone gives: the mean deviation of each count is about 0.8 × its square root. */
const samplingDistance = (counts: number[]): number => {
    const total = sumOf(counts);
    return counts.reduce((sum, count) => sum + 0.8 * Math.sqrt(count), 0) / Math.max(1, total);
};

const average = (before: number[], now: number[], weight: number): number[] =>
    now.map((value, expert) => (before[expert] ?? 0) * (1 - weight) + value * weight);

const layerPopularity = (before: number[] | undefined, counts: number[]): number[] => {
    const total = sumOf(counts);
    if (total === 0) {
        return before ?? counts.map(() => 1 / counts.length);
    }
    const now = counts.map(count => count / total);
    const bound = Math.max(leastSuddenChange, suddenChangeFactor * samplingDistance(counts));
    if (before === undefined || distance(before, now) > bound) {
        return now;
    }
    return average(before, now, 1 - 0.5 ** (1 / halfLifeIntervals));
};

/** Includes the reports of the next interval; intervals that are already included change nothing. */
export const includeReports = (estimate: LoadEstimate, reports: ExpertLoadReport[]): LoadEstimate => {
    const fresh = reports.filter(report => report.interval > estimate.interval);
    if (fresh.length === 0) {
        return estimate;
    }
    const rates = estimate.rates.slice();
    const rateWeight = 1 - 0.5 ** (1 / rateHalfLifeIntervals);
    for (const { rank, processedTokens, busyMilliseconds } of fresh) {
        if (busyMilliseconds > 0) {
            const rate = processedTokens / busyMilliseconds;
            const before = rates[rank];
            rates[rank] = before === undefined ? rate : before * (1 - rateWeight) + rate * rateWeight;
        }
    }
    return {
        popularity: addCounts(fresh).map((counts, layer) => layerPopularity(estimate.popularity[layer], counts)),
        rates,
        interval: Math.max(...fresh.map(report => report.interval)),
    };
};

const speedTolerance = 0.03;

/** The load that a plan works on: speeds relative to the median rank; small differences count as equal. */
export const groupLoadOf = (estimate: LoadEstimate): GroupLoad => {
    const known = estimate.rates.filter(rate => rate !== undefined).sort((left, right) => left - right);
    const median = known[Math.floor(known.length / 2)] ?? 1;
    const speeds = estimate.rates.map(rate => {
        const speed = rate === undefined || median === 0 ? 1 : rate / median;
        return Math.abs(speed - 1) < speedTolerance ? 1 : speed;
    });
    return { layers: estimate.popularity, speeds };
};
