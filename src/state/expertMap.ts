/**
 * Expert maps: which rank of a group holds which experts, and which share of an expert's tokens each replica receives.
 *
 * A map is plain data. In every layer each rank has the same number of slots. A slot holds one expert and the share (0
 * to 1) of that expert's tokens routed to it. The shares of one expert in one layer sum to 1. An expert never occupies
 * two slots of one rank in one layer.
 */

/** One replica of an expert, with its share of the expert's tokens. */
export type ExpertSlot = { expert: number; share: number; };

/** Slots of one layer, indexed by rank. */
export type LayerMap = ExpertSlot[][];

/** A complete map; `slotsPerRank` is the maximum number of experts that a rank holds in one layer. */
export type ExpertMap = { experts: number; slotsPerRank: number; layers: LayerMap[]; };

/** Dimensions of a group. `experts` counts the experts per layer, `slotsPerRank` the slots of a rank per layer. */
export type GroupShape = { ranks: number; layers: number; experts: number; slotsPerRank: number; };

/**
 * Load of a group: `layers[layer][expert]` is the expert's fraction of the layer's tokens, and `speeds[rank]` the speed
 * of the rank relative to a healthy one (1 is healthy, 0 is stalled).
 */
export type GroupLoad = { layers: number[][]; speeds: number[]; };

/** One weight transfer of a plan: `rank` loads `expert` of `layer` into the slot that held `replaces`, if any. */
export type ExpertMove = { layer: number; rank: number; expert: number; replaces: number | undefined; };

/** Speed assumed for a stalled rank, so that any load on it results in a very long time. */
export const stalledSpeed = 0.001;

/** Speed with a lower bound, so that no time is infinite. */
export const effectiveSpeed = (speed: number): number => Math.max(speed, stalledSpeed);

/** Map for equal load: experts are assigned to the ranks round-robin, and further rounds fill the spare slots. */
export const uniformMap = (shape: GroupShape): ExpertMap => {
    const { ranks, layers, experts, slotsPerRank } = shape;
    const expertsByRank: number[][] = Array.from({ length: ranks }, () => []);
    for (let slot = 0; slot < ranks * slotsPerRank; slot++) {
        const rankExperts = expertsByRank[slot % ranks] ?? [];
        const wrapCount = Math.floor(slot / experts);
        const expert = (slot + wrapCount) % experts;
        if (!rankExperts.includes(expert)) {
            rankExperts.push(expert);
        }
    }
    const replicaCounts = new Array<number>(experts).fill(0);
    expertsByRank.flat().forEach(expert => replicaCounts[expert] = (replicaCounts[expert] ?? 0) + 1);
    const layer: LayerMap = expertsByRank.map(rankExperts =>
        rankExperts.map(expert => ({ expert, share: 1 / Math.max(1, replicaCounts[expert] ?? 1) }))
    );
    return { experts, slotsPerRank, layers: Array.from({ length: layers }, () => structuredClone(layer)) };
};

/** Time of each rank in one layer, relative to one healthy rank that processes all tokens of the layer. */
export const rankTimes = (layer: LayerMap, loads: number[], speeds: number[]): number[] =>
    layer.map((slots, rank) => {
        const load = slots.reduce((sum, slot) => sum + slot.share * (loads[slot.expert] ?? 0), 0);
        return load / effectiveSpeed(speeds[rank] ?? 1);
    });

/**
 * Slowest and mean rank time of one step, summed over the layers, since the ranks synchronise at the end of each layer.
 */
export type StepTime = { slowest: number; mean: number; };

/**
 * Predicts the step time of `map` under `load`. Stalled ranks with load count in the slowest time, but not in the mean.
 */
export const stepTime = (map: ExpertMap, load: GroupLoad): StepTime => {
    const total: StepTime = { slowest: 0, mean: 0 };
    map.layers.forEach((layer, index) => {
        const times = rankTimes(layer, load.layers[index] ?? [], load.speeds);
        const running = times.filter((time, rank) => time === 0 || (load.speeds[rank] ?? 1) > stalledSpeed);
        total.slowest += Math.max(...times);
        total.mean += running.reduce((sum, time) => sum + time, 0) / Math.max(1, running.length);
    });
    return total;
};

/** Step-time skew: slowest ÷ mean rank time; 1 is perfectly balanced. */
export const stepSkew = (map: ExpertMap, load: GroupLoad): number => {
    const { slowest, mean } = stepTime(map, load);
    return mean > 0 ? slowest / mean : 1;
};

/** Ranks that hold each expert of one layer, indexed by expert, each list in rank order. */
export const replicaRanksOf = (layer: LayerMap, experts: number): number[][] => {
    const ranksByExpert: number[][] = Array.from({ length: experts }, () => []);
    layer.forEach((slots, rank) => slots.forEach(slot => ranksByExpert[slot.expert]?.push(rank)));
    return ranksByExpert;
};

/** Transfers that lead from `before` to `after`, in layer and rank order. */
export const movesBetween = (before: ExpertMap, after: ExpertMap): ExpertMove[] =>
    after.layers.flatMap((layer, index) =>
        layer.flatMap((slots, rank) => {
            const previousExperts = (before.layers[index]?.[rank] ?? []).map(slot => slot.expert);
            const nextExperts = slots.map(slot => slot.expert);
            const removedExperts = previousExperts.filter(expert => !nextExperts.includes(expert));
            const addedExperts = nextExperts.filter(expert => !previousExperts.includes(expert));
            return addedExperts.map((expert, position) => ({
                layer: index,
                rank,
                expert,
                replaces: removedExperts[position],
            }));
        })
    );

/** Why a map is invalid for a group of `ranks` ranks, or undefined if it is valid. */
export const invalidMapReason = (map: ExpertMap, ranks: number): string | undefined => {
    for (const [index, layer] of map.layers.entries()) {
        if (layer.length !== ranks) {
            return `layer ${index} has ${layer.length} ranks, expected ${ranks}`;
        }
        const shares = new Array<number>(map.experts).fill(0);
        for (const [rank, slots] of layer.entries()) {
            if (slots.length > map.slotsPerRank) {
                return `layer ${index} rank ${rank} holds ${slots.length} experts, but has ${map.slotsPerRank} slots`;
            }
            if (new Set(slots.map(slot => slot.expert)).size !== slots.length) {
                return `layer ${index} rank ${rank} holds an expert twice`;
            }
            for (const slot of slots) {
                shares[slot.expert] = (shares[slot.expert] ?? 0) + slot.share;
            }
        }
        const invalidExpert = shares.findIndex(share => Math.abs(share - 1) > 1e-6);
        if (invalidExpert >= 0) {
            return `layer ${index} expert ${invalidExpert} has shares with sum ${shares[invalidExpert]} instead of 1`;
        }
    }
    return undefined;
};
