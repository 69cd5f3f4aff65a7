/**
 * Accepted changes of the settings and the time until every daemon has them in force.
 */
import { performance } from "node:perf_hooks";
import { systemClock } from "../transport/systemClock.js";
import { changeSettings, readDump } from "./controls.js";
import type { Experiment, ExperimentTools } from "./experiment.js";
import { Latency } from "./measures.js";

const pollMilliseconds = 20;
const inForceTarget = 4_000;
const giveUpMilliseconds = 20_000;

/** Offset of the settings that a dump states. */
const settingsOffset = (dump: unknown): number => (dump as { settings?: { offset?: number; }; }).settings?.offset ?? -1;

/** Waits until the daemon at `address` has the settings of `offset`; gives the time in milliseconds. */
const waitFor = async (tools: ExperimentTools, address: string, offset: number, since: number): Promise<number> => {
    const { deployment, signal } = tools;
    for (;;) {
        const dump = await readDump(address, deployment.operatorToken).catch(() => undefined);
        const waited = performance.now() - since;
        if (settingsOffset(dump) >= offset || waited > giveUpMilliseconds || signal.aborted) {
            return waited;
        }
        await systemClock.sleep(pollMilliseconds, signal);
    }
};

export const settingsExperiment: Experiment = async (tools, options) => {
    const { deployment, newId, random, signal } = tools;
    const daemons = [
        ...deployment.entries.map(entry => entry.control),
        ...deployment.agents.map(agent => agent.address),
    ];
    const everywhere = new Latency();
    const each = new Latency();
    const changes = Math.max(1, Math.round(options.ratePerSecond * options.seconds));
    let refused = 0;
    for (let change = 0; change < changes && !signal.aborted; change += 1) {
        const value = { requestsPerSecond: 1_000 + change };
        const path = "clientAccounts/bench-changes";
        const offset = await changeSettings(deployment.platform, path, value, newId(), signal);
        const since = performance.now();
        if (offset === undefined) {
            refused += 1;
            continue;
        }
        const times = await Promise.all(daemons.map(address => waitFor(tools, address, offset, since)));
        times.forEach(time => each.record(time));
        everywhere.record(Math.max(...times));
        await systemClock.sleep(random() * 1_000 / options.ratePerSecond, signal);
    }
    return {
        rows: [
            { name: "daemons", value: daemons.length, unit: "daemons" },
            { name: "changes", value: changes, unit: "changes" },
            { name: "changes that the log did not take", value: refused, unit: "changes" },
            { name: "in force at one daemon, p50", value: each.percentile(50), unit: "ms" },
            { name: "in force at one daemon, p99", value: each.percentile(99), unit: "ms" },
            { name: "in force at every daemon, p50", value: everywhere.percentile(50), unit: "ms" },
            {
                name: "in force at every daemon, slowest change",
                value: everywhere.summary().max,
                unit: "ms",
                target: { kind: "at-most", value: inForceTarget },
            },
        ],
        charts: [],
    };
};
