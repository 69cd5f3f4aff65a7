/**
 * Sends non-idempotent calls while responses from the log and from the service are lost and callers retry.
 *
 * No idempotency key may run twice, and a key whose every response says "not-run" must not have run.
 */
import { performance } from "node:perf_hooks";
import { Agent, type Dispatcher, request } from "undici";
import { outcomeHeader } from "../protocol/callerProtocol.js";
import { systemClock } from "../transport/systemClock.js";
import { readLogMetrics, readRuns, setFaults } from "./deploymentControls.js";
import type { Experiment, ExperimentContext } from "./experiment.js";
import { EventCounts, LatencyHistogram } from "./measurements.js";
import { runOpenLoop } from "./openLoop.js";
import { poissonArrivals } from "./randomNumbers.js";
import type { ReportRow } from "./report.js";

/** One in this many calls is sent twice concurrently, to two entries. */
const callsPerDuplicate = 10;
const faultIntervalMilliseconds = 500;
/** Delay before the single retry of a call that had any outcome other than `complete`. */
const retryDelayMilliseconds = 1_000;

type DispatchResponse = { status: number; outcome: string; };

const sendDispatch = async (
    context: ExperimentContext,
    service: string,
    key: string,
    entryIndex: number,
    dispatcher: Dispatcher,
): Promise<DispatchResponse> => {
    const { entries, clientAccounts } = context.deployment;
    const { address } = entries[entryIndex % entries.length] ?? { address: "" };
    try {
        const response = await request(`http://${address}/services/${service}/dispatches`, {
            method: "POST",
            headers: {
                "content-type": "application/json",
                "authorization": `Bearer ${clientAccounts[0]?.key ?? ""}`,
                "idempotency-key": key,
            },
            body: JSON.stringify({ key }),
            dispatcher,
            signal: context.signal,
        });
        await response.body.dump();
        return { status: response.statusCode, outcome: String(response.headers[outcomeHeader] ?? "none") };
    }
    catch {
        return { status: 0, outcome: "none" };
    }
};

/** Repeatedly drops one response of the log and cuts one response of each service. */
const injectFaults = async ({ deployment }: ExperimentContext, signal: AbortSignal): Promise<void> => {
    for (;;) {
        await systemClock.sleep(faultIntervalMilliseconds, signal);
        if (signal.aborted) {
            return;
        }
        await setFaults(deployment.platform, { log: { loseAnswers: 1 } });
        await Promise.all(deployment.services.map(({ address }) => setFaults(address, { cutAfterRun: 1 }, "/_faults")));
    }
};

export const claimsExperiment: Experiment = async (context, options) => {
    const { deployment, random, newId, signal } = context;
    const service = deployment.services[0]?.service ?? "";
    const latency = new LatencyHistogram();
    const outcomes = new EventCounts();
    /** Responses for each idempotency key, with those to retries last. */
    const responsesByKey = new Map<string, DispatchResponse[]>();
    const dispatcher = new Agent({ pipelining: 1 });
    const arrivals = poissonArrivals(options.ratePerSecond, options.seconds, random);
    const metricsBefore = await readLogMetrics(deployment.platform);
    const stopInjection = new AbortController();
    const faultInjection = injectFaults(context, AbortSignal.any([signal, stopInjection.signal]));
    await runOpenLoop(
        arrivals,
        async (plannedAt, index) => {
            const key = newId();
            const send = (entry: number) => sendDispatch(context, service, key, entry, dispatcher);
            const copies = index % callsPerDuplicate === 0 ? 2 : 1;
            const responses = await Promise.all([...Array(copies).keys()].map(copy => send(index + copy)));
            latency.record(performance.now() - plannedAt);
            if (responses.some(({ outcome }) => outcome !== "complete")) {
                await systemClock.sleep(retryDelayMilliseconds, signal);
                responses.push(await send(index + 1));
            }
            responses.forEach(({ outcome, status }) => outcomes.add(`${outcome} ${status}`));
            responsesByKey.set(key, responses);
        },
        systemClock,
        signal,
    );
    stopInjection.abort();
    await faultInjection;
    const metricsAfter = await readLogMetrics(deployment.platform);
    const runs = new EventCounts();
    for (const { address } of deployment.services.filter(other => other.service === service)) {
        (await readRuns(address)).forEach(run => runs.add(run.idempotencyKey ?? "none"));
    }
    await dispatcher.destroy();
    return {
        rows: [
            ...safetyRows(responsesByKey, runs),
            ...Object.entries(outcomes.toObject()).map(([name, value]) => ({
                name: `answer ${name}`,
                value,
                unit: "",
            })),
            { name: "answer p50", value: latency.percentile(50), unit: "ms" },
            { name: "answer p99", value: latency.percentile(99), unit: "ms" },
            {
                name: "appends a call",
                value: (metricsAfter.appends - metricsBefore.appends) / arrivals.length,
                unit: "appends",
            },
        ],
        charts: [],
    };
};

const safetyRows = (responsesByKey: ReadonlyMap<string, DispatchResponse[]>, runs: EventCounts): ReportRow[] => {
    const keys = [...responsesByKey.keys()];
    const zero = { kind: "at-most" as const, value: 0 };
    const allHaveOutcome = (key: string, expected: string) =>
        responsesByKey.get(key)?.every(({ outcome }) => outcome === expected);
    const anyHasOutcome = (key: string, expected: string) =>
        responsesByKey.get(key)?.some(({ outcome }) => outcome === expected);
    return [
        { name: "keys", value: keys.length, unit: "keys" },
        { name: "keys run", value: keys.filter(key => runs.of(key) > 0).length, unit: "keys" },
        { name: "keys run twice", value: keys.filter(key => runs.of(key) > 1).length, unit: "keys", target: zero },
        {
            name: "keys refused \"not-run\" each time, yet run",
            value: keys.filter(key => runs.of(key) > 0 && allHaveOutcome(key, "not-run") === true).length,
            unit: "keys",
            target: zero,
        },
        {
            name: "keys answered \"complete\", yet never run",
            value: keys.filter(key => runs.of(key) === 0 && anyHasOutcome(key, "complete") === true).length,
            unit: "keys",
            target: zero,
        },
    ];
};
