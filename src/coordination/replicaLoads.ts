/**
 * Splits each expert's tokens among its replicas so that the ranks of one layer take equal time.
 *
 * The placement is fixed here. Only the shares change, which transfers no weights. The split minimises the sum over
 * ranks of load² ÷ speed, whose minimum also has the lowest slowest-rank time. It proceeds expert by expert: the
 * expert's load is removed from its ranks and redistributed by water-filling, until a sweep over all experts converges.
 */

/** State of one layer during planning: which ranks hold each expert, and the load of each replica. */
export type LayerLoad = {
    /** Tokens of each expert. */
    expertLoads: number[];
    /** Speed of each rank, above 0. */
    rankSpeeds: number[];
    /** Ranks that hold each expert. */
    replicaRanks: number[][];
    /** Load of each replica, indexed like `replicaRanks`. */
    replicaLoads: number[][];
    /** Sum of the loads of each rank's replicas. */
    rankLoads: number[];
};

const maximumSweeps = 60;
const convergenceThreshold = 1e-3;

/** Creates a layer in which each expert's load is split in proportion to the speeds of its ranks. */
export const createLayerLoad = (expertLoads: number[], rankSpeeds: number[], replicaRanks: number[][]): LayerLoad => {
    const rankLoads = new Array<number>(rankSpeeds.length).fill(0);
    const replicaLoads = replicaRanks.map((ranks, expert) => {
        const total = ranks.reduce((sum, rank) => sum + (rankSpeeds[rank] ?? 1), 0);
        return ranks.map(rank => (expertLoads[expert] ?? 0) * (rankSpeeds[rank] ?? 1) / total);
    });
    const layer = {
        expertLoads,
        rankSpeeds,
        replicaRanks,
        replicaLoads,
        rankLoads,
    };
    sumRankLoads(layer);
    return layer;
};

const sumRankLoads = (layer: LayerLoad): void => {
    layer.rankLoads.fill(0);
    layer.replicaRanks.forEach((ranks, expert) => {
        ranks.forEach((rank, replica) => {
            layer.rankLoads[rank] = (layer.rankLoads[rank] ?? 0) + (layer.replicaLoads[expert]?.[replica] ?? 0);
        });
    });
};

/**
 * Time that `ranks` reach when `load` is spread over them on top of `rankLoads`. Starts with all ranks, then leaves out
 * those that are already above the level until none is. Allocates nothing, since planning calls it for every trial
 * move.
 */
const waterFillLevel = (load: number, ranks: number[], rankLoads: number[], speeds: number[]): number => {
    let level = Infinity;
    for (;;) {
        let filledLoad = load;
        let filledSpeed = 0;
        for (let replica = 0; replica < ranks.length; replica++) {
            const rank = ranks[replica] as number;
            const rankLoad = rankLoads[rank] as number;
            const rankSpeed = speeds[rank] as number;
            if (rankLoad < level * rankSpeed) {
                filledLoad += rankLoad;
                filledSpeed += rankSpeed;
            }
        }
        const next = filledLoad / filledSpeed;
        if (!(next < level)) {
            return level;
        }
        level = next;
    }
};

/** Redistributes the load of one expert and returns the largest change of a replica load. */
const balanceExpert = (layer: LayerLoad, expert: number): number => {
    const ranks = layer.replicaRanks[expert] as number[];
    const loads = layer.replicaLoads[expert] as number[];
    const { rankLoads, rankSpeeds } = layer;
    for (let replica = 0; replica < ranks.length; replica++) {
        const rank = ranks[replica] as number;
        rankLoads[rank] = (rankLoads[rank] as number) - (loads[replica] as number);
    }
    const load = layer.expertLoads[expert] as number;
    const level = waterFillLevel(load, ranks, rankLoads, rankSpeeds);
    let change = 0;
    for (let replica = 0; replica < ranks.length; replica++) {
        const rank = ranks[replica] as number;
        const previousLoad = loads[replica] as number;
        const nextLoad = Math.max(0, level * (rankSpeeds[rank] as number) - (rankLoads[rank] as number));
        loads[replica] = nextLoad;
        rankLoads[rank] = (rankLoads[rank] as number) + nextLoad;
        change = Math.max(change, Math.abs(nextLoad - previousLoad));
    }
    return change;
};

/** Balances the whole layer in place, in at most `sweeps` sweeps. A low limit suffices to compare candidates. */
export const balanceLayer = (layer: LayerLoad, sweeps = maximumSweeps): void => {
    const total = layer.expertLoads.reduce((sum, load) => sum + load, 0);
    const convergedChange = convergenceThreshold * total / layer.rankSpeeds.length;
    for (let sweep = 0; sweep < sweeps; sweep++) {
        let change = 0;
        for (let expert = 0; expert < layer.replicaRanks.length; expert++) {
            if ((layer.replicaRanks[expert] as number[]).length > 1) {
                change = Math.max(change, balanceExpert(layer, expert));
            }
        }
        if (change < convergedChange) {
            return;
        }
    }
};

export const slowestRankTime = (layer: LayerLoad): number => {
    let slowest = 0;
    for (let rank = 0; rank < layer.rankLoads.length; rank++) {
        slowest = Math.max(slowest, (layer.rankLoads[rank] as number) / (layer.rankSpeeds[rank] as number));
    }
    return slowest;
};

/** Time of every rank if the load could be spread regardless of the placement. */
export const balancedTime = (layer: LayerLoad): number => {
    const load = layer.expertLoads.reduce((sum, value) => sum + value, 0);
    return load / layer.rankSpeeds.reduce((sum, value) => sum + value, 0);
};

/** A copy that can be modified independently of the original. Parts that are never modified in place are shared. */
export const copyLayer = (layer: LayerLoad): LayerLoad => ({
    expertLoads: layer.expertLoads,
    rankSpeeds: layer.rankSpeeds,
    replicaRanks: layer.replicaRanks.slice(),
    replicaLoads: layer.replicaLoads.map(parts => parts.length > 1 ? parts.slice() : parts),
    rankLoads: layer.rankLoads.slice(),
});

/** Adds a replica of `expert` on `rank`, without load until the layer is balanced. */
export const addReplica = (layer: LayerLoad, expert: number, rank: number): void => {
    layer.replicaRanks[expert] = [...layer.replicaRanks[expert] as number[], rank];
    layer.replicaLoads[expert] = [...layer.replicaLoads[expert] as number[], 0];
};

/**
 * Removes the replica of `expert` on `rank`. Its load goes to the expert's first other rank until the layer is
 * balanced.
 */
export const removeReplica = (layer: LayerLoad, expert: number, rank: number): void => {
    const ranks = layer.replicaRanks[expert] as number[];
    const removedReplica = ranks.indexOf(rank);
    const remainingLoads = (layer.replicaLoads[expert] as number[]).slice();
    const [load = 0] = remainingLoads.splice(removedReplica, 1);
    const remainingRanks = ranks.filter(other => other !== rank);
    const receivingRank = remainingRanks[0] as number;
    remainingLoads[0] = (remainingLoads[0] as number) + load;
    layer.replicaRanks[expert] = remainingRanks;
    layer.replicaLoads[expert] = remainingLoads;
    layer.rankLoads[rank] = (layer.rankLoads[rank] as number) - load;
    layer.rankLoads[receivingRank] = (layer.rankLoads[receivingRank] as number) + load;
};
