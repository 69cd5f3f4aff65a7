/**
 * Callers that stop reading or read slowly, and an entry that runs as a process of its own.
 */
import { expect } from "chai";
import { mkdtempSync, writeFileSync } from "node:fs";
import { request as startRequest } from "node:http";
import { type AddressInfo, createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { headerNames, paths, slowReadersContract, topics } from "../../platform/names.js";
import { startKeyedStore } from "../../src/standin/keyedStore.js";
import { standardConfiguration, validApiKey } from "./platformDeployment.js";
import { type Program, startProgram } from "./processes.js";

export type SlowCallOptions = {
    requestId: string;
    isStream?: boolean;
    /** Stops reading once it has this many bytes. */
    pauseAfterBytes?: number;
    /** Reads on after this time; never if undefined. */
    resumeAfterMilliseconds?: number;
    /** Reads no faster than this. */
    bytesPerMillisecond?: number;
    timeoutMilliseconds?: number;
    onEvent?: (id: number) => void;
    signal?: AbortSignal;
};

export type SlowAnswer = { status: number; bytes: number; eventIds: number[]; isComplete: boolean; };

const maximumLeadMilliseconds = 20;

export const callSlowly = (address: string, path: string, options: SlowCallOptions): Promise<SlowAnswer> =>
    new Promise(resolve => {
        const { requestId, isStream = true, pauseAfterBytes = Infinity, bytesPerMillisecond = Infinity } = options;
        const [ip, port] = address.split(":");
        const answer: SlowAnswer = { status: 0, bytes: 0, eventIds: [], isComplete: false };
        const outgoing = startRequest({
            host: ip,
            port: Number(port),
            path,
            method: isStream ? "POST" : "GET",
            agent: false,
            ...(options.signal === undefined ? {} : { signal: options.signal }),
            headers: {
                host: "portal.example",
                [headerNames.requestId]: requestId,
                [headerNames.remainingTimeout]: String(options.timeoutMilliseconds ?? 15_000),
                [headerNames.authorization]: `Bearer ${validApiKey}`,
                ...(isStream ? { [headerNames.tokenUsage]: "40,80" } : {}),
            },
        }, response => {
            answer.status = response.statusCode ?? 0;
            let hasPaused = false;
            const startedAt = performance.now();
            let rest = "";
            response.on("data", (chunk: Buffer) => {
                answer.bytes += chunk.length;
                const text = rest + chunk.toString("latin1");
                rest = text.slice(text.lastIndexOf("\n") + 1);
                for (const [, id] of text.slice(0, text.length - rest.length).matchAll(/^id: (\d+)$/gm)) {
                    answer.eventIds.push(Number(id));
                    options.onEvent?.(Number(id));
                }
                if (!hasPaused && answer.bytes >= pauseAfterBytes) {
                    hasPaused = true;
                    response.pause();
                    if (options.resumeAfterMilliseconds !== undefined) {
                        setTimeout(() => response.resume(), options.resumeAfterMilliseconds);
                    }
                }
                else if (answer.bytes / bytesPerMillisecond > performance.now() - startedAt + maximumLeadMilliseconds) {
                    response.pause();
                    setTimeout(() => response.resume(), maximumLeadMilliseconds);
                }
            });
            response.on("error", () => undefined);
            response.once("close", () => resolve({ ...answer, isComplete: response.complete }));
        });
        outgoing.once("error", () => resolve(answer));
        outgoing.end();
    });

export const freePort = (): Promise<number> =>
    new Promise(resolve => {
        const server = createServer().listen(0, "127.0.0.1", () => {
            const { port } = server.address() as AddressInfo;
            server.close(() => resolve(port));
        });
    });

/** As in deploy/system.toml. */
const deployedNodeOptions = ["--max-old-space-size=160", "--max-semi-space-size=4"];

export type EntryProcess = {
    callers: string;
    readiness: string;
    metrics: string;
    /** For other entries. */
    internal: string;
    program: Program;
    /** A value of the entry's metrics. */
    metric: (name: string) => Promise<number>;
    stop: () => Promise<void>;
};

/** Starts an entry with a store of its own; it knows `servers` when the promise resolves. */
export const startEntryProcess = async (
    memoryMegabytes: number,
    servers: { id: string; address: string; service: string; }[],
    contracts = [slowReadersContract],
    /** Gives the address at which the entry finds the store, by default the store's own. */
    reachStore: (address: string) => Promise<string> = address => Promise.resolve(address),
    /** Replaces fields of the operator's configuration, and of the entry's own settings. */
    changes: { configuration?: object; settings?: object; } = {},
): Promise<EntryProcess> => {
    const store = await startKeyedStore();
    const { routes, services } = standardConfiguration(1) as { routes: object[]; services: object[]; };
    const floodRoute = {
        ...routes[3],
        name: "flood",
        pathPrefix: "/flood/",
        service: "flood",
        goalMs: 10_000,
        timeoutMs: 20_000,
    };
    /** For plain answers of the same servers. */
    const plainFloodRoute = { ...routes[0], name: "flood-plain", pathPrefix: "/flood-plain/", service: "flood" };
    store.put(
        topics.operator,
        "config",
        standardConfiguration(1, {
            routes: [...routes, floodRoute, plainFloodRoute],
            services: [...services, { name: "flood" }],
            ...changes.configuration,
        }),
    );
    for (const { id, address, service } of servers) {
        store.put(topics.upstreams, id, {
            service,
            address,
            zone: "medina",
            slots: 500,
            state: "ready",
            seq: 1,
            coldLeftMs: 0,
            born: 1_700_000_000_000,
        });
    }
    const [callers, readiness, metrics, internal] = await Promise.all([freePort(), freePort(), freePort(), freePort()]);
    const file = join(mkdtempSync(join(tmpdir(), "entry-")), "entry.jsonc");
    writeFileSync(
        file,
        JSON.stringify({
            host: "entry-1",
            availabilityZone: "medina",
            ip: "127.0.0.1",
            internalPorts: [internal, internal],
            metrics: `127.0.0.1:${metrics}`,
            store: { address: await reachStore(store.address) },
            callers: `127.0.0.1:${callers}`,
            readiness: `127.0.0.1:${readiness}`,
            graceSeconds: 1,
            retryRatio: 0.2,
            retrySlack: 400,
            retryWindowSeconds: 10,
            memoryMegabytes,
            platformContracts: contracts,
            ...changes.settings,
        }),
    );
    const program = startProgram("ingress", ["--config", file], deployedNodeOptions);
    await program.waitForEvent("started");
    // Log lines are bounded, so they don't tell when all servers are known.
    const listed = async (): Promise<number> => {
        const state = await (await fetch(`http://127.0.0.1:${metrics}/state`)).json() as { upstreams: object[]; };
        return state.upstreams.length;
    };
    while (await listed() < servers.length) {
        await new Promise(resolve => setTimeout(resolve, 20));
    }
    while ((await fetch(`http://127.0.0.1:${readiness}${paths.readiness}`)).status !== 200) {
        await new Promise(resolve => setTimeout(resolve, 20));
    }
    return {
        callers: `127.0.0.1:${callers}`,
        readiness: `127.0.0.1:${readiness}`,
        metrics: `127.0.0.1:${metrics}`,
        internal: `127.0.0.1:${internal}`,
        program,
        metric: async name => {
            const text = await (await fetch(`http://127.0.0.1:${metrics}/metrics`)).text();
            const line = text.split("\n").find(each => each.startsWith(`${name} `));
            return Number(line?.split(" ")[1] ?? expect.fail(`no metric ${name}`));
        },
        stop: async () => {
            await program.kill();
            await store.close();
        },
    };
};
