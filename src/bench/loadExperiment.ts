/**
 * Completions through the entries beside the same load straight at the engines, in one run: the added latency and the
 * tokens that are relayed, with the processor time of each daemon.
 */
import {
    engineTargets,
    entryTargets,
    type LoadPath,
    PathMeasures,
    runCompletionLoad,
    warmUp,
} from "./completionLoad.js";
import type { ExperimentOptions, ExperimentResult, ExperimentTools } from "./experiment.js";
import { coreShares, readUsage } from "./processUsage.js";
import type { ReportRow } from "./report.js";

const addedMedianTarget = 1;
const addedTailTarget = 5;

/** Runs the load; `directShare` of as many calls again go straight to the engines. */
export const loadExperiment =
    (directShare: number, leastTokensPerSecond: number | undefined) =>
    async (tools: ExperimentTools, options: ExperimentOptions): Promise<ExperimentResult> => {
        const { deployment } = tools;
        const planned = { ...options, ratePerSecond: options.ratePerSecond * (1 + directShare) };
        const pathsFor = (relayed: PathMeasures, direct: PathMeasures): LoadPath[] => [
            { measures: relayed, share: 1, targets: entryTargets(tools) },
            { measures: direct, share: directShare, targets: engineTargets(tools) },
        ];
        await warmUp(tools, planned, pathsFor(new PathMeasures("entry"), new PathMeasures("direct")));
        const relayed = new PathMeasures("entry");
        const direct = new PathMeasures("direct");
        const bench = { host: "bench", pid: process.pid };
        const engines = deployment.engines.map(({ group, pid }) => ({ host: group, pid }));
        const daemons = [...deployment.entries, ...deployment.agents];
        const others = [...engines, bench];
        const readAll = () => Promise.all([...daemons, ...others].map(({ pid }) => readUsage(pid)));
        const before = await readAll();
        const seconds = await runCompletionLoad(tools, planned, pathsFor(relayed, direct));
        const after = await readAll();
        const shares = coreShares(before, after, seconds);
        const usage = [...daemons, ...others].map(({ host }, index): ReportRow => ({
            name: `${host}: processor`,
            value: (shares[index] ?? 0) * 100,
            unit: "% of a core",
        }));
        return {
            rows: [
                ...relayed.rows(seconds),
                ...(directShare > 0 ? [...direct.rows(seconds), ...addedRows(relayed, direct)] : []),
                ...tokenRows(relayed, options.seconds, leastTokensPerSecond),
                ...usage,
                ...costRows(shares.slice(0, daemons.length), deployment.entries.length, seconds, relayed),
            ],
            charts: [
                {
                    title: "First token, 95th percentile of each second",
                    xLabel: "seconds",
                    yLabel: "ms",
                    series: [relayed.firstTokenSeries(), ...(directShare > 0 ? [direct.firstTokenSeries()] : [])],
                },
                {
                    title: "Tokens that reached callers",
                    xLabel: "seconds",
                    yLabel: "tokens/s",
                    series: [relayed.tokenSeries(), ...(directShare > 0 ? [direct.tokenSeries()] : [])],
                },
            ],
        };
    };

const addedRows = (relayed: PathMeasures, direct: PathMeasures): ReportRow[] => {
    const through = relayed.firstToken.summary();
    const straight = direct.firstToken.summary();
    const wholeThrough = relayed.wholeAnswer.summary();
    const wholeStraight = direct.wholeAnswer.summary();
    const atMost = (value: number) => ({ kind: "at-most" as const, value });
    return [
        {
            name: "added to first token, p50",
            value: through.p50 - straight.p50,
            unit: "ms",
            target: atMost(addedMedianTarget),
        },
        {
            name: "added to first token, p99",
            value: through.p99 - straight.p99,
            unit: "ms",
            target: atMost(addedTailTarget),
        },
        {
            name: "added to whole answer, p50",
            value: wholeThrough.p50 - wholeStraight.p50,
            unit: "ms",
            target: atMost(addedMedianTarget),
        },
        {
            name: "added to whole answer, p99",
            value: wholeThrough.p99 - wholeStraight.p99,
            unit: "ms",
            target: atMost(addedTailTarget),
        },
        { name: "ratio of first token p50", value: through.p50 / straight.p50, unit: "entry/direct" },
        { name: "ratio of first token p99", value: through.p99 / straight.p99, unit: "entry/direct" },
    ];
};

/** Processor time of one relayed request and token, at all entries and at all agents together. */
const costRows = (shares: readonly number[], entries: number, seconds: number, relayed: PathMeasures): ReportRow[] => {
    const milliseconds = (from: number, to?: number) =>
        shares.slice(from, to).reduce((sum, share) => sum + share, 0) * seconds * 1_000;
    const calls = relayed.ends.of("whole");
    return [
        { name: "entries: processor for a request", value: milliseconds(0, entries) / calls, unit: "ms" },
        { name: "agents: processor for a request", value: milliseconds(entries) / calls, unit: "ms" },
        {
            name: "entries: processor for a token",
            value: milliseconds(0, entries) / relayed.tokens * 1_000,
            unit: "µs",
        },
    ];
};

/** Tokens a second that reached callers in the second half of the planned load, when as many start as end. */
const tokenRows = (relayed: PathMeasures, seconds: number, least: number | undefined): ReportRow[] =>
    least === undefined ? [] : [{
        name: "relayed in steady state, median second",
        value: relayed.steadyTokensPerSecond(Math.ceil(seconds / 2), Math.floor(seconds)),
        unit: "tokens/s",
        target: { kind: "at-least", value: least },
    }];
