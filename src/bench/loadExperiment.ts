/**
 * Sends completions through the entries and directly to the engines in the same run, and compares them: added latency,
 * relayed tokens per second, and the processor time of each process.
 */
import {
    engineTargets,
    entryTargets,
    type LoadPath,
    PathMetrics,
    runCompletionLoad,
    warmUp,
} from "./completionLoad.js";
import type { ExperimentContext, ExperimentOptions, ExperimentResult } from "./experiment.js";
import { coreShares, readUsage } from "./processUsage.js";
import type { ReportRow } from "./report.js";

const addedMedianTargetMilliseconds = 1;
const addedP99TargetMilliseconds = 5;

/**
 * Creates the experiment. `directShare` is the number of direct calls per call through an entry;
 * `minimumTokensPerSecond` is the target for the relayed throughput, which is reported only if it is set.
 */
export const loadExperiment =
    (directShare: number, minimumTokensPerSecond: number | undefined) =>
    async (context: ExperimentContext, options: ExperimentOptions): Promise<ExperimentResult> => {
        const { deployment } = context;
        const planned = { ...options, ratePerSecond: options.ratePerSecond * (1 + directShare) };
        const createPaths = (relayed: PathMetrics, direct: PathMetrics): LoadPath[] => [
            { metrics: relayed, share: 1, targets: entryTargets(context) },
            { metrics: direct, share: directShare, targets: engineTargets(context) },
        ];
        await warmUp(context, planned, createPaths(new PathMetrics("entry"), new PathMetrics("direct")));
        const relayed = new PathMetrics("entry");
        const direct = new PathMetrics("direct");
        const bench = { host: "bench", pid: process.pid };
        const engines = deployment.engines.map(({ group, pid }) => ({ host: group, pid }));
        const daemons = [...deployment.entries, ...deployment.agents];
        const otherProcesses = [...engines, bench];
        const readAll = () => Promise.all([...daemons, ...otherProcesses].map(({ pid }) => readUsage(pid)));
        const before = await readAll();
        const seconds = await runCompletionLoad(context, planned, createPaths(relayed, direct));
        const after = await readAll();
        const shares = coreShares(before, after, seconds);
        const usage = [...daemons, ...otherProcesses].map(({ host }, index): ReportRow => ({
            name: `${host}: processor`,
            value: (shares[index] ?? 0) * 100,
            unit: "% of a core",
        }));
        return {
            rows: [
                ...relayed.rows(seconds),
                ...(directShare > 0 ? [...direct.rows(seconds), ...addedLatencyRows(relayed, direct)] : []),
                ...throughputRows(relayed, options.seconds, minimumTokensPerSecond),
                ...usage,
                ...processorCostRows(shares.slice(0, daemons.length), deployment.entries.length, seconds, relayed),
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

const addedLatencyRows = (relayed: PathMetrics, direct: PathMetrics): ReportRow[] => {
    const relayedFirstToken = relayed.firstToken.summary();
    const directFirstToken = direct.firstToken.summary();
    const relayedFullResponse = relayed.fullResponse.summary();
    const directFullResponse = direct.fullResponse.summary();
    const atMost = (value: number) => ({ kind: "at-most" as const, value });
    return [
        {
            name: "added to first token, p50",
            value: relayedFirstToken.p50 - directFirstToken.p50,
            unit: "ms",
            target: atMost(addedMedianTargetMilliseconds),
        },
        {
            name: "added to first token, p99",
            value: relayedFirstToken.p99 - directFirstToken.p99,
            unit: "ms",
            target: atMost(addedP99TargetMilliseconds),
        },
        {
            name: "added to whole answer, p50",
            value: relayedFullResponse.p50 - directFullResponse.p50,
            unit: "ms",
            target: atMost(addedMedianTargetMilliseconds),
        },
        {
            name: "added to whole answer, p99",
            value: relayedFullResponse.p99 - directFullResponse.p99,
            unit: "ms",
            target: atMost(addedP99TargetMilliseconds),
        },
        { name: "ratio of first token p50", value: relayedFirstToken.p50 / directFirstToken.p50, unit: "entry/direct" },
        { name: "ratio of first token p99", value: relayedFirstToken.p99 / directFirstToken.p99, unit: "entry/direct" },
    ];
};

/** Processor time per relayed request and per token, summed over all entries and over all agents. */
const processorCostRows = (
    shares: readonly number[],
    entryCount: number,
    seconds: number,
    relayed: PathMetrics,
): ReportRow[] => {
    const processorMilliseconds = (from: number, to?: number) =>
        shares.slice(from, to).reduce((sum, share) => sum + share, 0) * seconds * 1_000;
    const calls = relayed.endCounts.of("whole");
    return [
        { name: "entries: processor for a request", value: processorMilliseconds(0, entryCount) / calls, unit: "ms" },
        { name: "agents: processor for a request", value: processorMilliseconds(entryCount) / calls, unit: "ms" },
        {
            name: "entries: processor for a token",
            value: processorMilliseconds(0, entryCount) / relayed.tokens * 1_000,
            unit: "µs",
        },
    ];
};

/**
 * Median of the tokens per second that reached callers in the second half of the planned load, when about as many
 * requests start as end.
 */
const throughputRows = (
    relayed: PathMetrics,
    seconds: number,
    minimumTokensPerSecond: number | undefined,
): ReportRow[] =>
    minimumTokensPerSecond === undefined ? [] : [{
        name: "relayed in steady state, median second",
        value: relayed.medianTokensPerSecond(Math.ceil(seconds / 2), Math.floor(seconds)),
        unit: "tokens/s",
        target: { kind: "at-least", value: minimumTokensPerSecond },
    }];
