/**
 * Runs the skew experiments and reports them as rows and charts: every policy on the same trace, for each scenario and
 * each group size.
 *
 * No deployment is needed. A trace has fewer layers than a real model; the weight store's rate is scaled down in the
 * same proportion, so that changing all layers takes as long as in the real model.
 */
import { defaultPlacementSettings } from "../coordination/mapPlanner.js";
import type { GroupShape } from "../state/expertMap.js";
import type { ReportRow } from "./report.js";
import { runSkewExperiment, type SkewExperimentResult, type SkewExperimentSettings } from "./skewExperiment.js";
import { measurePlanningTime } from "./skewPlanningTime.js";
import { policies, type Policy } from "./skewPolicies.js";
import { makeTrace, type Scenario, scenarios } from "./skewTrace.js";
import type { Chart } from "./svgChart.js";

export type SkewOptions = { seed: number; seconds: number; layers: number; tokensPerStep: number; };

const modelLayers = 60;
const bytesPerGigabyte = 1e9;
const targets = { percentile95: 1.1, skewRatio: 1.03, bytesRatio: 0.25, planningMilliseconds: 100 };

const groups: { name: string; ranks: number; experts: number; slotsPerRank: number; }[] = [
    { name: "32x64", ranks: 32, experts: 64, slotsPerRank: 3 },
    { name: "4x16", ranks: 4, experts: 16, slotsPerRank: 5 },
];

const createSettings = (scenario: Scenario, options: SkewOptions): SkewExperimentSettings => {
    const hasLateReports = scenario === "late-reports";
    const { storeBytesPerSecond } = defaultPlacementSettings;
    return {
        placement: {
            ...defaultPlacementSettings,
            storeBytesPerSecond: storeBytesPerSecond * options.layers / modelLayers,
        },
        reports: {
            tokensPerStep: options.tokensPerStep,
            expertsPerToken: 8,
            stepsPerSecond: 10,
            lagSeconds: hasLateReports ? 5 : 1,
            missingFraction: hasLateReports ? 0.1 : 0,
        },
        planIntervalSeconds: 10,
        immediatePlanSkew: 1.15,
        warmUpSeconds: 60,
        seed: options.seed,
    };
};

const resultRows = (prefix: string, results: Map<Policy, SkewExperimentResult>): ReportRow[] => {
    const rows = [...results.values()].flatMap<ReportRow>(result => [
        { name: `${prefix} ${result.policy}: skew p50`, value: result.median, unit: "slowest/mean" },
        { name: `${prefix} ${result.policy}: skew p95`, value: result.percentile95, unit: "slowest/mean" },
        { name: `${prefix} ${result.policy}: bytes moved`, value: result.bytesMoved / bytesPerGigabyte, unit: "GB" },
        { name: `${prefix} ${result.policy}: maps committed`, value: result.mapsCommitted, unit: "maps" },
        {
            name: `${prefix} ${result.policy}: back under 1.15 after the change`,
            value: result.recoverySeconds ?? NaN,
            unit: "s",
        },
    ]);
    const incremental = results.get("incremental");
    const fullReSolve = results.get("full-re-solve");
    const freeReSolve = results.get("full-re-solve-free");
    if (incremental === undefined || fullReSolve === undefined || freeReSolve === undefined) {
        return rows;
    }
    return [
        ...rows,
        {
            name: `${prefix}: skew p95`,
            value: incremental.percentile95,
            unit: "slowest/mean",
            target: { kind: "at-most", value: targets.percentile95 },
        },
        {
            name: `${prefix}: skew p95 against the full re-solve`,
            value: incremental.percentile95 / fullReSolve.percentile95,
            unit: "times",
            target: { kind: "at-most", value: targets.skewRatio },
        },
        {
            name: `${prefix}: skew p95 against the full re-solve with free transfers`,
            value: incremental.percentile95 / freeReSolve.percentile95,
            unit: "times",
            target: { kind: "at-most", value: targets.skewRatio },
        },
        {
            name: `${prefix}: bytes against the full re-solve`,
            value: incremental.bytesMoved / fullReSolve.bytesMoved,
            unit: "times",
            target: { kind: "at-most", value: targets.bytesRatio },
        },
    ];
};

const skewChart = (title: string, results: Map<Policy, SkewExperimentResult>, changeAt: number): Chart => ({
    title: `Step-time skew, ${title}`,
    xLabel: "seconds",
    yLabel: "slowest rank / mean",
    series: [...results].map(([name, { skew }]) => ({
        name,
        points: skew.map((value, second) => [second, value] as const),
    })),
    marks: [{ x: changeAt, name: "change" }],
});

const planningRows = (seed: number): ReportRow[] => {
    const times = [15, 30, 60].map(layers => {
        const shape: GroupShape = { ranks: 32, layers, experts: 64, slotsPerRank: 3 };
        return measurePlanningTime(shape, seed);
    });
    return times.flatMap<ReportRow>((
        {
            shape: { layers },
            steadyMedianMilliseconds,
            steadySlowestMilliseconds,
            fromUniformMilliseconds,
        },
    ) => [
        {
            name: `planning 32x64, ${layers} layers: median`,
            value: steadyMedianMilliseconds,
            unit: "ms",
            target: { kind: "at-most", value: targets.planningMilliseconds },
        },
        { name: `planning 32x64, ${layers} layers: slowest`, value: steadySlowestMilliseconds, unit: "ms" },
        { name: `planning 32x64, ${layers} layers: from the uniform map`, value: fromUniformMilliseconds, unit: "ms" },
    ]);
};

/** Runs every policy on every scenario and group size, and measures the planning time. */
export const runSkewExperiments = (options: SkewOptions): { rows: ReportRow[]; charts: Chart[]; } => {
    const rows: ReportRow[] = [];
    const charts: Chart[] = [];
    for (const { name, ...group } of groups) {
        for (const scenario of scenarios) {
            const trace = makeTrace({ ...group, layers: options.layers }, scenario, options.seconds, options.seed);
            const settings = createSettings(scenario, options);
            const results = new Map(policies.map(policy => [policy, runSkewExperiment(policy, trace, settings)]));
            rows.push(...resultRows(`${name} ${scenario}`, results));
            charts.push(skewChart(`${name}, ${scenario}`, results, trace.changeAt));
        }
    }
    return { rows: [...rows, ...planningRows(options.seed)], charts };
};
