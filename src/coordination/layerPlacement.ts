/**
 * Improves the placement of one layer by a few moves, each the best of a short list of candidates.
 *
 * A candidate puts an expert of the slowest rank on one of the fastest ranks: into an empty slot, in place of a replica
 * that other ranks also hold, or in exchange for an expert that has no other replica. Candidates are compared with
 * balanced shares, by a norm that the slowest ranks dominate. The norm shows progress even while several ranks are
 * equally slow. Ties go to the lower rank and expert, so the result depends on the input alone.
 */
import { stalledSpeed } from "../state/expertMap.js";
import {
    addReplica,
    balancedTime,
    balanceLayer,
    copyLayer,
    type LayerLoad,
    removeReplica,
    slowestRankTime,
} from "./replicaLoads.js";

/** Transfer of `expert` to `rank`, in place of `replaces` or, if undefined, into an empty slot. */
export type ReplicaMove = { rank: number; expert: number; replaces: number | undefined; };

/** Moves that are made together, with the resulting layer and the time of its slowest rank. */
export type PlacementStep = { moves: ReplicaMove[]; slowestTime: number; layer: LayerLoad; };

const maximumCandidateExperts = 2;
const maximumCandidateRanks = 3;
const maximumExchangeRanks = 6;
const trialSweeps = 4;
const normExponent = 10;

/** Sum over ranks of (time ÷ target time) to a high power, which the slowest ranks dominate. */
const imbalanceNorm = (layer: LayerLoad, targetTime: number): number => {
    let norm = 0;
    for (let rank = 0; rank < layer.rankLoads.length; rank++) {
        const time = (layer.rankLoads[rank] as number) / (layer.rankSpeeds[rank] as number);
        norm += (time / targetTime) ** normExponent;
    }
    return norm;
};

const ranksByTime = (layer: LayerLoad): number[] => {
    const times = layer.rankLoads.map((load, rank) => load / (layer.rankSpeeds[rank] as number));
    return [...times.keys()].sort((left, right) => (times[left] as number) - (times[right] as number) || left - right);
};

/** Experts on `rank` with the load of their replicas there, heaviest first. */
const expertsByLoad = (layer: LayerLoad, rank: number): { expert: number; load: number; }[] => {
    const found: { expert: number; load: number; }[] = [];
    layer.replicaRanks.forEach((ranks, expert) => {
        const replica = ranks.indexOf(rank);
        if (replica >= 0) {
            found.push({ expert, load: layer.replicaLoads[expert]?.[replica] ?? 0 });
        }
    });
    return found.sort((left, right) => right.load - left.load || left.expert - right.expert);
};

const applyMove = (layer: LayerLoad, move: ReplicaMove): void => {
    addReplica(layer, move.expert, move.rank);
    if (move.replaces !== undefined) {
        removeReplica(layer, move.replaces, move.rank);
    }
};

/** Experts whose replica on `rank` may be replaced, the least loaded first, or `[undefined]` for an empty slot. */
const replaceableSlots = (layer: LayerLoad, rank: number, slotsPerRank: number): (number | undefined)[] => {
    const held = expertsByLoad(layer, rank);
    if (held.length < slotsPerRank) {
        return [undefined];
    }
    return held.reverse().filter(({ expert }) => (layer.replicaRanks[expert]?.length ?? 0) > 1).map(({ expert }) =>
        expert
    );
};

/** Candidates that replicate a hot expert to a rank with a replaceable slot. */
const replicationCandidates = (
    layer: LayerLoad,
    hotExperts: number[],
    ranksByTimeAscending: number[],
    slotsPerRank: number,
): ReplicaMove[][] => {
    const found: ReplicaMove[][] = [];
    for (const expert of hotExperts) {
        const holders = layer.replicaRanks[expert] as number[];
        // A rank that holds only sole replicas has no replaceable slot, so the next fastest rank is tried instead.
        let targetCount = 0;
        for (const rank of ranksByTimeAscending) {
            const replaceable = holders.includes(rank) ? [] : replaceableSlots(layer, rank, slotsPerRank).slice(0, 2);
            found.push(...replaceable.map(replaces => [{ rank, expert, replaces }]));
            targetCount += replaceable.length > 0 ? 1 : 0;
            if (targetCount === maximumCandidateRanks) {
                break;
            }
        }
    }
    return found;
};

/** Candidates that exchange a hot expert of the slowest rank for one of a faster rank, for maps without spare slots. */
const exchangeCandidates = (
    layer: LayerLoad,
    slowestRank: number,
    hotExperts: number[],
    ranksByTimeAscending: number[],
): ReplicaMove[][] => {
    const found: ReplicaMove[][] = [];
    for (const expert of hotExperts) {
        for (const rank of ranksByTimeAscending.filter(other => other !== slowestRank).slice(0, maximumExchangeRanks)) {
            if (layer.replicaRanks[expert]?.includes(rank)) {
                continue;
            }
            for (const { expert: other } of expertsByLoad(layer, rank)) {
                if (!layer.replicaRanks[other]?.includes(slowestRank)) {
                    found.push([{ rank, expert, replaces: other }, {
                        rank: slowestRank,
                        expert: other,
                        replaces: expert,
                    }]);
                }
            }
        }
    }
    return found;
};

/**
 * Applies one move or an exchange. An exchange adds both experts before it removes either, so that no expert is ever
 * without a rank.
 */
const applyMoves = (layer: LayerLoad, moves: ReplicaMove[]): void => {
    if (moves.length === 1 && moves[0]) {
        applyMove(layer, moves[0]);
        return;
    }
    moves.forEach(move => addReplica(layer, move.expert, move.rank));
    moves.forEach(move => move.replaces !== undefined && removeReplica(layer, move.replaces, move.rank));
};

/** Candidates that copy the heaviest expert that only a stalled rank holds to another rank. */
const evacuationCandidates = (
    layer: LayerLoad,
    ranksByTimeAscending: number[],
    slotsPerRank: number,
): ReplicaMove[][] => {
    for (const rank of ranksByTimeAscending) {
        if ((layer.rankSpeeds[rank] as number) > stalledSpeed) {
            continue;
        }
        const soleReplicas = expertsByLoad(layer, rank).filter(({ expert }) =>
            layer.replicaRanks[expert]?.length === 1
        );
        if (soleReplicas[0]) {
            return replicationCandidates(layer, [soleReplicas[0].expert], ranksByTimeAscending, slotsPerRank);
        }
    }
    return [];
};

const candidatesFor = (layer: LayerLoad, slotsPerRank: number): ReplicaMove[][] => {
    const ranksByTimeAscending = ranksByTime(layer);
    const runningRanks = ranksByTimeAscending.filter(rank => (layer.rankSpeeds[rank] as number) > stalledSpeed);
    const evacuations = evacuationCandidates(layer, ranksByTimeAscending, slotsPerRank);
    if (evacuations.length > 0) {
        return evacuations;
    }
    const slowestRank = ranksByTimeAscending.at(-1) as number;
    const loadedExperts = expertsByLoad(layer, slowestRank).filter(({ load }) => load > 0);
    const hotExperts = loadedExperts.slice(0, maximumCandidateExperts).map(({ expert }) => expert);
    const replications = replicationCandidates(layer, hotExperts, runningRanks, slotsPerRank);
    return replications.length > 0 ? replications : exchangeCandidates(layer, slowestRank, hotExperts, runningRanks);
};

/** The candidate that lowers the imbalance norm most, or undefined if none does. */
const nextStep = (layer: LayerLoad, slotsPerRank: number, targetTime: number): PlacementStep | undefined => {
    let best: { moves: ReplicaMove[]; layer: LayerLoad; } | undefined;
    let bestNorm = imbalanceNorm(layer, targetTime) * (1 - 1e-6);
    for (const moves of candidatesFor(layer, slotsPerRank)) {
        const trial = copyLayer(layer);
        applyMoves(trial, moves);
        balanceLayer(trial, trialSweeps);
        const norm = imbalanceNorm(trial, targetTime);
        if (norm < bestNorm) {
            best = { moves, layer: trial };
            bestNorm = norm;
        }
    }
    if (best === undefined) {
        return undefined;
    }
    balanceLayer(best.layer);
    return { moves: best.moves, slowestTime: slowestRankTime(best.layer), layer: best.layer };
};

/**
 * Steps that reduce the slowest rank time to at most `targetSkew` × balanced time, as far as moves allow it. Ends once
 * `maximumMoves` is reached; an exchange counts as two moves and may exceed it by one.
 */
export const improveLayer = (
    start: LayerLoad,
    slotsPerRank: number,
    targetSkew: number,
    maximumMoves: number,
): PlacementStep[] => {
    const targetTime = balancedTime(start);
    const steps: PlacementStep[] = [];
    let layer = start;
    let moves = 0;
    while (slowestRankTime(layer) > targetSkew * targetTime && moves < maximumMoves) {
        const step = nextStep(layer, slotsPerRank, targetTime);
        if (step === undefined) {
            break;
        }
        steps.push(step);
        layer = step.layer;
        moves += step.moves.length;
    }
    return steps;
};
