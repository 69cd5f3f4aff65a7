/**
 * Open-loop load of streamed completions, with client-side metrics for the whole run and for each second.
 */
import { performance } from "node:perf_hooks";
import { systemClock } from "../transport/systemClock.js";
import {
    type CompletionResult,
    type CompletionTarget,
    createDispatcher,
    requestCompletion,
} from "./completionClient.js";
import type { ExperimentContext, ExperimentOptions } from "./experiment.js";
import { EventCounts, LatencyHistogram } from "./measurements.js";
import { runOpenLoop } from "./openLoop.js";
import { poissonArrivals } from "./randomNumbers.js";
import type { ReportRow } from "./report.js";
import type { ChartSeries } from "./svgChart.js";

/** Client-side metrics of one path: latencies, outcomes and token throughput. */
export class PathMetrics {
    readonly name: string;
    readonly firstToken = new LatencyHistogram();
    readonly fullResponse = new LatencyHistogram();
    readonly longestGap = new LatencyHistogram();
    readonly endCounts = new EventCounts();
    readonly failures = new EventCounts();
    tokens = 0;
    private readonly firstTokenBySecond: LatencyHistogram[] = [];
    private readonly failuresBySecond: number[] = [];
    private readonly tokensBySecond: number[] = [];

    constructor(name: string) {
        this.name = name;
    }

    /** Records one result; latencies count from `plannedAt`, and the second of the run from `runStartedAt`. */
    recordResult(result: CompletionResult, plannedAt: number, runStartedAt: number): void {
        const second = Math.floor((plannedAt - runStartedAt) / 1_000);
        this.endCounts.add(result.end);
        this.tokens += result.tokens;
        if (result.firstTokenAt !== undefined) {
            this.firstToken.record(result.firstTokenAt - plannedAt);
            this.firstTokenHistogram(second).record(result.firstTokenAt - plannedAt);
        }
        if (result.end === "whole") {
            this.fullResponse.record(result.endedAt - plannedAt);
            this.longestGap.record(result.longestGapMilliseconds);
            return;
        }
        this.failures.add(result.outcome);
        this.failuresBySecond[second] = (this.failuresBySecond[second] ?? 0) + 1;
    }

    /** Counts a token that arrived `milliseconds` after the start of the run. */
    countToken(milliseconds: number): void {
        const second = Math.floor(milliseconds / 1_000);
        this.tokensBySecond[second] = (this.tokensBySecond[second] ?? 0) + 1;
    }

    /** Median of the tokens per second, over the seconds from `from` up to but not including `to`. */
    medianTokensPerSecond(from: number, to: number): number {
        const counts = [...this.tokensBySecond].slice(from, to).map(count => count ?? 0).sort((a, b) => a - b);
        return counts[Math.floor(counts.length / 2)] ?? 0;
    }

    /** Number of tokens that arrived in each second. */
    tokenSeries(): ChartSeries {
        return { name: this.name, points: [...this.tokensBySecond].map((count, second) => [second, count ?? 0]) };
    }

    /** 95th percentile of the time to first token for each second, in milliseconds. */
    firstTokenSeries(): ChartSeries {
        const points = [...this.firstTokenBySecond.entries()].map(([second, latency]) =>
            [second, latency.summary().count === 0 ? 0 : latency.percentile(95)] as const
        );
        return { name: `${this.name} p95`, points };
    }

    /** Number of failed calls that were planned in each second. */
    failureSeries(): ChartSeries {
        const points = [...this.firstTokenBySecond.keys()].map(second =>
            [second, this.failuresBySecond[second] ?? 0] as const
        );
        return { name: `${this.name} failed`, points };
    }

    /** Maximum of `firstTokenSeries` over the seconds from `from` on, in milliseconds. */
    worstFirstTokenP95(from = 0): number {
        return Math.max(
            0,
            ...this.firstTokenSeries().points.filter(([second]) => second >= from).map(([, y]) => y),
        );
    }

    /** Number of calls that did not end with the whole expected response. */
    get failed(): number {
        return this.endCounts.of("refused") + this.endCounts.of("broken") + this.endCounts.of("wrong");
    }

    rows(seconds: number): ReportRow[] {
        const firstToken = this.firstToken.summary();
        const whole = this.fullResponse.summary();
        const gap = this.longestGap.summary();
        const row = (name: string, value: number, unit: string): ReportRow => ({
            name: `${this.name}: ${name}`,
            value,
            unit,
        });
        return [
            row("whole answers", this.endCounts.of("whole"), "calls"),
            row("refused", this.endCounts.of("refused"), "calls"),
            row("broken", this.endCounts.of("broken"), "calls"),
            row("wrong", this.endCounts.of("wrong"), "calls"),
            ...Object.entries(this.failures.toObject()).map(([name, count]) => row(`ended ${name}`, count, "calls")),
            row("first token p50", firstToken.p50, "ms"),
            row("first token p95", firstToken.p95, "ms"),
            row("first token p99", firstToken.p99, "ms"),
            row("whole answer p50", whole.p50, "ms"),
            row("whole answer p99", whole.p99, "ms"),
            row("longest gap between tokens p95", gap.p95, "ms"),
            row("longest gap between tokens p99", gap.p99, "ms"),
            row("tokens over the whole run", this.tokens / seconds, "tokens/s"),
        ];
    }

    private firstTokenHistogram(second: number): LatencyHistogram {
        for (let index = this.firstTokenBySecond.length; index <= second; index += 1) {
            this.firstTokenBySecond.push(new LatencyHistogram());
        }
        return this.firstTokenBySecond[second] ?? new LatencyHistogram();
    }
}

/** One path of the load: its relative share of the arrivals, and its targets, which take turns. */
export type LoadPath = { metrics: PathMetrics; share: number; targets: CompletionTarget[]; };

/** All entries of the deployment as targets, with the key of its first client account. */
export const entryTargets = ({ deployment }: ExperimentContext): CompletionTarget[] => {
    const key = deployment.clientAccounts[0]?.key ?? "";
    return deployment.entries.map(({ address }) => ({ kind: "entry", address, key, model: deployment.model }));
};

/** All ranks of the deployment as targets, without an entry in between. */
export const engineTargets = ({ deployment }: ExperimentContext): CompletionTarget[] =>
    deployment.engines.flatMap(engine => engine.addresses.map(address => ({ kind: "engine" as const, address })));

/**
 * Runs the load; each arrival is assigned to a path at random, in proportion to the shares. Returns the duration in
 * seconds until the last response has ended.
 */
export const runCompletionLoad = async (
    context: ExperimentContext,
    options: ExperimentOptions,
    paths: LoadPath[],
): Promise<number> => {
    const { random, newId, signal } = context;
    const arrivals = poissonArrivals(options.ratePerSecond, options.seconds, random);
    const totalShare = paths.reduce((sum, path) => sum + path.share, 0);
    const plan = arrivals.map(() => ({ path: choosePath(paths, random() * totalShare), prompt: random() }));
    const dispatcher = createDispatcher();
    const startedAt = performance.now();
    await runOpenLoop(
        arrivals,
        async (plannedAt, index) => {
            const { path, prompt } = plan[index] ?? { path: undefined, prompt: 0 };
            const target = path?.targets[index % path.targets.length];
            if (path === undefined || target === undefined) {
                return;
            }
            const call = { requestId: newId(), prompt: `budget table ${prompt}`, maximumTokens: options.tokens };
            const { metrics } = path;
            const onToken = (now: number) => metrics.countToken(now - startedAt);
            metrics.recordResult(
                await requestCompletion(target, call, dispatcher, signal, onToken),
                plannedAt,
                startedAt,
            );
        },
        systemClock,
        signal,
    );
    const seconds = (performance.now() - startedAt) / 1_000;
    await dispatcher.destroy();
    return seconds;
};

/** Runs the warm-up load; callers discard the metrics of `paths`. */
export const warmUp = async (
    context: ExperimentContext,
    options: ExperimentOptions,
    paths: LoadPath[],
): Promise<void> => {
    if (options.warmUpSeconds > 0) {
        await runCompletionLoad(context, { ...options, seconds: options.warmUpSeconds }, paths);
    }
};

const choosePath = (paths: LoadPath[], position: number): LoadPath | undefined => {
    let cumulativeShare = 0;
    return paths.find(path => {
        cumulativeShare += path.share;
        return position < cumulativeShare;
    });
};
