/**
 * Plans a group's next expert map from samples of its steps.
 *
 * It is meant for steps with few requests, each with its own set of experts, and for demand that drifts within seconds.
 * In each layer a step waits for its most loaded rank, so the plan lowers the sum over samples and ranks of the load to
 * the fourth power, in which the most loaded rank of each sample weighs most. It adds or replaces one replica at a
 * time, the best first, and stops when the next one gains too little to pay for the copy. The plan depends on its input
 * alone.
 */
import type { ExpertShape } from "../../state/ingressTypes.js";
import type { ExpertPlacement } from "./rankEngine.js";

export type PlacementLimits = {
    /** Maximum number of experts that one rank copies over all layers, since it copies them one after another. */
    maximumCopiesPerRank: number;
    /** Relative gain of a layer's objective below which no replica is added. */
    minimumRelativeGain: number;
};

export type SampledPlan = {
    map: ExpertPlacement;
    /** Number of experts copied, over all ranks. */
    copies: number;
    /** Number of experts copied, one after another, by the rank that copies most. */
    largestCopiesOnOneRank: number;
    /** Mean over samples and layers of the highest rank load ÷ the mean rank load. */
    skewNow: number;
    skewPlanned: number;
};

/** Experts considered for replication in one move, by their load on the most loaded ranks. */
const maximumCandidateExperts = 6;
/** Ranks considered for a new replica, the least loaded first; covers all ranks of the smaller groups in use. */
const maximumCandidateRanks = 10;
/** Replicas considered for eviction from a full rank, the least loaded first. */
const maximumCandidateEvictions = 3;
const normExponent = 4;

/** Experts assigned to the ranks round-robin: the map that engines start with. */
export const roundRobinPlacement = ({ layers, experts }: ExpertShape, ranks: number): ExpertPlacement => {
    const all = [...Array(experts).keys()];
    const layer = [...Array(ranks).keys()].map(rank => all.filter(expert => expert % ranks === rank));
    return Array.from({ length: layers }, () => layer);
};

type LayerLoads = {
    expertsByRank: Set<number>[];
    ranksByExpert: number[][];
    /** `demand[sample][expert]` */
    demand: number[][];
    /** `load[sample][rank]` */
    load: number[][];
    /** Number of experts added to each rank. */
    addedByRank: number[];
};

const createLayerLoads = (expertLists: number[][], demand: number[][], experts: number): LayerLoads => {
    const ranksByExpert: number[][] = Array.from({ length: experts }, () => []);
    expertLists.forEach((list, rank) => list.forEach(expert => ranksByExpert[expert]?.push(rank)));
    const load = demand.map(sample => {
        const row = new Array<number>(expertLists.length).fill(0);
        ranksByExpert.forEach((ranks, expert) =>
            ranks.forEach(rank => row[rank] = (row[rank] ?? 0) + (sample[expert] ?? 0) / ranks.length)
        );
        return row;
    });
    return {
        expertsByRank: expertLists.map(list => new Set(list)),
        ranksByExpert,
        demand,
        load,
        addedByRank: expertLists.map(() => 0),
    };
};

const imbalanceNorm = (load: number[][]): number =>
    load.reduce((total, row) => total + row.reduce((sum, value) => sum + value ** normExponent, 0), 0);

const skewOf = ({ load }: LayerLoads): number => {
    const skews = load.map(row => {
        const mean = row.reduce((sum, value) => sum + value, 0) / row.length;
        return mean > 0 ? Math.max(...row) / mean : 1;
    });
    return skews.reduce((sum, skew) => sum + skew, 0) / Math.max(1, skews.length);
};

type ReplicaMove = { expert: number; rank: number; evicted: number | undefined; };

/** Change of a rank load by a move, as fractions of the tokens of the added and of the evicted expert. */
type RankLoadChange = { rank: number; expertFraction: number; evictedFraction: number; };

/** Changes for the ranks whose load a move affects; the load of all others stays. */
const loadChangesOf = (
    { ranksByExpert }: LayerLoads,
    { expert, rank, evicted }: ReplicaMove,
): RankLoadChange[] => {
    const changes = new Map<number, RankLoadChange>();
    const changeOf = (changed: number): RankLoadChange => {
        const known = changes.get(changed) ?? { rank: changed, expertFraction: 0, evictedFraction: 0 };
        changes.set(changed, known);
        return known;
    };
    const currentRanks = ranksByExpert[expert] as number[];
    currentRanks.forEach(replicaRank =>
        changeOf(replicaRank).expertFraction = 1 / (currentRanks.length + 1) - 1 / currentRanks.length
    );
    changeOf(rank).expertFraction = 1 / (currentRanks.length + 1);
    if (evicted !== undefined) {
        const evictedRanks = ranksByExpert[evicted] as number[];
        evictedRanks.forEach(replicaRank =>
            changeOf(replicaRank).evictedFraction = 1 / (evictedRanks.length - 1) - 1 / evictedRanks.length
        );
        changeOf(rank).evictedFraction = -1 / evictedRanks.length;
    }
    return [...changes.values()];
};

const imbalanceNormChange = (layer: LayerLoads, move: ReplicaMove): number => {
    const { demand, load } = layer;
    const changes = loadChangesOf(layer, move);
    let change = 0;
    for (let sample = 0; sample < load.length; sample += 1) {
        const row = load[sample] as number[];
        const expertTokens = demand[sample]?.[move.expert] ?? 0;
        const evictedTokens = move.evicted === undefined ? 0 : demand[sample]?.[move.evicted] ?? 0;
        for (const { rank, expertFraction, evictedFraction } of changes) {
            const before = row[rank] as number;
            const after = before + expertFraction * expertTokens + evictedFraction * evictedTokens;
            change += after ** normExponent - before ** normExponent;
        }
    }
    return change;
};

const applyMove = (layer: LayerLoads, move: ReplicaMove): void => {
    const { expert, rank, evicted } = move;
    const changes = loadChangesOf(layer, move);
    layer.load.forEach((row, sample) => {
        const expertTokens = layer.demand[sample]?.[expert] ?? 0;
        const evictedTokens = evicted === undefined ? 0 : layer.demand[sample]?.[evicted] ?? 0;
        changes.forEach(({ rank: changed, expertFraction, evictedFraction }) =>
            row[changed] = (row[changed] as number) + expertFraction * expertTokens + evictedFraction * evictedTokens
        );
    });
    layer.expertsByRank[rank]?.add(expert);
    layer.ranksByExpert[expert]?.push(rank);
    if (evicted !== undefined) {
        layer.expertsByRank[rank]?.delete(evicted);
        layer.ranksByExpert[evicted] = (layer.ranksByExpert[evicted] ?? []).filter(replicaRank => replicaRank !== rank);
    }
    layer.addedByRank[rank] = (layer.addedByRank[rank] ?? 0) + 1;
};

/** Experts with the highest load on the most loaded rank of each sample. */
const hottestExperts = ({ ranksByExpert, demand, load }: LayerLoads): number[] => {
    const weights = ranksByExpert.map(() => 0);
    load.forEach((row, sample) => {
        const hottestRank = row.indexOf(Math.max(...row));
        ranksByExpert.forEach((ranks, expert) => {
            if (ranks.includes(hottestRank)) {
                weights[expert] = (weights[expert] as number) + (demand[sample]?.[expert] ?? 0) / ranks.length;
            }
        });
    });
    return [...weights.keys()]
        .sort((left, right) => (weights[right] as number) - (weights[left] as number) || left - right)
        .slice(0, maximumCandidateExperts);
};

/** Experts that a full rank can evict because other ranks also hold them, the least loaded first. */
const evictionCandidates = (
    { expertsByRank, ranksByExpert, demand }: LayerLoads,
    rank: number,
    expertTotals: number[],
): number[] =>
    [...expertsByRank[rank] ?? []]
        .filter(expert => (ranksByExpert[expert]?.length ?? 0) > 1)
        .map(expert => ({ expert, load: (expertTotals[expert] ?? 0) / (ranksByExpert[expert]?.length ?? 1) }))
        .sort((left, right) => left.load - right.load || left.expert - right.expert)
        .slice(0, demand.length > 0 ? maximumCandidateEvictions : 0)
        .map(({ expert }) => expert);

type EvaluatedMove = { move: ReplicaMove; change: number; };

/** Ranks that may receive a replica, the least loaded first. */
const receivingRanks = (
    { expertsByRank, addedByRank, load }: LayerLoads,
    shape: ExpertShape,
    remainingCopies: number[],
): number[] => {
    const rankTotals = expertsByRank.map((unused, rank) => load.reduce((sum, row) => sum + (row[rank] ?? 0), 0));
    return [...expertsByRank.keys()]
        .filter(rank => (addedByRank[rank] ?? 0) < shape.newPerMap && (remainingCopies[rank] ?? 0) > 0)
        .sort((left, right) => (rankTotals[left] as number) - (rankTotals[right] as number) || left - right)
        .slice(0, maximumCandidateRanks);
};

/** The candidate with the lowest change of the layer's imbalance norm. */
const bestMove = (
    layer: LayerLoads,
    shape: ExpertShape,
    expertTotals: number[],
    remainingCopies: number[],
): EvaluatedMove | undefined => {
    const ranks = receivingRanks(layer, shape, remainingCopies).map(rank => {
        const hasFreeSlot = (layer.expertsByRank[rank]?.size ?? 0) < shape.placesPerRank;
        return { rank, evictionOptions: hasFreeSlot ? [undefined] : evictionCandidates(layer, rank, expertTotals) };
    });
    let best: EvaluatedMove | undefined;
    for (const expert of hottestExperts(layer)) {
        for (const { rank, evictionOptions } of ranks) {
            if (layer.expertsByRank[rank]?.has(expert) === true) {
                continue;
            }
            for (const evicted of evictionOptions) {
                const move = { expert, rank, evicted };
                const change = imbalanceNormChange(layer, move);
                if (best === undefined || change < best.change) {
                    best = { move, change };
                }
            }
        }
    }
    return best;
};

/** Plans the map that follows `currentPlacement`; `samples` come from `LoadSamples`. */
export const planFromSamples = (
    currentPlacement: ExpertPlacement,
    samples: number[][],
    shape: ExpertShape,
    limits: PlacementLimits,
): SampledPlan => {
    const ranks = currentPlacement[0]?.length ?? 0;
    const remainingCopies = new Array<number>(ranks).fill(limits.maximumCopiesPerRank);
    const layers = currentPlacement.map((expertsByRank, index) => {
        const start = index * shape.experts;
        return createLayerLoads(
            expertsByRank,
            samples.map(sample => sample.slice(start, start + shape.experts)),
            shape.experts,
        );
    });
    const mean = (values: number[]): number =>
        values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);
    const skewNow = mean(layers.map(skewOf));
    const totals = layers.map(({ demand, ranksByExpert }) =>
        [...ranksByExpert.keys()].map(expert => demand.reduce((sum, sample) => sum + (sample[expert] ?? 0), 0))
    );
    const layerStates = layers.map((layer, index) => ({
        layer,
        totals: totals[index] ?? [],
        norm: imbalanceNorm(layer.load),
    }));
    let copies = 0;
    // Layers take turns, so that the copies that each rank can make are spread over all layers.
    for (let activeLayers = [...layerStates]; activeLayers.length > 0;) {
        activeLayers = activeLayers.filter(entry => {
            const evaluated = entry.norm > 0 ? bestMove(entry.layer, shape, entry.totals, remainingCopies) : undefined;
            if (evaluated === undefined || evaluated.change > -entry.norm * limits.minimumRelativeGain) {
                return false;
            }
            applyMove(entry.layer, evaluated.move);
            entry.norm += evaluated.change;
            remainingCopies[evaluated.move.rank] = (remainingCopies[evaluated.move.rank] ?? 0) - 1;
            copies += 1;
            return true;
        });
    }
    return {
        map: layers.map(({ expertsByRank }) => expertsByRank.map(set => [...set].sort((left, right) => left - right))),
        copies,
        largestCopiesOnOneRank: limits.maximumCopiesPerRank - Math.min(...remainingCopies),
        skewNow,
        skewPlanned: mean(layers.map(skewOf)),
    };
};
