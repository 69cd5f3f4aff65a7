/**
 * Measures how long one plan takes as the layers of a group grow, in the steady state and right after a sudden change.
 */
import { planPlacement } from "../coordination/mapPlanner.js";
import { type ExpertMap, type GroupLoad, type GroupShape, uniformMap } from "../state/expertMap.js";
import { percentile } from "./skewExperiment.js";
import { makeTrace } from "./skewTrace.js";

export type PlanningTime = {
    shape: GroupShape;
    /** Median and slowest planning time in milliseconds, while popularity drifts. */
    steadyMedian: number;
    steadySlowest: number;
    /** Planning time in milliseconds from a uniform map, when every layer needs many moves. */
    fromUniform: number;
};

const settlingPlans = 12;
const measuredPlans = 20;
const secondsBetweenPlans = 10;

const timed = (map: ExpertMap, load: GroupLoad): { milliseconds: number; map: ExpertMap; } => {
    const startedAt = performance.now();
    const plan = planPlacement(map, load);
    return { milliseconds: performance.now() - startedAt, map: plan.map };
};

/** Measures the planning time of groups of `shape`. */
export const measurePlanningTime = (shape: GroupShape, seed: number): PlanningTime => {
    const trace = makeTrace(shape, "slow-drift", (settlingPlans + measuredPlans) * secondsBetweenPlans, seed);
    const loadAt = (second: number): GroupLoad => {
        const truth = trace.seconds[second];
        return { layers: truth?.popularity ?? [], speeds: truth?.speeds ?? [] };
    };
    timed(uniformMap(shape), loadAt(0));
    const first = timed(uniformMap(shape), loadAt(0));
    let map = first.map;
    const steady: number[] = [];
    for (let turn = 1; turn < settlingPlans + measuredPlans; turn++) {
        const plan = timed(map, loadAt(turn * secondsBetweenPlans));
        map = plan.map;
        if (turn >= settlingPlans) {
            steady.push(plan.milliseconds);
        }
    }
    return {
        shape,
        steadyMedian: percentile(steady, 0.5),
        steadySlowest: Math.max(...steady),
        fromUniform: first.milliseconds,
    };
};
