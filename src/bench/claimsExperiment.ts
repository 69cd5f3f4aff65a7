/**
 * Non-idempotent calls while answers get lost on the way from the log and from the service, and callers resend.
 *
 * Whatever happens, no key may run twice, and a key that was refused "not-run" for good may not have run.
 */
import { performance } from "node:perf_hooks";
import { Agent, type Dispatcher, request } from "undici";
import { outcomeHeader } from "../protocol/callerProtocol.js";
import { systemClock } from "../transport/systemClock.js";
import { readLogMetrics, readRuns, setFaults } from "./controls.js";
import type { Experiment, ExperimentTools } from "./experiment.js";
import { Counts, Latency } from "./measures.js";
import { runOpenLoop } from "./openLoop.js";
import { poissonArrivals } from "./randomNumbers.js";
import type { ReportRow } from "./report.js";

/** Of so many calls, one is sent a second time at once, and one again if its outcome is unknown. */
const doubledEvery = 10;
const faultIntervalMilliseconds = 500;
const resendAfterMilliseconds = 1_000;

type Answer = { status: number; outcome: string; };

const dispatch = async (
    tools: ExperimentTools,
    service: string,
    key: string,
    entry: number,
    dispatcher: Dispatcher,
): Promise<Answer> => {
    const { entries, clientAccounts } = tools.deployment;
    const { address } = entries[entry % entries.length] ?? { address: "" };
    try {
        const answer = await request(`http://${address}/services/${service}/dispatches`, {
            method: "POST",
            headers: {
                "content-type": "application/json",
                "authorization": `Bearer ${clientAccounts[0]?.key ?? ""}`,
                "idempotency-key": key,
            },
            body: JSON.stringify({ key }),
            dispatcher,
            signal: tools.signal,
        });
        await answer.body.dump();
        return { status: answer.statusCode, outcome: String(answer.headers[outcomeHeader] ?? "none") };
    }
    catch {
        return { status: 0, outcome: "none" };
    }
};

/** Loses one answer of the log and cuts one answer of the service, again and again. */
const injectFaults = async ({ deployment }: ExperimentTools, signal: AbortSignal): Promise<void> => {
    for (;;) {
        await systemClock.sleep(faultIntervalMilliseconds, signal);
        if (signal.aborted) {
            return;
        }
        await setFaults(deployment.platform, { log: { loseAnswers: 1 } });
        await Promise.all(deployment.services.map(({ address }) => setFaults(address, { cutAfterRun: 1 }, "/_faults")));
    }
};

export const claimsExperiment: Experiment = async (tools, options) => {
    const { deployment, random, newId, signal } = tools;
    const service = deployment.services[0]?.service ?? "";
    const latency = new Latency();
    const outcomes = new Counts();
    /** The answers of each key in the order of their calls. */
    const answers = new Map<string, Answer[]>();
    const dispatcher = new Agent({ pipelining: 1 });
    const arrivals = poissonArrivals(options.ratePerSecond, options.seconds, random);
    const before = await readLogMetrics(deployment.platform);
    const faults = new AbortController();
    const injected = injectFaults(tools, AbortSignal.any([signal, faults.signal]));
    await runOpenLoop(
        arrivals,
        async (plannedAt, index) => {
            const key = newId();
            const send = (entry: number) => dispatch(tools, service, key, entry, dispatcher);
            const copies = index % doubledEvery === 0 ? 2 : 1;
            const first = await Promise.all([...Array(copies).keys()].map(copy => send(index + copy)));
            latency.record(performance.now() - plannedAt);
            if (first.some(({ outcome }) => outcome !== "complete")) {
                await systemClock.sleep(resendAfterMilliseconds, signal);
                first.push(await send(index + 1));
            }
            first.forEach(({ outcome, status }) => outcomes.add(`${outcome} ${status}`));
            answers.set(key, first);
        },
        systemClock,
        signal,
    );
    faults.abort();
    await injected;
    const after = await readLogMetrics(deployment.platform);
    const runs = new Counts();
    for (const { address } of deployment.services.filter(other => other.service === service)) {
        (await readRuns(address)).forEach(run => runs.add(run.idempotencyKey ?? "none"));
    }
    await dispatcher.destroy();
    return {
        rows: [
            ...verdictRows(answers, runs),
            ...Object.entries(outcomes.toObject()).map(([name, value]) => ({
                name: `answer ${name}`,
                value,
                unit: "",
            })),
            { name: "answer p50", value: latency.percentile(50), unit: "ms" },
            { name: "answer p99", value: latency.percentile(99), unit: "ms" },
            { name: "appends a call", value: (after.appends - before.appends) / arrivals.length, unit: "appends" },
        ],
        charts: [],
    };
};

const verdictRows = (answers: ReadonlyMap<string, Answer[]>, runs: Counts): ReportRow[] => {
    const keys = [...answers.keys()];
    const zero = { kind: "at-most" as const, value: 0 };
    const everyOutcome = (key: string, wanted: string) => answers.get(key)?.every(({ outcome }) => outcome === wanted);
    const withOutcome = (key: string, wanted: string) => answers.get(key)?.some(({ outcome }) => outcome === wanted);
    return [
        { name: "keys", value: keys.length, unit: "keys" },
        { name: "keys run", value: keys.filter(key => runs.of(key) > 0).length, unit: "keys" },
        { name: "keys run twice", value: keys.filter(key => runs.of(key) > 1).length, unit: "keys", target: zero },
        {
            name: "keys refused \"not-run\" each time, yet run",
            value: keys.filter(key => runs.of(key) > 0 && everyOutcome(key, "not-run") === true).length,
            unit: "keys",
            target: zero,
        },
        {
            name: "keys answered \"complete\", yet never run",
            value: keys.filter(key => runs.of(key) === 0 && withOutcome(key, "complete") === true).length,
            unit: "keys",
            target: zero,
        },
    ];
};
