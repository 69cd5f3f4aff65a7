/**
 * The skew experiments as rows and charts: every policy on the same trace, for each scenario and each size of group.
 *
 * They need no deployment. A trace has fewer layers than a real model; the weight store's rate is scaled down in the
 * same proportion, so that a change of all layers takes as long as it would with all of them.
 */
import { defaultPlacementSettings } from "../coordination/mapPlanner.js";
import type { GroupShape } from "../state/expertMap.js";
import type { ReportRow } from "./report.js";
import { type ExperimentResult, type ExperimentSettings, runExperiment } from "./skewExperiment.js";
import { measurePlanningTime } from "./skewPlanningTime.js";
import { policies, type Policy } from "./skewPolicies.js";
import { makeTrace, type Scenario, scenarios } from "./skewTrace.js";
import type { Chart } from "./svgChart.js";

export type SkewOptions = { seed: number; seconds: number; layers: number; tokensPerStep: number; };

const modelLayers = 60;
const bytesPerGigabyte = 1e9;
const targets = { percentile95: 1.1, timesFullReSolve: 1.03, bytesPart: 0.25, planningMilliseconds: 100 };

const groups: { name: string; ranks: number; experts: number; slotsPerRank: number; }[] = [
    { name: "32x64", ranks: 32, experts: 64, slotsPerRank: 3 },
    { name: "4x16", ranks: 4, experts: 16, slotsPerRank: 5 },
];

const settingsFor = (scenario: Scenario, options: SkewOptions): ExperimentSettings => {
    const late = scenario === "late-reports";
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
            lagSeconds: late ? 5 : 1,
            missingPart: late ? 0.1 : 0,
        },
        planEverySeconds: 10,
        urgentSkew: 1.15,
        warmUpSeconds: 60,
        seed: options.seed,
    };
};

const rowsOf = (prefix: string, results: Map<Policy, ExperimentResult>): ReportRow[] => {
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
    const own = results.get("incremental");
    const full = results.get("full-re-solve");
    const free = results.get("full-re-solve-free");
    if (own === undefined || full === undefined || free === undefined) {
        return rows;
    }
    return [
        ...rows,
        {
            name: `${prefix}: skew p95`,
            value: own.percentile95,
            unit: "slowest/mean",
            target: { kind: "at-most", value: targets.percentile95 },
        },
        {
            name: `${prefix}: skew p95 against the full re-solve`,
            value: own.percentile95 / full.percentile95,
            unit: "times",
            target: { kind: "at-most", value: targets.timesFullReSolve },
        },
        {
            name: `${prefix}: skew p95 against the full re-solve with free transfers`,
            value: own.percentile95 / free.percentile95,
            unit: "times",
            target: { kind: "at-most", value: targets.timesFullReSolve },
        },
        {
            name: `${prefix}: bytes against the full re-solve`,
            value: own.bytesMoved / full.bytesMoved,
            unit: "times",
            target: { kind: "at-most", value: targets.bytesPart },
        },
    ];
};

const chartOf = (title: string, results: Map<Policy, ExperimentResult>, changeAt: number): Chart => ({
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
    return times.flatMap<ReportRow>(({ shape: { layers }, steadyMedian, steadySlowest, fromUniform }) => [
        {
            name: `planning 32x64, ${layers} layers: median`,
            value: steadyMedian,
            unit: "ms",
            target: { kind: "at-most", value: targets.planningMilliseconds },
        },
        { name: `planning 32x64, ${layers} layers: slowest`, value: steadySlowest, unit: "ms" },
        { name: `planning 32x64, ${layers} layers: from the uniform map`, value: fromUniform, unit: "ms" },
    ]);
};

/** Runs every scenario under every policy. */
export const runSkewExperiments = (options: SkewOptions): { rows: ReportRow[]; charts: Chart[]; } => {
    const rows: ReportRow[] = [];
    const charts: Chart[] = [];
    for (const { name, ...group } of groups) {
        for (const scenario of scenarios) {
            const trace = makeTrace({ ...group, layers: options.layers }, scenario, options.seconds, options.seed);
            const settings = settingsFor(scenario, options);
            const results = new Map(policies.map(policy => [policy, runExperiment(policy, trace, settings)]));
            rows.push(...rowsOf(`${name} ${scenario}`, results));
            charts.push(chartOf(`${name}, ${scenario}`, results, trace.changeAt));
        }
    }
    return { rows: [...rows, ...planningRows(options.seed)], charts };
};
