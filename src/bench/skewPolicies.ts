/**
 * Placement policies that the skew experiment compares on one trace: the product's planner and the two baselines.
 *
 * `static` never changes the uniform map. `full-re-solve` computes, at each interval, the best map that it can from
 * nothing: replicas by greedy division, longest-first packing, levelled shares; it does not look at the present map.
 * `full-re-solve-free` is the same with transfers that take no time, as a bound on what any planner could do.
 */
import { type PlacementSettings, planPlacement } from "../coordination/mapPlanner.js";
import { balanceLayer, createLayerLoad } from "../coordination/replicaLoads.js";
import { effectiveSpeed, type ExpertMap, type GroupLoad, type GroupShape, type LayerMap } from "../state/expertMap.js";

export type Policy = "static" | "incremental" | "full-re-solve" | "full-re-solve-free";

export const policies: Policy[] = ["static", "incremental", "full-re-solve", "full-re-solve-free"];

/** Gives each spare slot to the expert whose replicas are the most loaded. */
const replicaCounts = (loads: number[], slots: number, ranks: number): number[] => {
    const counts = loads.map(() => 1);
    for (let spare = slots - loads.length; spare > 0; spare--) {
        let hottest = -1;
        loads.forEach((load, expert) => {
            const heat = load / (counts[expert] as number);
            const best = hottest < 0 ? -1 : (loads[hottest] as number) / (counts[hottest] as number);
            if ((counts[expert] as number) < ranks && heat > best) {
                hottest = expert;
            }
        });
        counts[hottest] = (counts[hottest] as number) + 1;
    }
    return counts;
};

/** Packs replicas, the heaviest first, each on the rank that would be done soonest and has room for it. */
const packLayer = (loads: number[], speeds: number[], slotsPerRank: number): number[][] => {
    const ranks = speeds.length;
    const counts = replicaCounts(loads, ranks * slotsPerRank, ranks);
    const replicas = loads.flatMap((load, expert) => {
        const count = counts[expert] as number;
        return Array.from({ length: count }, () => ({ expert, load: load / count }));
    });
    replicas.sort((left, right) => right.load - left.load || left.expert - right.expert);
    const rankLoads = new Array<number>(ranks).fill(0);
    const held = new Array<number>(ranks).fill(0);
    const holders: number[][] = loads.map(() => []);
    for (const { expert, load } of replicas) {
        const time = (rank: number) => ((rankLoads[rank] as number) + load) / (speeds[rank] as number);
        const free = [...speeds.keys()].filter(rank =>
            (held[rank] as number) < slotsPerRank && !holders[expert]?.includes(rank)
        );
        const chosen = free.sort((left, right) => time(left) - time(right) || left - right)[0];
        if (chosen !== undefined) {
            holders[expert]?.push(chosen);
            rankLoads[chosen] = (rankLoads[chosen] as number) + load;
            held[chosen] = (held[chosen] as number) + 1;
        }
    }
    return holders;
};

/** The best map that longest-first packing finds from nothing. */
export const solveFromNothing = (shape: GroupShape, load: GroupLoad): ExpertMap => {
    const speeds = load.speeds.map(effectiveSpeed);
    const layers = load.layers.map(loads => {
        const layer = createLayerLoad(loads, speeds, packLayer(loads, speeds, shape.slotsPerRank));
        balanceLayer(layer);
        const map: LayerMap = speeds.map(() => []);
        layer.replicaRanks.forEach((ranks, expert) => {
            const poured = layer.replicaLoads[expert] ?? [];
            const total = poured.reduce((sum, part) => sum + part, 0);
            ranks.forEach((rank, turn) => {
                map[rank]?.push({ expert, share: total > 0 ? (poured[turn] ?? 0) / total : 1 / ranks.length });
            });
        });
        return map;
    });
    return { experts: shape.experts, slotsPerRank: shape.slotsPerRank, layers };
};

type Planner = (
    shape: GroupShape,
    present: ExpertMap,
    load: GroupLoad,
    settings: PlacementSettings,
) => ExpertMap | undefined;

/** The planner of each policy; `undefined` keeps the present map. */
export const planners: Record<Policy, Planner> = {
    "static": () => undefined,
    "incremental": (shape, present, load, settings) => {
        const plan = planPlacement(present, load, settings);
        return plan.kind === "keep" ? undefined : plan.map;
    },
    "full-re-solve": (shape, present, load) => solveFromNothing(shape, load),
    "full-re-solve-free": (shape, present, load) => solveFromNothing(shape, load),
};
