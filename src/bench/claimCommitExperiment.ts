/**
 * Measures claim registries on a running log: how many claims one append carries, and the latency that a claim adds.
 *
 * The registries run in this process, one per agent, and share one stream. The log responds after a configured latency
 * and accepts a configured number of appends per second. A granted claim is completed at once, so each call writes a
 * claim and a result.
 */
import { performance } from "node:perf_hooks";
import { createClaimRegistry } from "../coordination/claimRegistry.js";
import { decodedStream } from "../coordination/decodedStream.js";
import { claimStreamName, decodeClaimBatch } from "../protocol/claimRecords.js";
import { claimWindowOf } from "../state/claimStateMachine.js";
import type { RandomNumber } from "../state/types.js";
import { createLogClient } from "../transport/logClient.js";
import { systemClock } from "../transport/systemClock.js";
import { readLogMetrics, setFaults } from "./deploymentControls.js";
import { EventCounts, LatencyHistogram } from "./measurements.js";
import { runOpenLoop } from "./openLoop.js";
import { poissonArrivals } from "./randomNumbers.js";
import type { ReportRow } from "./report.js";

const millisecondsPerSecond = 1_000;
const retentionMilliseconds = 3_600_000;
const timeoutMilliseconds = 20_000;
const response = { status: 200, contentType: "application/json", body: `{"receipt":1}` };

export type ClaimCommitOptions = {
    /** `ip:port` of the platform. */
    platform: string;
    /** Name of the service whose claims stream is used; concurrent runs may share it. */
    service: string;
    /** Prefix of the agent names, unique to this run. */
    name: string;
    agents: number;
    ratePerSecond: number;
    seconds: number;
    logLatencyMilliseconds: number;
    appendsPerSecond: number;
    random: RandomNumber;
    newId: () => string;
};

/** Measures one claim rate at one log latency. */
export const runClaimCommit = async (options: ClaimCommitOptions, signal: AbortSignal): Promise<ReportRow[]> => {
    const { platform, agents, ratePerSecond, seconds, logLatencyMilliseconds, appendsPerSecond, newId } = options;
    const stop = new AbortController();
    const stream = claimStreamName(options.service);
    const registries = [...Array(agents).keys()].map(index =>
        createClaimRegistry({
            stream: decodedStream(
                createLogClient<unknown>({ platform: `http://${platform}`, stream }),
                decodeClaimBatch,
            ),
            clock: systemClock,
            agent: `${options.name}/${index}`,
            window: claimWindowOf(retentionMilliseconds),
        })
    );
    const running = registries.map(registry => registry.run(stop.signal));
    await setFaults(platform, { log: { delayMilliseconds: logLatencyMilliseconds, appendsPerSecond } });
    while (registries.some(registry => !registry.status().ready)) {
        await systemClock.sleep(logLatencyMilliseconds, signal);
    }
    const latency = new LatencyHistogram();
    const outcomes = new EventCounts();
    const submitClaim = async (plannedAt: number, index: number): Promise<void> => {
        const deadline = systemClock.now() + timeoutMilliseconds;
        const request = { key: newId(), digest: "digest", deadline };
        // Each request has its own signal, as on an agent.
        const claimed = await registries[index % agents]?.claim(request, new AbortController().signal);
        const permit = claimed?.isOk() && claimed.value.kind === "run" ? claimed.value.permit : undefined;
        permit?.complete(response);
        outcomes.add(permit === undefined ? "refused" : "granted");
        latency.record(performance.now() - plannedAt);
    };
    const metricsBefore = await readLogMetrics(platform);
    const startedAt = performance.now();
    const cpuUsageBefore = process.cpuUsage();
    await runOpenLoop(poissonArrivals(ratePerSecond, seconds, options.random), submitClaim, systemClock, signal);
    const elapsedSeconds = (performance.now() - startedAt) / millisecondsPerSecond;
    const cpuUsageDuringRun = process.cpuUsage(cpuUsageBefore);
    await Promise.all(registries.map(registry => registry.waitUntilDrained(timeoutMilliseconds, signal)));
    const metricsAfter = await readLogMetrics(platform);
    stop.abort();
    await Promise.all(running);
    const granted = outcomes.of("granted");
    const appends = metricsAfter.appends - metricsBefore.appends;
    const atLatency = `at ${logLatencyMilliseconds} ms`;
    const cpuMicroseconds = cpuUsageDuringRun.user + cpuUsageDuringRun.system;
    return [
        { name: `claims a second, ${atLatency}`, value: granted / elapsedSeconds, unit: "claims/s" },
        { name: `claims refused, ${atLatency}`, value: outcomes.of("refused"), unit: "claims" },
        { name: `appends a second, ${atLatency}`, value: appends / elapsedSeconds, unit: "appends/s" },
        { name: `claims an append, ${atLatency}`, value: granted / appends, unit: "claims" },
        { name: `added latency p50, ${atLatency}`, value: latency.percentile(50), unit: "ms" },
        { name: `added latency p99, ${atLatency}`, value: latency.percentile(99), unit: "ms" },
        {
            name: `processor time a claim, all agents, ${atLatency}`,
            value: cpuMicroseconds / Math.max(1, granted),
            unit: "µs",
        },
    ];
};
