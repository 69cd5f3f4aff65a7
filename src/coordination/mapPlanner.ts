/**
 * Plans the next expert map of a group from its current map, the load of its experts and the speed of its ranks.
 *
 * Planning is incremental. The replica shares of each layer are balanced first, since changing shares transfers no
 * weights. Layers that stay uneven get a few replica moves. Moves are kept only if the step time they save over the
 * planning horizon exceeds the time lost to their transfers by `requiredGainRatio`. Across all layers, the moves that
 * save most per transfer come first, up to a bound on the transfer time of one change. The plan depends on its input
 * alone.
 */
import {
    effectiveSpeed,
    type ExpertMap,
    type ExpertMove,
    type GroupLoad,
    type LayerMap,
    movesBetween,
    replicaRanksOf,
    stalledSpeed,
    stepTime,
} from "../state/expertMap.js";
import { improveLayer, type PlacementStep } from "./layerPlacement.js";
import { balancedTime, balanceLayer, createLayerLoad, type LayerLoad, slowestRankTime } from "./replicaLoads.js";

/** Costs of a transfer, and the limits of one plan. */
export type PlacementSettings = {
    /** Size of the weights of one expert in one layer. */
    bytesPerExpert: number;
    /** Throughput of the weight store, shared by the whole group. */
    storeBytesPerSecond: number;
    /** Time for which a plan is expected to remain useful, over which the saved step time is counted. */
    horizonSeconds: number;
    /** Fraction of the step time that is lost while weights are transferred. */
    transferSlowdown: number;
    /** Ratio of time saved to time lost below which a layer gets no moves. */
    requiredGainRatio: number;
    /** Layer skew, after balancing the shares, above which moves are considered. */
    startSkew: number;
    /** Layer skew at or below which no more moves are added. */
    targetSkew: number;
    /** Bound on the transfer time of one change. The first segment is taken even if it exceeds the bound. */
    maximumTransferSecondsPerChange: number;
    /** Number of transfers at which a layer gets no more moves in one change. */
    maximumMovesPerLayer: number;
    /** Predicted relative gain in step time below which the current map is kept, shares included. */
    minimumRelativeGain: number;
};

/** Defaults for a weight store that serves 2 GB/s and experts of 44 MB each. */
export const defaultPlacementSettings: PlacementSettings = {
    bytesPerExpert: 44e6,
    storeBytesPerSecond: 2e9,
    horizonSeconds: 60,
    transferSlowdown: 0.05,
    requiredGainRatio: 2,
    startSkew: 1.02,
    targetSkew: 1.01,
    maximumTransferSecondsPerChange: 5,
    maximumMovesPerLayer: 8,
    minimumRelativeGain: 0.005,
};

/** Predicted skew of one layer: on the current map, with balanced shares alone, and on the planned map. */
export type LayerSkew = { layer: number; skewNow: number; skewWithShares: number; skewPlanned: number; };

/** A planned change; `kind` is `keep` when the current map stays in force. */
export type PlacementPlan = {
    kind: "keep" | "shares" | "moves";
    map: ExpertMap;
    moves: ExpertMove[];
    bytes: number;
    /** Time that the weight store needs for the moves. */
    transferSeconds: number;
    skewNow: number;
    skewPlanned: number;
    layerSkews: LayerSkew[];
};

/** Possible changes of one layer: the layer with balanced shares, then the steps that each add moves. */
type LayerPlan = { index: number; balancedLayer: LayerLoad; steps: PlacementStep[]; };

/** Consecutive steps of one layer that are only worth taking together. */
type MoveSegment = { index: number; lastStep: number; moves: number; savedTimePerMove: number; };

/**
 * Moves to plan per layer: 1.5 times what one change can transfer, spread over the layers. Any further moves would not
 * fit into the change.
 */
const moveBudgetPerLayer = (layers: number, settings: PlacementSettings): number => {
    const movesPerChange = settings.maximumTransferSecondsPerChange * settings.storeBytesPerSecond
        / settings.bytesPerExpert;
    return Math.min(settings.maximumMovesPerLayer, Math.max(2, Math.ceil(1.5 * movesPerChange / layers)));
};

const planLayer = (index: number, map: ExpertMap, load: GroupLoad, settings: PlacementSettings): LayerPlan => {
    const speeds = load.speeds.map(effectiveSpeed);
    const balancedLayer = createLayerLoad(
        load.layers[index] ?? [],
        speeds,
        replicaRanksOf(map.layers[index] ?? [], map.experts),
    );
    balanceLayer(balancedLayer);
    if (slowestRankTime(balancedLayer) <= settings.startSkew * balancedTime(balancedLayer)) {
        return { index, balancedLayer, steps: [] };
    }
    const moves = moveBudgetPerLayer(map.layers.length, settings);
    return { index, balancedLayer, steps: improveLayer(balancedLayer, map.slotsPerRank, settings.targetSkew, moves) };
};

/**
 * Groups the steps of a layer into segments of decreasing gain per move. If several ranks are equally slow, only the
 * last of a series of moves reduces the time of the layer, so the series forms one segment.
 */
const segmentsOf = ({ index, balancedLayer, steps }: LayerPlan): MoveSegment[] => {
    const segments: MoveSegment[] = [];
    let firstStep = 0;
    let slowestTime = slowestRankTime(balancedLayer);
    while (firstStep < steps.length) {
        let best: MoveSegment | undefined;
        let moves = 0;
        for (let candidateStep = firstStep; candidateStep < steps.length; candidateStep++) {
            const step = steps[candidateStep] as PlacementStep;
            moves += step.moves.length;
            const savedTimePerMove = (slowestTime - step.slowestTime) / moves;
            if (best === undefined || savedTimePerMove > best.savedTimePerMove) {
                best = { index, lastStep: candidateStep, moves, savedTimePerMove };
            }
        }
        if (best === undefined || best.savedTimePerMove <= 0) {
            break;
        }
        segments.push(best);
        firstStep = best.lastStep + 1;
        slowestTime = (steps[best.lastStep] as PlacementStep).slowestTime;
    }
    return segments;
};

/**
 * Chooses the segments with the highest gain per move that pay for their transfers and fit the transfer bound. Returns
 * the index of the last step to take, by layer.
 */
const chooseSteps = (
    plans: LayerPlan[],
    groupBalancedTime: number,
    settings: PlacementSettings,
): Map<number, number> => {
    const secondsPerMove = settings.bytesPerExpert / settings.storeBytesPerSecond;
    const requiredSavingSeconds = secondsPerMove * settings.transferSlowdown * settings.requiredGainRatio;
    const minimumSavedTimePerMove = requiredSavingSeconds / settings.horizonSeconds * groupBalancedTime;
    const segments = plans.flatMap(segmentsOf).filter(segment => segment.savedTimePerMove > minimumSavedTimePerMove);
    segments.sort((left, right) => right.savedTimePerMove - left.savedTimePerMove || left.index - right.index);
    const chosen = new Map<number, number>();
    let transferSeconds = 0;
    for (const segment of segments) {
        transferSeconds += segment.moves * secondsPerMove;
        if (transferSeconds > settings.maximumTransferSecondsPerChange && chosen.size > 0) {
            break;
        }
        chosen.set(segment.index, segment.lastStep);
    }
    return chosen;
};

/** Converts a planned layer to slots, in expert order on each rank. */
const toLayerMap = (layer: LayerLoad): LayerMap => {
    const map: LayerMap = layer.rankSpeeds.map(() => []);
    layer.replicaRanks.forEach((ranks, expert) => {
        const replicaLoads = layer.replicaLoads[expert] ?? [];
        const total = replicaLoads.reduce((sum, part) => sum + part, 0);
        ranks.forEach((rank, replica) => {
            const share = total > 0 ? (replicaLoads[replica] ?? 0) / total : 1 / ranks.length;
            map[rank]?.push({ expert, share });
        });
    });
    return map;
};

const skewOf = (map: ExpertMap, load: GroupLoad): number => {
    const { slowest, mean } = stepTime(map, load);
    return mean > 0 ? slowest / mean : 1;
};

const layerSkew = (layer: LayerMap, load: GroupLoad, index: number): number =>
    skewOf({ experts: 0, slotsPerRank: 0, layers: [layer] }, {
        layers: [load.layers[index] ?? []],
        speeds: load.speeds,
    });

const layerSkewsOf = (plans: LayerPlan[], present: ExpertMap, planned: ExpertMap, load: GroupLoad): LayerSkew[] =>
    plans.map(({ index, balancedLayer }) => ({
        layer: index,
        skewNow: layerSkew(present.layers[index] ?? [], load, index),
        skewWithShares: layerSkew(toLayerMap(balancedLayer), load, index),
        skewPlanned: layerSkew(planned.layers[index] ?? [], load, index),
    }));

/** Plans the next map of a group by the rules at the head of this module. */
export const planPlacement = (
    present: ExpertMap,
    load: GroupLoad,
    settings: PlacementSettings = defaultPlacementSettings,
): PlacementPlan => {
    const speedSum = load.speeds.map(effectiveSpeed).reduce((sum, speed) => sum + speed, 0);
    const loadSum = load.layers.flat().reduce((sum, value) => sum + value, 0);
    const groupBalancedTime = loadSum / speedSum;
    const skewNow = skewOf(present, load);
    const keep: PlacementPlan = {
        kind: "keep",
        map: present,
        moves: [],
        bytes: 0,
        transferSeconds: 0,
        skewNow,
        skewPlanned: skewNow,
        layerSkews: [],
    };
    if (!(groupBalancedTime > 0)) {
        return keep;
    }
    const plans = [...present.layers.keys()].map(index => planLayer(index, present, load, settings));
    const chosen = chooseSteps(plans, groupBalancedTime, settings);
    const layers = plans.map(({ index, balancedLayer, steps }) =>
        toLayerMap(steps[chosen.get(index) ?? -1]?.layer ?? balancedLayer)
    );
    const map: ExpertMap = { ...present, layers };
    const savedTime = stepTime(present, load).slowest - stepTime(map, load).slowest;
    if (savedTime < settings.minimumRelativeGain * groupBalancedTime) {
        return keep;
    }
    const moves = movesBetween(present, map);
    const bytes = moves.length * settings.bytesPerExpert;
    return {
        kind: moves.length > 0 ? "moves" : "shares",
        map,
        moves,
        bytes,
        transferSeconds: bytes / settings.storeBytesPerSecond,
        skewNow,
        skewPlanned: skewOf(map, load),
        layerSkews: layerSkewsOf(plans, present, map, load),
    };
};

/** Ranks that must receive no new sequences, since a stalled rank delays every step that has work on it. */
export const stalledRanks = (speeds: number[]): number[] =>
    [...speeds.keys()].filter(rank => (speeds[rank] ?? 1) <= stalledSpeed);
