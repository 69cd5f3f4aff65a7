/**
 * Plans the next expert map of a group from its present map, the load of its experts and the speed of its ranks.
 *
 * The plan is incremental. In each layer the replicas' shares are levelled first, which moves no weights. Layers that
 * stay uneven get a few moves, each with the step time it saves. Moves are kept only where the time saved over the
 * horizon exceeds the time that the transfers cost by a margin; over all layers those that gain most for each transfer
 * come first, up to a bound on the transfer time of one change. The plan is a function of its input alone.
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

/** What a plan may spend, and what a transfer costs. */
export type PlacementSettings = {
    /** Size of one expert of one layer. */
    bytesPerExpert: number;
    /** Rate at which the weight store serves the whole group. */
    storeBytesPerSecond: number;
    /** How long a plan is expected to hold. */
    horizonSeconds: number;
    /** Part of the step time that is lost while weights are on the move. */
    transferSlowdown: number;
    /** Time saved ÷ time spent below which a layer stays as it is. */
    requiredGainRatio: number;
    /** Skew of a layer above which moves are considered. */
    startSkew: number;
    /** Skew of a layer at which no more moves are added. */
    targetSkew: number;
    /** Longest that the transfers of one change may take. */
    maximumTransferSecondsPerChange: number;
    /** Most transfers of one layer in one change. */
    maximumMovesPerLayer: number;
    /** Predicted relative gain of the step time below which not even the shares change. */
    minimumRelativeGain: number;
};

/** Settings for a group whose weight store serves 2 GB/s and whose experts take 44 MB each. */
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

/** Why one layer changes: its predicted skew before and after, with the new shares alone and with its moves too. */
export type LayerSkew = { layer: number; skewNow: number; skewWithShares: number; skewPlanned: number; };

/** A planned change; `kind` is `keep` when the present map stays in force. */
export type PlacementPlan = {
    kind: "keep" | "shares" | "moves";
    map: ExpertMap;
    moves: ExpertMove[];
    bytes: number;
    /** How long the weight store takes for the moves. */
    transferSeconds: number;
    skewNow: number;
    skewPlanned: number;
    layerSkews: LayerSkew[];
};

/** One layer's possible changes: its levelled start, then the steps that add moves. */
type LayerPlan = { index: number; balancedLayer: LayerLoad; steps: PlacementStep[]; };

/** Some consecutive steps of one layer whose moves are worth making together. */
type MoveSegment = { index: number; lastStep: number; moves: number; savedTimePerMove: number; };

/** Half as many moves again as one change can transfer, spread over the layers; more would be planned in vain. */
const moveBudgetPerLayer = (layers: number, settings: PlacementSettings): number => {
    const movesPerChange = settings.maximumTransferSecondsPerChange * settings.storeBytesPerSecond
        / settings.bytesPerExpert;
    return Math.min(settings.maximumMovesPerLayer, Math.max(2, Math.ceil(1.5 * movesPerChange / layers)));
};

const planLayer = (index: number, map: ExpertMap, load: GroupLoad, settings: PlacementSettings): LayerPlan => {
    const speeds = load.speeds.map(effectiveSpeed);
    const start = createLayerLoad(
        load.layers[index] ?? [],
        speeds,
        replicaRanksOf(map.layers[index] ?? [], map.experts),
    );
    balanceLayer(start);
    if (slowestRankTime(start) <= settings.startSkew * balancedTime(start)) {
        return { index, balancedLayer: start, steps: [] };
    }
    const moves = moveBudgetPerLayer(map.layers.length, settings);
    return { index, balancedLayer: start, steps: improveLayer(start, map.slotsPerRank, settings.targetSkew, moves) };
};

/**
 * Cuts a layer's steps into segments of falling gain for each move. Several ranks can be equally slow, so that only the
 * last of a run of moves shows a gain; such a run is one segment.
 */
const segmentsOf = ({ index, balancedLayer: start, steps }: LayerPlan): MoveSegment[] => {
    const segments: MoveSegment[] = [];
    let firstStep = 0;
    let slowestTime = slowestRankTime(start);
    while (firstStep < steps.length) {
        let best: MoveSegment | undefined;
        let moves = 0;
        for (let candidateStep = firstStep; candidateStep < steps.length; candidateStep++) {
            const step = steps[candidateStep] as PlacementStep;
            moves += step.moves.length;
            const savedTimePerMove = (slowestTime - step.slowestTime) / moves;
            if (best === undefined || savedTimePerMove > best.savedTimePerMove) {
                best = { index, lastStep: candidateStep, moves, savedTimePerMove: savedTimePerMove };
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

/** The number of steps to take in each layer: the segments that gain most, while they pay and fit the bound. */
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

/** Writes a planned layer as slots; experts stay in expert order on each rank. */
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
    plans.map(({ index, balancedLayer: start }) => ({
        layer: index,
        skewNow: layerSkew(present.layers[index] ?? [], load, index),
        skewWithShares: layerSkew(toLayerMap(start), load, index),
        skewPlanned: layerSkew(planned.layers[index] ?? [], load, index),
    }));

/** Plans the next map of a group; see the head of this module for the rules. */
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
    const layers = plans.map(({ index, balancedLayer: start, steps }) =>
        toLayerMap(steps[chosen.get(index) ?? -1]?.layer ?? start)
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

/** Ranks that must get no new sequences: a stalled rank holds up every step that has work on it. */
export const stalledRanks = (speeds: number[]): number[] =>
    [...speeds.keys()].filter(rank => (speeds[rank] ?? 1) <= stalledSpeed);
