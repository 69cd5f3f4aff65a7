/**
 * Expert maps: which rank of a group holds which experts, and what share of an expert's tokens each replica takes.
 *
 * A map is plain data. In every layer each rank has the same number of slots; a slot holds one expert and the share
 * (0 to 1) of that expert's tokens that go to it. The shares of one expert in one layer add up to 1. An expert never
 * holds two slots of one rank in one layer.
 */

/** One expert on one rank, with its share of the expert's tokens. */
export type ExpertSlot = { expert: number; share: number; };

/** The slots of one layer, indexed by rank. */
export type LayerMap = ExpertSlot[][];

/** A whole map; `slotsPerRank` is the most experts that a rank holds in one layer. */
export type ExpertMap = { experts: number; slotsPerRank: number; layers: LayerMap[]; };

/** Sizes of a group: ranks, layers, experts in each layer, and slots of each rank in each layer. */
export type GroupShape = { ranks: number; layers: number; experts: number; slotsPerRank: number; };

/**
 * Load of the experts of a group: `layers[layer][expert]` is the expert's part of the layer's tokens, and
 * `speeds[rank]` the rank's speed relative to a healthy rank (1 is healthy, 0 is stalled).
 */
export type GroupLoad = { layers: number[][]; speeds: number[]; };

/** One weight transfer of a plan: the rank loads `expert` of `layer` into the slot that held `replaces`, if any. */
export type ExpertMove = { layer: number; rank: number; expert: number; replaces: number | undefined; };

/** The speed that calculations use for a stalled rank, so that any load on it shows as far too slow. */
export const stalledSpeed = 0.001;

/** A rank's speed with a floor, so that no time is infinite. */
export const effectiveSpeed = (speed: number): number => Math.max(speed, stalledSpeed);

/** The map that assumes equal load: experts in turn on the ranks, spare slots filled by further turns. */
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
    const layer: LayerMap = expertsByRank.map(held =>
        held.map(expert => ({ expert, share: 1 / Math.max(1, replicaCounts[expert] ?? 1) }))
    );
    return { experts, slotsPerRank, layers: Array.from({ length: layers }, () => structuredClone(layer)) };
};

/** Time of each rank in one layer, in units of "all tokens of the layer on one healthy rank". */
export const rankTimes = (layer: LayerMap, loads: number[], speeds: number[]): number[] =>
    layer.map((slots, rank) => {
        const load = slots.reduce((sum, slot) => sum + slot.share * (loads[slot.expert] ?? 0), 0);
        return load / effectiveSpeed(speeds[rank] ?? 1);
    });

/** Slowest and mean rank time of one step, summed over the layers, since every layer ends with an exchange. */
export type StepTime = { slowest: number; mean: number; };

/** Predicts the step time of `map` under `load`; stalled ranks count in the slowest time but not in the mean. */
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

/** Step-time skew: slowest rank ÷ mean of the ranks; 1 is perfectly level. */
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

/** The transfers that lead from `before` to `after`, in layer and rank order. */
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

/** Why a map breaks the shape of its group, or undefined when it is sound. */
export const invalidMapReason = (map: ExpertMap, ranks: number): string | undefined => {
    for (const [index, layer] of map.layers.entries()) {
        if (layer.length !== ranks) {
            return `layer ${index} has ${layer.length} ranks in place of ${ranks}`;
        }
        const shares = new Array<number>(map.experts).fill(0);
        for (const [rank, slots] of layer.entries()) {
            if (slots.length > map.slotsPerRank) {
                return `layer ${index} rank ${rank} holds ${slots.length} experts in ${map.slotsPerRank} slots`;
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
            return `layer ${index} expert ${invalidExpert} has shares that add up to ${
                shares[invalidExpert]
            } in place of 1`;
        }
    }
    return undefined;
};
