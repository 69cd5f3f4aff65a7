#!/usr/bin/env node
/**
 * `cyclamengap-standin`: runs a stand-in for the platform, a model engine or a plain service as a separate process.
 *
 * Each subcommand prints one JSON line with its addresses once it listens, and stops on SIGTERM or SIGINT.
 */
import { defineCommand, runMain } from "citty";
import { readFileSync } from "node:fs";
import { v7 as newId } from "uuid";
import { startEngine } from "../standin/modelEngine.js";
import { startPlainService } from "../standin/plainService.js";
import { startPlatform } from "../standin/platform.js";
import type { HostRecord } from "../state/types.js";
import { systemClock as clock } from "../transport/systemClock.js";

const listen = { type: "string", default: "127.0.0.1:0", description: "address, ip:port" } as const;

const printListening = (fields: Record<string, unknown>): void => {
    process.stdout.write(`${JSON.stringify({ event: "listening", ...fields })}\n`);
};

/** Creates a signal that aborts on the first SIGTERM or SIGINT. */
const createStopSignal = (): AbortSignal => {
    const controller = new AbortController();
    for (const name of ["SIGTERM", "SIGINT"] as const) {
        process.once(name, () => controller.abort());
    }
    return controller.signal;
};

const platform = defineCommand({
    meta: { name: "platform", description: "append-only log, host list and weight store" },
    args: { listen, hosts: { type: "string", description: "JSON file with the initial host list" } },
    run: async ({ args }) => {
        const { address, hosts } = await startPlatform({ listen: args.listen, clock, signal: createStopSignal() });
        const records = args.hosts === undefined ? [] : JSON.parse(readFileSync(args.hosts, "utf8")) as HostRecord[];
        records.forEach(record => hosts.updateHost(record.host, record));
        printListening({ role: "platform", address });
    },
});

const service = defineCommand({
    meta: { name: "service", description: "plain service that records its executions" },
    args: { listen },
    run: async ({ args }) => {
        const { address } = await startPlainService({ listen: args.listen, clock, signal: createStopSignal() });
        printListening({ role: "service", address });
    },
});

const engine = defineCommand({
    meta: { name: "engine", description: "group of ranks that run in lockstep, with one port per rank" },
    args: {
        listen: { ...listen, description: "address of rank 0, ip:port; rank r listens on the port r above it" },
        "ranks": { type: "string", default: "4" },
        "step-milliseconds": { type: "string", default: "20" },
        "capacity": { type: "string", default: "64", description: "sequences that a warm rank runs concurrently" },
        "cold-capacity": {
            type: "string",
            default: "4",
            description: "sequences that a cold rank can run without crashing",
        },
        "warm-after-tokens": { type: "string", default: "500" },
        "cold-grace-steps": { type: "string", default: "100" },
        "restart-milliseconds": { type: "string", default: "200" },
        "checks-fence": { type: "boolean", default: false },
        "starts-warm": { type: "boolean", default: false },
        "expert-maps": {
            type: "boolean",
            default: false,
            description: "ranks support switching expert maps by promises",
        },
        "map-load-milliseconds": { type: "string", default: "0" },
        "layers": { type: "string", default: "1" },
        "experts": { type: "string", default: "16", description: "number of experts per layer" },
    },
    run: async ({ args }) => {
        const { addresses } = await startEngine({
            listen: args.listen,
            ranks: Number(args.ranks),
            stepMilliseconds: Number(args["step-milliseconds"]),
            capacity: Number(args.capacity),
            coldCapacity: Number(args["cold-capacity"]),
            warmAfterTokens: Number(args["warm-after-tokens"]),
            coldGraceSteps: Number(args["cold-grace-steps"]),
            restartMilliseconds: Number(args["restart-milliseconds"]),
            checksFence: args["checks-fence"],
            startsWarm: args["starts-warm"],
            expertMaps: args["expert-maps"],
            mapLoadMilliseconds: Number(args["map-load-milliseconds"]),
            expertShape: { layers: Number(args.layers), experts: Number(args.experts) },
            engineId: newId(),
            clock,
            signal: createStopSignal(),
        });
        printListening({ role: "engine", addresses });
    },
});

const main = defineCommand({
    meta: { name: "cyclamengap-standin", description: "stand-ins for the platform and for upstreams" },
    subCommands: { platform, engine, service },
});

await runMain(main);
