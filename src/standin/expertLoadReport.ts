/**
 * Expert load reports of a stand-in rank: a fixed skewed popularity, the same for all ranks of the group.
 */
import type { ExpertLoadReport } from "../coordination/expertLoad.js";

const selectionsPerSecond = 100_000;
const intervalMilliseconds = 1_000;

/** Popularity of the experts of one layer: expert `layer` is the hottest, each next one less. */
const expertPopularity = (layer: number, experts: number): number[] => {
    const weights = Array.from(
        { length: experts },
        (unused, expert) => (1 + (expert + experts - layer) % experts) ** -0.8,
    );
    const total = weights.reduce((sum, weight) => sum + weight, 0);
    return weights.map(weight => weight / total);
};

/** The report of the last whole second. */
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
