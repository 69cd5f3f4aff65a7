#!/usr/bin/env node
/**
 * `cyclamengap-bench`: benchmarks of a running deployment, reported as a table, JSON and SVG charts.
 *
 * A separate script starts the deployment and writes its description; this program only sends requests to it. It exits
 * with status 1 if a target was missed and with status 2 if it could not run.
 */
import { type CommandDef, defineCommand, runMain } from "citty";
import { v7 as newId } from "uuid";
import { runClaimCommit } from "../bench/claimCommitExperiment.js";
import { claimsExperiment } from "../bench/claimsExperiment.js";
import { coldStartExperiment } from "../bench/coldStartExperiment.js";
import { readDeployment } from "../bench/deployment.js";
import type { Experiment } from "../bench/experiment.js";
import { loadExperiment } from "../bench/loadExperiment.js";
import { seededRandom } from "../bench/randomNumbers.js";
import { identifyRun, meetsTarget, publishReport, type ReportRow } from "../bench/report.js";
import { routingExperiment } from "../bench/routingExperiment.js";
import { settingsExperiment } from "../bench/settingsExperiment.js";
import { runSkewExperiments } from "../bench/skewCommand.js";
import { zoneExperiment } from "../bench/zoneExperiment.js";

const sharedArguments = {
    "deployment": { type: "string", required: true, description: "deployment description file" },
    "seed": { type: "string", default: "1" },
    "rate": { type: "string", default: "100", description: "target rate in requests per second" },
    "seconds": { type: "string", default: "20" },
    "warm-up-seconds": {
        type: "string",
        default: "5",
        description: "duration of the same load before the measurement",
    },
    "tokens": { type: "string", default: "32", description: "tokens per response" },
    "output": { type: "string", description: "directory for the JSON and SVG files" },
    "compare": { type: "string", description: "JSON file of an earlier run" },
    "commit": { type: "string", default: process.env["CYCLAMENGAP_COMMIT"] ?? "unknown" },
    "name": { type: "string", description: "name of the output files" },
} as const;

type SharedArgumentValues = { [Name in keyof typeof sharedArguments]?: string | undefined; };

const missedTargetStatus = 1;
const cannotRunStatus = 2;

/** Runs `experiment` with the command-line options and publishes its report. */
const runExperiment = async (name: string, experiment: Experiment, values: SharedArgumentValues): Promise<void> => {
    const deployment = await readDeployment(values.deployment ?? "");
    if (deployment.isErr()) {
        process.stderr.write(`${deployment.error}\n`);
        process.exitCode = cannotRunStatus;
        return;
    }
    const seed = Number(values.seed);
    const options = {
        ratePerSecond: Number(values.rate),
        seconds: Number(values.seconds),
        warmUpSeconds: Number(values["warm-up-seconds"]),
        tokens: Number(values.tokens),
    };
    const { entries, agents, engines } = deployment.value;
    const deploymentSize = { entries: entries.length, agents: agents.length, groups: engines.length };
    const run = identifyRun(values.name ?? name, seed, values.commit ?? "unknown", { ...options, ...deploymentSize });
    const stop = new AbortController();
    process.once("SIGINT", () => stop.abort());
    const context = {
        deployment: deployment.value,
        random: seededRandom(seed),
        newId: () => newId(),
        signal: stop.signal,
    };
    const { rows, charts } = await experiment(context, options);
    await publishReport({ run, rows, charts }, values.output, values.compare);
    process.exitCode = rows.every(meetsTarget) ? 0 : missedTargetStatus;
};

const commandFor = (name: string, description: string, experiment: Experiment): CommandDef =>
    defineCommand({
        meta: { name, description },
        args: sharedArguments,
        run: ({ args }) => runExperiment(name, experiment, args),
    }) as CommandDef;

const load = defineCommand({
    meta: {
        name: "load",
        description: "streamed completions through the entries, compared with direct calls to the engines",
    },
    args: {
        ...sharedArguments,
        "direct-share": { type: "string", default: "1", description: "direct calls per call through an entry" },
        "least-tokens": { type: "string", description: "minimum relayed tokens per second" },
    },
    run: ({ args }) => {
        const minimumTokensPerSecond = args["least-tokens"];
        const experiment = loadExperiment(
            Number(args["direct-share"]),
            minimumTokensPerSecond === undefined ? undefined : Number(minimumTokensPerSecond),
        );
        return runExperiment("load", experiment, args);
    },
});

const claimCommit = defineCommand({
    meta: { name: "claim-commit", description: "claims per append, and latency added by a claim" },
    args: {
        "platform": {
            type: "string",
            required: true,
            description: "ip:port of an otherwise idle platform stand-in",
        },
        "seed": sharedArguments.seed,
        "rate": { type: "string", default: "10000", description: "target rate in claims per second" },
        "seconds": { type: "string", default: "5" },
        "agents": { type: "string", default: "3" },
        "service": {
            type: "string",
            default: "bench",
            description: "service name; concurrent runs with the same name share its claims stream",
        },
        "appends": { type: "string", default: "300", description: "maximum appends per second of the log" },
        "latencies": { type: "string", default: "2,20,200", description: "latencies of the log in milliseconds" },
        "output": sharedArguments.output,
        "compare": sharedArguments.compare,
        "commit": sharedArguments.commit,
    },
    run: async ({ args }) => {
        const options = {
            platform: args.platform,
            service: args.service,
            name: newId(),
            agents: Number(args.agents),
            ratePerSecond: Number(args.rate),
            seconds: Number(args.seconds),
            appendsPerSecond: Number(args.appends),
            random: seededRandom(Number(args.seed)),
            newId: () => newId(),
        };
        const stop = new AbortController();
        process.once("SIGINT", () => stop.abort());
        const rows: ReportRow[] = [];
        for (const latency of args.latencies.split(",")) {
            rows.push(...await runClaimCommit({ ...options, logLatencyMilliseconds: Number(latency) }, stop.signal));
        }
        const { agents, ratePerSecond, seconds, appendsPerSecond } = options;
        const load = { agents, ratePerSecond, seconds, appendsPerSecond };
        const run = identifyRun("claim-commit", Number(args.seed), args.commit, load);
        await publishReport({ run, rows, charts: [] }, args.output, args.compare);
    },
});

const skew = defineCommand({
    meta: { name: "skew", description: "expert placement on seeded traces, compared with two baselines" },
    args: {
        "seed": sharedArguments.seed,
        "seconds": { type: "string", default: "900", description: "length of each trace" },
        "layers": { type: "string", default: "6", description: "number of layers in the traces" },
        "tokens-per-step": { type: "string", default: "16384" },
        "output": sharedArguments.output,
        "compare": sharedArguments.compare,
        "commit": sharedArguments.commit,
        "name": sharedArguments.name,
    },
    run: async ({ args }) => {
        const options = {
            seed: Number(args.seed),
            seconds: Number(args.seconds),
            layers: Number(args.layers),
            tokensPerStep: Number(args["tokens-per-step"]),
        };
        const run = identifyRun(args.name ?? "skew", options.seed, args.commit, options);
        const { rows, charts } = runSkewExperiments(options);
        await publishReport({ run, rows, charts }, args.output, args.compare);
        process.exitCode = rows.every(meetsTarget) ? 0 : missedTargetStatus;
    },
});

const routing = defineCommand({
    meta: {
        name: "routing",
        description: "routing and admission policies compared with simpler ones, without a deployment",
    },
    args: {
        seed: sharedArguments.seed,
        output: sharedArguments.output,
        compare: sharedArguments.compare,
        commit: sharedArguments.commit,
    },
    run: async ({ args }) => {
        const seed = Number(args.seed);
        const run = identifyRun("routing", seed, args.commit, {});
        await publishReport({ run, rows: await routingExperiment(seed), charts: [] }, args.output, args.compare);
    },
});

const main = defineCommand({
    meta: { name: "cyclamengap-bench", description: "load tests and experiments on a running deployment" },
    subCommands: {
        load: load as CommandDef,
        skew: skew as CommandDef,
        routing: routing as CommandDef,
        "zone": commandFor("zone", "an availability zone is taken out of and into service under load", zoneExperiment),
        "cold-start": commandFor("cold-start", "cold engines with and without admission control", coldStartExperiment),
        "claims": commandFor("claims", "non-idempotent calls with lost responses and retries", claimsExperiment),
        "claim-commit": claimCommit as CommandDef,
        "settings": commandFor(
            "settings",
            "time until settings changes are applied on all daemons",
            settingsExperiment,
        ),
    },
});

await runMain(main);
