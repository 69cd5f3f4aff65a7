/**
 * Splits each expert's tokens among its replicas so that the ranks of one layer take equal time.
 *
 * The placement is fixed here; only the shares change, which moves no weights. The split minimises the sum over ranks
 * of load² ÷ speed, whose minimum also has the lowest slowest time. It goes expert by expert: take the expert's load
 * off its ranks, then pour it back so that those ranks come level, and repeat until nothing changes.
 */

/** One layer while it is being planned: which ranks hold each expert, and the load each replica takes. */
export type LayerLoad = {
    /** Tokens of each expert. */
    loads: number[];
    /** Speed of each rank, above 0. */
    speeds: number[];
    /** Ranks of each expert. */
    holders: number[][];
    /** Load of each replica, in step with `holders`. */
    poured: number[][];
    /** Load of each rank, the sum of its replicas. */
    rankLoads: number[];
};

const sweepLimit = 60;
const settledChange = 1e-3;

/** Starts a layer with every expert's load split by the speed of its ranks. */
export const spreadLayer = (loads: number[], speeds: number[], holders: number[][]): LayerLoad => {
    const rankLoads = new Array<number>(speeds.length).fill(0);
    const poured = holders.map((ranks, expert) => {
        const total = ranks.reduce((sum, rank) => sum + (speeds[rank] ?? 1), 0);
        return ranks.map(rank => (loads[expert] ?? 0) * (speeds[rank] ?? 1) / total);
    });
    const layer = { loads, speeds, holders, poured, rankLoads };
    sumRankLoads(layer);
    return layer;
};

const sumRankLoads = (layer: LayerLoad): void => {
    layer.rankLoads.fill(0);
    layer.holders.forEach((ranks, expert) => {
        ranks.forEach((rank, turn) => {
            layer.rankLoads[rank] = (layer.rankLoads[rank] ?? 0) + (layer.poured[expert]?.[turn] ?? 0);
        });
    });
};

/**
 * The time to which `load` brings `ranks`, whose other load is in `rankLoads`: start with all of them, then leave out
 * those already above the level until none is. Allocates nothing, since planning calls it for every trial move.
 */
const waterLevel = (load: number, ranks: number[], rankLoads: number[], speeds: number[]): number => {
    let level = Infinity;
    for (;;) {
        let base = load;
        let speed = 0;
        for (let turn = 0; turn < ranks.length; turn++) {
            const rank = ranks[turn] as number;
            const rankLoad = rankLoads[rank] as number;
            const rankSpeed = speeds[rank] as number;
            if (rankLoad < level * rankSpeed) {
                base += rankLoad;
                speed += rankSpeed;
            }
        }
        const next = base / speed;
        if (!(next < level)) {
            return level;
        }
        level = next;
    }
};

/** Levels the replicas of one expert and gives the largest change of a replica's load. */
const levelExpert = (layer: LayerLoad, expert: number): number => {
    const ranks = layer.holders[expert] as number[];
    const poured = layer.poured[expert] as number[];
    const { rankLoads, speeds } = layer;
    for (let turn = 0; turn < ranks.length; turn++) {
        const rank = ranks[turn] as number;
        rankLoads[rank] = (rankLoads[rank] as number) - (poured[turn] as number);
    }
    const load = layer.loads[expert] as number;
    const level = waterLevel(load, ranks, rankLoads, speeds);
    let change = 0;
    for (let turn = 0; turn < ranks.length; turn++) {
        const rank = ranks[turn] as number;
        const before = poured[turn] as number;
        const room = Math.max(0, level * (speeds[rank] as number) - (rankLoads[rank] as number));
        poured[turn] = room;
        rankLoads[rank] = (rankLoads[rank] as number) + room;
        change = Math.max(change, Math.abs(room - before));
    }
    return change;
};

/** Levels the whole layer in place; `sweeps` bounds the passes, for quick comparisons of candidates. */
export const levelLayer = (layer: LayerLoad, sweeps = sweepLimit): void => {
    const total = layer.loads.reduce((sum, load) => sum + load, 0);
    const settled = settledChange * total / layer.speeds.length;
    for (let sweep = 0; sweep < sweeps; sweep++) {
        let change = 0;
        for (let expert = 0; expert < layer.holders.length; expert++) {
            if ((layer.holders[expert] as number[]).length > 1) {
                change = Math.max(change, levelExpert(layer, expert));
            }
        }
        if (change < settled) {
            return;
        }
    }
};

/** Time of the slowest rank of the layer. */
export const slowestTime = (layer: LayerLoad): number => {
    let slowest = 0;
    for (let rank = 0; rank < layer.rankLoads.length; rank++) {
        slowest = Math.max(slowest, (layer.rankLoads[rank] as number) / (layer.speeds[rank] as number));
    }
    return slowest;
};

/** Time of every rank if the load were spread without regard to experts. */
export const levelTime = (layer: LayerLoad): number => {
    const load = layer.loads.reduce((sum, value) => sum + value, 0);
    return load / layer.speeds.reduce((sum, value) => sum + value, 0);
};

/** A copy that can be changed without touching the original; what only a changed replica set needs is shared. */
export const copyLayer = (layer: LayerLoad): LayerLoad => ({
    loads: layer.loads,
    speeds: layer.speeds,
    holders: layer.holders.slice(),
    poured: layer.poured.map(parts => parts.length > 1 ? parts.slice() : parts),
    rankLoads: layer.rankLoads.slice(),
});

/** Puts `expert` on `rank` with no load yet. */
export const addReplica = (layer: LayerLoad, expert: number, rank: number): void => {
    layer.holders[expert] = [...layer.holders[expert] as number[], rank];
    layer.poured[expert] = [...layer.poured[expert] as number[], 0];
};

/** Takes `expert` off `rank`; its load there goes to the expert's first other rank until the layer is levelled. */
export const removeReplica = (layer: LayerLoad, expert: number, rank: number): void => {
    const ranks = layer.holders[expert] as number[];
    const turn = ranks.indexOf(rank);
    const poured = (layer.poured[expert] as number[]).slice();
    const [load = 0] = poured.splice(turn, 1);
    const others = ranks.filter(other => other !== rank);
    const first = others[0] as number;
    poured[0] = (poured[0] as number) + load;
    layer.holders[expert] = others;
    layer.poured[expert] = poured;
    layer.rankLoads[rank] = (layer.rankLoads[rank] as number) - load;
    layer.rankLoads[first] = (layer.rankLoads[first] as number) + load;
};
