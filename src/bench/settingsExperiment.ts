/**
 * Measures the time from the acceptance of a settings change until each daemon has applied it.
 */
import { performance } from "node:perf_hooks";
import { systemClock } from "../transport/systemClock.js";
import { changeSettings, readState } from "./deploymentControls.js";
import type { Experiment, ExperimentContext } from "./experiment.js";
import { LatencyHistogram } from "./measurements.js";

const pollMilliseconds = 20;
const appliedTargetMilliseconds = 4_000;
const applyTimeoutMilliseconds = 20_000;

/** Offset of the applied settings in a daemon's state dump; -1 if there is none. */
const settingsOffset = (daemonState: unknown): number =>
    (daemonState as { settings?: { offset?: number; }; }).settings?.offset ?? -1;

/**
 * Waits until the daemon at `address` has applied the settings at `offset`. Returns the milliseconds since
 * `acceptedAt`, also when it gives up after `applyTimeoutMilliseconds`.
 */
const waitUntilApplied = async (
    context: ExperimentContext,
    address: string,
    offset: number,
    acceptedAt: number,
): Promise<number> => {
    const { deployment, signal } = context;
    for (;;) {
        const daemonState = await readState(address, deployment.operatorToken).catch(() => undefined);
        const waitedMilliseconds = performance.now() - acceptedAt;
        if (settingsOffset(daemonState) >= offset || waitedMilliseconds > applyTimeoutMilliseconds || signal.aborted) {
            return waitedMilliseconds;
        }
        await systemClock.sleep(pollMilliseconds, signal);
    }
};

export const settingsExperiment: Experiment = async (context, options) => {
    const { deployment, newId, random, signal } = context;
    const daemons = [
        ...deployment.entries.map(entry => entry.control),
        ...deployment.agents.map(agent => agent.address),
    ];
    const allDaemonsLatency = new LatencyHistogram();
    const oneDaemonLatency = new LatencyHistogram();
    const changes = Math.max(1, Math.round(options.ratePerSecond * options.seconds));
    let rejectedChanges = 0;
    for (let change = 0; change < changes && !signal.aborted; change += 1) {
        const value = { requestsPerSecond: 1_000 + change };
        const path = "clientAccounts/bench-changes";
        const offset = await changeSettings(deployment.platform, path, value, newId(), signal);
        const acceptedAt = performance.now();
        if (offset === undefined) {
            rejectedChanges += 1;
            continue;
        }
        const latencies = await Promise.all(
            daemons.map(address => waitUntilApplied(context, address, offset, acceptedAt)),
        );
        latencies.forEach(latency => oneDaemonLatency.record(latency));
        allDaemonsLatency.record(Math.max(...latencies));
        await systemClock.sleep(random() * 1_000 / options.ratePerSecond, signal);
    }
    return {
        rows: [
            { name: "daemons", value: daemons.length, unit: "daemons" },
            { name: "changes", value: changes, unit: "changes" },
            { name: "changes that the log did not take", value: rejectedChanges, unit: "changes" },
            { name: "in force at one daemon, p50", value: oneDaemonLatency.percentile(50), unit: "ms" },
            { name: "in force at one daemon, p99", value: oneDaemonLatency.percentile(99), unit: "ms" },
            { name: "in force at every daemon, p50", value: allDaemonsLatency.percentile(50), unit: "ms" },
            {
                name: "in force at every daemon, slowest change",
                value: allDaemonsLatency.summary().max,
                unit: "ms",
                target: { kind: "at-most", value: appliedTargetMilliseconds },
            },
        ],
        charts: [],
    };
};
