/**
 * Measures how long the placement planner takes for one plan, in the steady state and from the uniform map, as after a
 * sudden change. Callers compare group shapes with different numbers of layers.
 */
import { planPlacement } from "../coordination/mapPlanner.js";
import { type ExpertMap, type GroupLoad, type GroupShape, uniformMap } from "../state/expertMap.js";
import { percentile } from "./skewExperiment.js";
import { makeTrace } from "./skewTrace.js";

export type PlanningTime = {
    shape: GroupShape;
    /** Median and maximum planning time while the popularity drifts slowly. */
    steadyMedianMilliseconds: number;
    steadySlowestMilliseconds: number;
    /** Planning time from the uniform map, when every layer needs many moves. */
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

/** Measures the planning time for a group of `shape`. */
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
