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
    steadyMedianMilliseconds: number;
    steadySlowestMilliseconds: number;
    /** Planning time in milliseconds from a uniform map, when every layer needs many moves. */
    fromUniformMilliseconds: number;
};

const warmUpPlans = 12;
const measuredPlans = 20;
const secondsBetweenPlans = 10;

const measurePlan = (map: ExpertMap, load: GroupLoad): { milliseconds: number; map: ExpertMap; } => {
    const startedAt = performance.now();
    const plan = planPlacement(map, load);
    return { milliseconds: performance.now() - startedAt, map: plan.map };
};

/** Measures the planning time of groups of `shape`. */
export const measurePlanningTime = (shape: GroupShape, seed: number): PlanningTime => {
    const trace = makeTrace(shape, "slow-drift", (warmUpPlans + measuredPlans) * secondsBetweenPlans, seed);
    const loadAt = (second: number): GroupLoad => {
        const truth = trace.seconds[second];
        return { layers: truth?.popularity ?? [], speeds: truth?.speeds ?? [] };
    };
    measurePlan(uniformMap(shape), loadAt(0));
    const first = measurePlan(uniformMap(shape), loadAt(0));
    let map = first.map;
    const steadyMilliseconds: number[] = [];
    for (let planIndex = 1; planIndex < warmUpPlans + measuredPlans; planIndex++) {
        const plan = measurePlan(map, loadAt(planIndex * secondsBetweenPlans));
        map = plan.map;
        if (planIndex >= warmUpPlans) {
            steadyMilliseconds.push(plan.milliseconds);
        }
    }
    return {
        shape,
        steadyMedianMilliseconds: percentile(steadyMilliseconds, 0.5),
        steadySlowestMilliseconds: Math.max(...steadyMilliseconds),
        fromUniformMilliseconds: first.milliseconds,
    };
};
