/**
 * Plans a group's next expert map from samples of its passes.
 *
 * Load it answers: few requests a pass, each with experts of its own, and a demand that drifts within seconds. A pass
 * waits in each layer for its most loaded rank, so the plan lowers the sum over samples and ranks of the load to the
 * fourth power, in which the heaviest rank of each sample weighs most. It adds or replaces one replica at a time, the
 * best first, and stops when a step gains too little to pay for the copy. The plan is a function of its input alone.
 */
import type { ExpertShape } from "../../state/ingressTypes.js";
import type { PlacedExperts } from "./rankEngine.js";

export type PlacementLimits = {
    /** The most experts that one rank takes in over all layers, since it copies them one after another. */
    newPerRank: number;
    /** Relative gain of a layer's objective below which no replica is added. */
    leastGain: number;
};

export type PlannedMap = {
    map: PlacedExperts;
    /** Experts copied, over all ranks. */
    copies: number;
    /** Experts that the rank with the most of them copies, one after another. */
    copiesOfOneRank: number;
    /** Mean over samples and layers of the heaviest rank's load against the mean rank's. */
    skewNow: number;
    skewPlanned: number;
};

/** Experts considered for a further replica in one step, by their load on the heaviest ranks. */
const candidateExperts = 6;
/** Ranks considered for a further replica, the least loaded first; all of them in the smaller groups in use. */
const candidateRanks = 10;
/** Replicas considered for removal on a full rank, the least loaded first. */
const candidateEvictions = 3;
const normExponent = 4;

/** Experts in turn on the ranks: the map that engines start with. */
export const mapInTurn = ({ layers, experts }: ExpertShape, ranks: number): PlacedExperts => {
    const all = [...Array(experts).keys()];
    const layer = [...Array(ranks).keys()].map(rank => all.filter(expert => expert % ranks === rank));
    return Array.from({ length: layers }, () => layer);
};

type Layer = {
    /** Experts of each rank. */
    held: Set<number>[];
    holders: number[][];
    /** `demand[sample][expert]` */
    demand: number[][];
    /** `load[sample][rank]` */
    load: number[][];
    /** Experts that each rank takes in. */
    added: number[];
};

const openLayer = (held: number[][], demand: number[][], experts: number): Layer => {
    const holders: number[][] = Array.from({ length: experts }, () => []);
    held.forEach((list, rank) => list.forEach(expert => holders[expert]?.push(rank)));
    const load = demand.map(sample => {
        const row = new Array<number>(held.length).fill(0);
        holders.forEach((ranks, expert) =>
            ranks.forEach(rank => row[rank] = (row[rank] ?? 0) + (sample[expert] ?? 0) / ranks.length)
        );
        return row;
    });
    return { held: held.map(list => new Set(list)), holders, demand, load, added: held.map(() => 0) };
};

const norm = (load: number[][]): number =>
    load.reduce((total, row) => total + row.reduce((sum, value) => sum + value ** normExponent, 0), 0);

const skewOf = ({ load }: Layer): number => {
    const skews = load.map(row => {
        const mean = row.reduce((sum, value) => sum + value, 0) / row.length;
        return mean > 0 ? Math.max(...row) / mean : 1;
    });
    return skews.reduce((sum, skew) => sum + skew, 0) / Math.max(1, skews.length);
};

type Move = { expert: number; rank: number; evicted: number | undefined; };

/** What a move adds to a rank's load: parts of the tokens of its expert and of the one that it evicts. */
type RankChange = { rank: number; ofExpert: number; ofEvicted: number; };

/** The ranks whose load a move changes; all others keep theirs. */
const changesOf = ({ holders }: Layer, { expert, rank, evicted }: Move): RankChange[] => {
    const changes = new Map<number, RankChange>();
    const changeOf = (changed: number): RankChange => {
        const known = changes.get(changed) ?? { rank: changed, ofExpert: 0, ofEvicted: 0 };
        changes.set(changed, known);
        return known;
    };
    const before = holders[expert] as number[];
    before.forEach(holder => changeOf(holder).ofExpert = 1 / (before.length + 1) - 1 / before.length);
    changeOf(rank).ofExpert = 1 / (before.length + 1);
    if (evicted !== undefined) {
        const held = holders[evicted] as number[];
        held.forEach(holder => changeOf(holder).ofEvicted = 1 / (held.length - 1) - 1 / held.length);
        changeOf(rank).ofEvicted = -1 / held.length;
    }
    return [...changes.values()];
};

/** How much a move changes the layer's norm. */
const normChange = (layer: Layer, move: Move): number => {
    const { demand, load } = layer;
    const changes = changesOf(layer, move);
    let change = 0;
    for (let sample = 0; sample < load.length; sample += 1) {
        const row = load[sample] as number[];
        const tokens = demand[sample]?.[move.expert] ?? 0;
        const others = move.evicted === undefined ? 0 : demand[sample]?.[move.evicted] ?? 0;
        for (const { rank, ofExpert, ofEvicted } of changes) {
            const before = row[rank] as number;
            const after = before + ofExpert * tokens + ofEvicted * others;
            change += after ** normExponent - before ** normExponent;
        }
    }
    return change;
};

const apply = (layer: Layer, move: Move): void => {
    const { expert, rank, evicted } = move;
    const changes = changesOf(layer, move);
    layer.load.forEach((row, sample) => {
        const tokens = layer.demand[sample]?.[expert] ?? 0;
        const others = evicted === undefined ? 0 : layer.demand[sample]?.[evicted] ?? 0;
        changes.forEach(({ rank: changed, ofExpert, ofEvicted }) =>
            row[changed] = (row[changed] as number) + ofExpert * tokens + ofEvicted * others
        );
    });
    layer.held[rank]?.add(expert);
    layer.holders[expert]?.push(rank);
    if (evicted !== undefined) {
        layer.held[rank]?.delete(evicted);
        layer.holders[evicted] = (layer.holders[evicted] ?? []).filter(holder => holder !== rank);
    }
    layer.added[rank] = (layer.added[rank] ?? 0) + 1;
};

/** Experts that put the most on the heaviest rank of each sample. */
const heaviestExperts = ({ holders, demand, load }: Layer): number[] => {
    const weights = holders.map(() => 0);
    load.forEach((row, sample) => {
        const heaviest = row.indexOf(Math.max(...row));
        holders.forEach((ranks, expert) => {
            if (ranks.includes(heaviest)) {
                weights[expert] = (weights[expert] as number) + (demand[sample]?.[expert] ?? 0) / ranks.length;
            }
        });
    });
    return [...weights.keys()]
        .sort((left, right) => (weights[right] as number) - (weights[left] as number) || left - right)
        .slice(0, candidateExperts);
};

/** What may leave a full rank: experts that others hold too, by what they put on it. */
const evictions = ({ held, holders, demand }: Layer, rank: number, totals: number[]): number[] =>
    [...held[rank] ?? []]
        .filter(expert => (holders[expert]?.length ?? 0) > 1)
        .map(expert => ({ expert, load: (totals[expert] ?? 0) / (holders[expert]?.length ?? 1) }))
        .sort((left, right) => left.load - right.load || left.expert - right.expert)
        .slice(0, demand.length > 0 ? candidateEvictions : 0)
        .map(({ expert }) => expert);

type Step = { move: Move; change: number; };

/** Ranks that may take in a replica, the least loaded first. */
const openRanks = ({ held, added, load }: Layer, shape: ExpertShape, room: number[]): number[] => {
    const totals = held.map((unused, rank) => load.reduce((sum, row) => sum + (row[rank] ?? 0), 0));
    return [...held.keys()]
        .filter(rank => (added[rank] ?? 0) < shape.newPerMap && (room[rank] ?? 0) > 0)
        .sort((left, right) => (totals[left] as number) - (totals[right] as number) || left - right)
        .slice(0, candidateRanks);
};

/** The move that lowers the layer's norm most. */
const bestStep = (layer: Layer, shape: ExpertShape, totals: number[], room: number[]): Step | undefined => {
    const ranks = openRanks(layer, shape, room).map(rank => {
        const hasPlace = (layer.held[rank]?.size ?? 0) < shape.placesPerRank;
        return { rank, options: hasPlace ? [undefined] : evictions(layer, rank, totals) };
    });
    let best: Step | undefined;
    for (const expert of heaviestExperts(layer)) {
        for (const { rank, options } of ranks) {
            if (layer.held[rank]?.has(expert) === true) {
                continue;
            }
            for (const evicted of options) {
                const move = { expert, rank, evicted };
                const change = normChange(layer, move);
                if (best === undefined || change < best.change) {
                    best = { move, change };
                }
            }
        }
    }
    return best;
};

/** Plans from `present`; `samples` as `LoadSamples` gives them. */
export const planFromSamples = (
    present: PlacedExperts,
    samples: number[][],
    shape: ExpertShape,
    limits: PlacementLimits,
): PlannedMap => {
    const ranks = present[0]?.length ?? 0;
    const room = new Array<number>(ranks).fill(limits.newPerRank);
    const layers = present.map((held, index) => {
        const start = index * shape.experts;
        return openLayer(held, samples.map(sample => sample.slice(start, start + shape.experts)), shape.experts);
    });
    const mean = (values: number[]): number =>
        values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);
    const skewNow = mean(layers.map(skewOf));
    const totals = layers.map(({ demand, holders }) =>
        [...holders.keys()].map(expert => demand.reduce((sum, sample) => sum + (sample[expert] ?? 0), 0))
    );
    const open = layers.map((layer, index) => ({ layer, totals: totals[index] ?? [], norm: norm(layer.load) }));
    let copies = 0;
    // Layers take turns, so that the ranks' room is spread over them.
    for (let active = [...open]; active.length > 0;) {
        active = active.filter(entry => {
            const step = entry.norm > 0 ? bestStep(entry.layer, shape, entry.totals, room) : undefined;
            if (step === undefined || step.change > -entry.norm * limits.leastGain) {
                return false;
            }
            apply(entry.layer, step.move);
            entry.norm += step.change;
            room[step.move.rank] = (room[step.move.rank] ?? 0) - 1;
            copies += 1;
            return true;
        });
    }
    return {
        map: layers.map(({ held }) => held.map(set => [...set].sort((left, right) => left - right))),
        copies,
        copiesOfOneRank: limits.newPerRank - Math.min(...room),
        skewNow,
        skewPlanned: mean(layers.map(skewOf)),
    };
};
