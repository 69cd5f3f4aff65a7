/**
 * Runs one placement policy on one trace and measures the step-time skew of each second and the bytes transferred.
 *
 * A plan is computed at a fixed interval, and immediately when the estimated skew is high, unless the transfers of the
 * previous plan are still in progress. A planned map takes effect once the weight store has served its transfers at its
 * rate. The skew of a second is that of one step with sampled expert choices under the current map, so it includes the
 * sampling noise that no placement can remove.
 */
import { emptyEstimate, type ExpertLoadReport, groupLoadOf, updateEstimate } from "../coordination/expertLoad.js";
import type { PlacementSettings } from "../coordination/mapPlanner.js";
import { type ExpertMap, movesBetween, stepSkew, stepTime, uniformMap } from "../state/expertMap.js";
import { seededRandom } from "./randomNumbers.js";
import { planners, type Policy } from "./skewPolicies.js";
import { makeReports, type ReportSettings, sampleStep } from "./skewReports.js";
import type { Trace } from "./skewTrace.js";

export type SkewExperimentSettings = {
    placement: PlacementSettings;
    reports: ReportSettings;
    planIntervalSeconds: number;
    /** Estimated skew from which a plan is computed immediately. */
    immediatePlanSkew: number;
    /** Initial seconds that the statistics exclude, while the first plans take effect. */
    warmUpSeconds: number;
    seed: number;
};

export type SkewExperimentResult = {
    policy: Policy;
    /** Step-time skew of each second. */
    skew: number[];
    /** Median and 95th percentile of the skew after the warm-up. */
    median: number;
    percentile95: number;
    /** Sum of the slowest rank's step times, divided by the sum of the mean step times of all ranks. */
    slowestToMeanRatio: number;
    bytesMoved: number;
    mapsCommitted: number;
    /**
     * Seconds from the change until the skew stays below 1.15 for five seconds: 0 if it does so from the change on,
     * `undefined` if it never does.
     */
    recoverySeconds: number | undefined;
};

const recoveredSkew = 1.15;
const recoveredForSeconds = 5;

/** The value below which a `fraction` of the values lie; NaN if there are none. */
export const percentile = (values: number[], fraction: number): number => {
    const sorted = [...values].sort((left, right) => left - right);
    return sorted[Math.min(sorted.length - 1, Math.floor(fraction * sorted.length))] ?? NaN;
};

const recoverySecondsOf = (skew: number[], changeAt: number): number | undefined => {
    for (let second = changeAt; second + recoveredForSeconds <= skew.length; second++) {
        if (skew.slice(second, second + recoveredForSeconds).every(value => value < recoveredSkew)) {
            return second - changeAt;
        }
    }
    return undefined;
};

export const runSkewExperiment = (
    policy: Policy,
    trace: Trace,
    settings: SkewExperimentSettings,
): SkewExperimentResult => {
    const { shape } = trace;
    const random = seededRandom(settings.seed);
    const skew: number[] = [];
    const reportsBySecond: ExpertLoadReport[][] = [];
    let estimate = emptyEstimate(shape.ranks);
    let map = uniformMap(shape);
    let pending: { map: ExpertMap; readyAt: number; } | undefined;
    let bytesMoved = 0;
    let mapsCommitted = 0;
    let slowestTimeSum = 0;
    let meanTimeSum = 0;
    for (const [second, truth] of trace.seconds.entries()) {
        if (pending !== undefined && second >= pending.readyAt) {
            map = pending.map;
            pending = undefined;
            mapsCommitted += 1;
        }
        const step = stepTime(map, {
            layers: sampleStep(truth.popularity, settings.reports, random),
            speeds: truth.speeds,
        });
        skew.push(step.slowest / step.mean);
        if (second >= settings.warmUpSeconds) {
            slowestTimeSum += step.slowest;
            meanTimeSum += step.mean;
        }
        reportsBySecond.push(makeReports(second, truth, map, settings.reports, random));
        estimate = updateEstimate(estimate, reportsBySecond[second - settings.reports.lagSeconds] ?? []);
        if (pending !== undefined || estimate.interval < 0) {
            continue;
        }
        const load = groupLoadOf(estimate);
        const isPlanDue = second % settings.planIntervalSeconds === settings.planIntervalSeconds - 1;
        if (!isPlanDue && stepSkew(map, load) < settings.immediatePlanSkew) {
            continue;
        }
        const planned = planners[policy](shape, map, load, settings.placement);
        if (planned !== undefined) {
            const bytes = movesBetween(map, planned).length * settings.placement.bytesPerExpert;
            const transferSeconds = policy === "full-re-solve-free"
                ? 0
                : bytes / settings.placement.storeBytesPerSecond;
            bytesMoved += bytes;
            pending = { map: planned, readyAt: second + 1 + Math.ceil(transferSeconds) };
        }
    }
    const measured = skew.slice(settings.warmUpSeconds);
    return {
        policy,
        skew,
        median: percentile(measured, 0.5),
        percentile95: percentile(measured, 0.95),
        slowestToMeanRatio: slowestTimeSum / meanTimeSum,
        bytesMoved,
        mapsCommitted,
        recoverySeconds: recoverySecondsOf(skew, trace.changeAt),
    };
};
