/**
 * Placement policies that the skew experiment compares: the production planner (`incremental`) and its baselines.
 *
 * `static` never changes the uniform map. `full-re-solve` computes a new map from scratch for each plan, regardless of
 * the current one: greedy replica counts, packing by descending load, then balanced shares. `full-re-solve-free` does
 * the same with transfers that take no time, as a bound on what any planner could achieve.
 */
import { type PlacementSettings, planPlacement } from "../coordination/mapPlanner.js";
import { balanceLayer, createLayerLoad } from "../coordination/replicaLoads.js";
import { effectiveSpeed, type ExpertMap, type GroupLoad, type GroupShape, type LayerMap } from "../state/expertMap.js";

export type Policy = "static" | "incremental" | "full-re-solve" | "full-re-solve-free";

export const policies: Policy[] = ["static", "incremental", "full-re-solve", "full-re-solve-free"];

/** Assigns each spare slot to the expert whose replicas have the highest load. */
const replicaCounts = (loads: number[], slots: number, ranks: number): number[] => {
    const counts = loads.map(() => 1);
    for (let spare = slots - loads.length; spare > 0; spare--) {
        let mostLoaded = -1;
        loads.forEach((load, expert) => {
            const replicaLoad = load / (counts[expert] as number);
            const highestLoad = mostLoaded < 0 ? -1 : (loads[mostLoaded] as number) / (counts[mostLoaded] as number);
            if ((counts[expert] as number) < ranks && replicaLoad > highestLoad) {
                mostLoaded = expert;
            }
        });
        counts[mostLoaded] = (counts[mostLoaded] as number) + 1;
    }
    return counts;
};

/** Places replicas by descending load, each on the rank with a free slot that would finish first. */
const packLayer = (loads: number[], speeds: number[], slotsPerRank: number): number[][] => {
    const ranks = speeds.length;
    const counts = replicaCounts(loads, ranks * slotsPerRank, ranks);
    const replicas = loads.flatMap((load, expert) => {
        const count = counts[expert] as number;
        return Array.from({ length: count }, () => ({ expert, load: load / count }));
    });
    replicas.sort((left, right) => right.load - left.load || left.expert - right.expert);
    const rankLoads = new Array<number>(ranks).fill(0);
    const usedSlots = new Array<number>(ranks).fill(0);
    const ranksByExpert: number[][] = loads.map(() => []);
    for (const { expert, load } of replicas) {
        const time = (rank: number) => ((rankLoads[rank] as number) + load) / (speeds[rank] as number);
        const candidates = [...speeds.keys()].filter(rank =>
            (usedSlots[rank] as number) < slotsPerRank && !ranksByExpert[expert]?.includes(rank)
        );
        const chosen = candidates.sort((left, right) => time(left) - time(right) || left - right)[0];
        if (chosen !== undefined) {
            ranksByExpert[expert]?.push(chosen);
            rankLoads[chosen] = (rankLoads[chosen] as number) + load;
            usedSlots[chosen] = (usedSlots[chosen] as number) + 1;
        }
    }
    return ranksByExpert;
};

/** Computes a map from scratch by packing the replicas by descending load. */
export const solveFromScratch = (shape: GroupShape, load: GroupLoad): ExpertMap => {
    const speeds = load.speeds.map(effectiveSpeed);
    const layers = load.layers.map(loads => {
        const layer = createLayerLoad(loads, speeds, packLayer(loads, speeds, shape.slotsPerRank));
        balanceLayer(layer);
        const map: LayerMap = speeds.map(() => []);
        layer.replicaRanks.forEach((ranks, expert) => {
            const expertLoads = layer.replicaLoads[expert] ?? [];
            const total = expertLoads.reduce((sum, part) => sum + part, 0);
            ranks.forEach((rank, replica) => {
                map[rank]?.push({ expert, share: total > 0 ? (expertLoads[replica] ?? 0) / total : 1 / ranks.length });
            });
        });
        return map;
    });
    return { experts: shape.experts, slotsPerRank: shape.slotsPerRank, layers };
};

type Planner = (
    shape: GroupShape,
    currentMap: ExpertMap,
    load: GroupLoad,
    settings: PlacementSettings,
) => ExpertMap | undefined;

/** The planner of each policy; a result of `undefined` keeps the current map. */
export const planners: Record<Policy, Planner> = {
    "static": () => undefined,
    "incremental": (shape, currentMap, load, settings) => {
        const plan = planPlacement(currentMap, load, settings);
        return plan.kind === "keep" ? undefined : plan.map;
    },
    "full-re-solve": (shape, currentMap, load) => solveFromScratch(shape, load),
    "full-re-solve-free": (shape, currentMap, load) => solveFromScratch(shape, load),
};
