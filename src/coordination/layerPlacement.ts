/**
 * Improves the placement of one layer by a few moves, each the best of a short list of candidates.
 *
 * A candidate puts an expert of the slowest rank on one of the fastest ranks: into an empty slot, in place of a replica
 * that other ranks hold too, or in exchange for an expert that has no other replica. Candidates are compared after
 * levelling, by a norm that weighs slow ranks heavily, so that progress shows even while several ranks are equally
 * slow. Ties go to the lower rank and expert, which makes the result a function of the input alone.
 */
import { stalledSpeed } from "../state/expertMap.js";
import {
    addReplica,
    copyLayer,
    type LayerLoad,
    levelLayer,
    levelTime,
    removeReplica,
    slowestTime,
} from "./replicaShares.js";

/** One transfer within the layer. */
export type LayerMove = { rank: number; expert: number; replaces: number | undefined; };

/** Moves that belong together, and the slowest time of the layer once they are made. */
export type LayerStep = { moves: LayerMove[]; slowest: number; layer: LayerLoad; };

const candidateExperts = 2;
const candidateRanks = 3;
const exchangeRanks = 6;
const quickSweeps = 4;
const normExponent = 10;

/** Weighs slow ranks heavily: the sum over ranks of (time ÷ level time) to a high power. */
const slownessNorm = (layer: LayerLoad, level: number): number => {
    let norm = 0;
    for (let rank = 0; rank < layer.rankLoads.length; rank++) {
        const time = (layer.rankLoads[rank] as number) / (layer.speeds[rank] as number);
        norm += (time / level) ** normExponent;
    }
    return norm;
};

/** Ranks from the fastest to the slowest. */
const ranksByTime = (layer: LayerLoad): number[] => {
    const times = layer.rankLoads.map((load, rank) => load / (layer.speeds[rank] as number));
    return [...times.keys()].sort((left, right) => (times[left] as number) - (times[right] as number) || left - right);
};

/** Experts of `rank` with the load that they put on it, heaviest first. */
const expertsByLoad = (layer: LayerLoad, rank: number): { expert: number; load: number; }[] => {
    const found: { expert: number; load: number; }[] = [];
    layer.holders.forEach((ranks, expert) => {
        const turn = ranks.indexOf(rank);
        if (turn >= 0) {
            found.push({ expert, load: layer.poured[expert]?.[turn] ?? 0 });
        }
    });
    return found.sort((left, right) => right.load - left.load || left.expert - right.expert);
};

const applyMove = (layer: LayerLoad, move: LayerMove): void => {
    addReplica(layer, move.expert, move.rank);
    if (move.replaces !== undefined) {
        removeReplica(layer, move.replaces, move.rank);
    }
};

/** Replicas on `rank` that the layer can lose, the least loaded first, or an empty slot. */
const freeSlots = (layer: LayerLoad, rank: number, slotsPerRank: number): (number | undefined)[] => {
    const held = expertsByLoad(layer, rank);
    if (held.length < slotsPerRank) {
        return [undefined];
    }
    return held.reverse().filter(({ expert }) => (layer.holders[expert]?.length ?? 0) > 1).map(({ expert }) => expert);
};

/** Candidates that copy an expert of the slowest rank to a rank with room. */
const copyCandidates = (layer: LayerLoad, hot: number[], order: number[], slotsPerRank: number): LayerMove[][] => {
    const found: LayerMove[][] = [];
    for (const expert of hot) {
        const holders = layer.holders[expert] as number[];
        // A fast rank whose experts have no other replica has no room, so the next fastest takes its place.
        let targets = 0;
        for (const rank of order) {
            const free = holders.includes(rank) ? [] : freeSlots(layer, rank, slotsPerRank).slice(0, 2);
            found.push(...free.map(replaces => [{ rank, expert, replaces }]));
            targets += free.length > 0 ? 1 : 0;
            if (targets === candidateRanks) {
                break;
            }
        }
    }
    return found;
};

/** Candidates that exchange an expert of the slowest rank for one of a faster rank, for maps without spare slots. */
const exchangeCandidates = (layer: LayerLoad, slowest: number, hot: number[], order: number[]): LayerMove[][] => {
    const found: LayerMove[][] = [];
    for (const expert of hot) {
        for (const rank of order.filter(other => other !== slowest).slice(0, exchangeRanks)) {
            if (layer.holders[expert]?.includes(rank)) {
                continue;
            }
            for (const { expert: other } of expertsByLoad(layer, rank)) {
                if (!layer.holders[other]?.includes(slowest)) {
                    found.push([{ rank, expert, replaces: other }, { rank: slowest, expert: other, replaces: expert }]);
                }
            }
        }
    }
    return found;
};

/** An exchange adds both experts before it removes any, so that no expert is ever without a rank. */
const applyMoves = (layer: LayerLoad, moves: LayerMove[]): void => {
    if (moves.length === 1 && moves[0]) {
        applyMove(layer, moves[0]);
        return;
    }
    moves.forEach(move => addReplica(layer, move.expert, move.rank));
    moves.forEach(move => move.replaces !== undefined && removeReplica(layer, move.replaces, move.rank));
};

/** A stalled rank gives up every expert that it alone holds, the heaviest first. */
const unloadCandidates = (layer: LayerLoad, order: number[], slotsPerRank: number): LayerMove[][] => {
    for (const rank of order) {
        if ((layer.speeds[rank] as number) > stalledSpeed) {
            continue;
        }
        const alone = expertsByLoad(layer, rank).filter(({ expert }) => layer.holders[expert]?.length === 1);
        if (alone[0]) {
            return copyCandidates(layer, [alone[0].expert], order, slotsPerRank);
        }
    }
    return [];
};

const candidatesFor = (layer: LayerLoad, slotsPerRank: number): LayerMove[][] => {
    const order = ranksByTime(layer);
    const running = order.filter(rank => (layer.speeds[rank] as number) > stalledSpeed);
    const unload = unloadCandidates(layer, order, slotsPerRank);
    if (unload.length > 0) {
        return unload;
    }
    const slowest = order.at(-1) as number;
    const loaded = expertsByLoad(layer, slowest).filter(({ load }) => load > 0);
    const hot = loaded.slice(0, candidateExperts).map(({ expert }) => expert);
    const copies = copyCandidates(layer, hot, running, slotsPerRank);
    return copies.length > 0 ? copies : exchangeCandidates(layer, slowest, hot, running);
};

/** The best next step for the layer, or undefined when no candidate makes it any more level. */
const nextStep = (layer: LayerLoad, slotsPerRank: number, level: number): LayerStep | undefined => {
    let best: { moves: LayerMove[]; layer: LayerLoad; } | undefined;
    let bestNorm = slownessNorm(layer, level) * (1 - 1e-6);
    for (const moves of candidatesFor(layer, slotsPerRank)) {
        const trial = copyLayer(layer);
        applyMoves(trial, moves);
        levelLayer(trial, quickSweeps);
        const norm = slownessNorm(trial, level);
        if (norm < bestNorm) {
            best = { moves, layer: trial };
            bestNorm = norm;
        }
    }
    if (best === undefined) {
        return undefined;
    }
    levelLayer(best.layer);
    return { moves: best.moves, slowest: slowestTime(best.layer), layer: best.layer };
};

/** Steps that bring the layer's slowest time down to `targetSkew` × level time, at most `maximumMoves` transfers. */
export const improveLayer = (
    start: LayerLoad,
    slotsPerRank: number,
    targetSkew: number,
    maximumMoves: number,
): LayerStep[] => {
    const level = levelTime(start);
    const steps: LayerStep[] = [];
    let layer = start;
    let moves = 0;
    while (slowestTime(layer) > targetSkew * level && moves < maximumMoves) {
        const step = nextStep(layer, slotsPerRank, level);
        if (step === undefined) {
            break;
        }
        steps.push(step);
        layer = step.layer;
        moves += step.moves.length;
    }
    return steps;
};
