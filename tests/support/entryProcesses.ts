/**
 * Entries as processes at addresses of their own, for tests that stop, kill and start them.
 */
import { EventEmitter, once } from "node:events";
import { writeFile } from "node:fs/promises";
import { createServer } from "node:net";
import type { AddressInfo } from "node:net";
import { join } from "node:path";
import { configurationFileVariable } from "../../platform/names.js";
import type { KeyedStore } from "../../src/standin/keyedStore.js";
import { type Program, startNode } from "./processes.js";

/** One run of an entry; times by `performance.now`. */
export type EntryProcess = {
    program: Program;
    /** When it got SIGTERM. */
    stoppedAt: number | undefined;
    /** When it got SIGKILL. */
    killedAt: number | undefined;
};

export type EntryProcesses = {
    callerPort: number;
    ip: (entry: number) => string;
    /** Starts an entry, or starts it again; resolves once it has a configuration. */
    start: (entry: number) => Promise<EntryProcess>;
    /** The process of an entry whose start is under way, as soon as there is one. */
    launched: (entry: number) => Promise<EntryProcess>;
    /** The latest process of an entry. */
    current: (entry: number) => EntryProcess;
};

/** Differs between test processes that run side by side. */
const network = `127.0.${10 + process.pid % 240}`;
const entryIp = (entry: number): string => `${network}.${entry + 1}`;

const freePort = async (): Promise<number> => {
    const server = createServer().listen(0, entryIp(0));
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;
    server.close();
    await once(server, "close");
    return port;
};

export const createEntryProcesses = async (
    folder: string,
    store: KeyedStore,
    graceSeconds: number,
): Promise<EntryProcesses> => {
    const [callerPort = 0, readiness, metrics, gossip] = await Promise.all([1, 2, 3, 4].map(freePort));
    const processes = new Map<number, EntryProcess>();
    const launches = new EventEmitter();
    return {
        callerPort,
        ip: entryIp,
        start: async entry => {
            const ip = entryIp(entry);
            const file = join(folder, `entry-${entry}.jsonc`);
            const settings = {
                host: `entry-${entry}`,
                availabilityZone: "medina",
                ip,
                internalPorts: [gossip, gossip],
                metrics: `${ip}:${metrics}`,
                store: { address: store.address },
                callers: `${ip}:${callerPort}`,
                readiness: `${ip}:${readiness}`,
                graceSeconds,
                retryRatio: 0.2,
                retrySlack: 400,
                retryWindowSeconds: 10,
                platformContracts: [],
            };
            await writeFile(file, JSON.stringify(settings));
            const program = startNode(`entry ${entry}`, ["dist/src/programs/ingress.js"], {
                env: { PATH: process.env.PATH, [configurationFileVariable]: file },
            });
            const started = { program, stoppedAt: undefined, killedAt: undefined };
            processes.set(entry, started);
            launches.emit(String(entry), started);
            await program.waitForEvent("configuration in force");
            return started;
        },
        launched: async entry => (await once(launches, String(entry)))[0] as EntryProcess,
        current: entry => processes.get(entry)!,
    };
};
