/**
 * Expert load reports of a simulated rank, from a fixed skewed expert popularity that all ranks of the group share.
 */
import type { ExpertLoadReport } from "../coordination/expertLoad.js";

const selectionsPerSecond = 100_000;
const intervalMilliseconds = 1_000;

/**
 * Share of the selections of each expert of one layer, by a power law. Expert `layer` is the most popular, and
 * popularity falls with each following index, modulo the number of experts.
 */
const expertPopularity = (layer: number, experts: number): number[] => {
    const weights = Array.from(
        { length: experts },
        (unused, expert) => (1 + (expert + experts - layer) % experts) ** -0.8,
    );
    const total = weights.reduce((sum, weight) => sum + weight, 0);
    return weights.map(weight => weight / total);
};

/** Creates the report of the last complete interval before `now`, which is in milliseconds. */
export const createExpertLoadReport = (
    rank: number,
    speed: number,
    expertShape: { layers: number; experts: number; },
    now: number,
): ExpertLoadReport => ({
    rank,
    interval: Math.floor(now / intervalMilliseconds) - 1,
    counts: Array.from(
        { length: expertShape.layers },
        (unused, layer) => expertPopularity(layer, expertShape.experts).map(share => share * selectionsPerSecond),
    ),
    processedTokens: selectionsPerSecond * speed,
    busyMilliseconds: intervalMilliseconds,
});
