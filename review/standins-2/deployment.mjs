/**
 * Starts the project's programs with the commands of the deploy file, and stand-in servers, each as a process of its own; ends
 * all of them by their ids.
 */
import { fork, spawn } from "node:child_process";
import { mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";

const here = dirname(fileURLToPath(import.meta.url));
export const repository = join(here, "..", "..");

/** Bounds and limits as on the platform's small installations. */
export const bounds = {
    drainMs: 2_000,
    graceS: 8,
    retryBudget: 0.2,
    retrySlack: 94,
    budgetWindowS: 10,
    stableWindowMs: 3_000,
};
export const heartbeatMilliseconds = 1_200;

/** A case that takes longer is ended. */
const longestRunMilliseconds = 115_000;
const couldNotRunStatus = 2;

export const sleep = milliseconds =>
    new Promise(resolve => {
        setTimeout(resolve, milliseconds);
    });

/** Below the range from which the system takes the ports of outgoing connections, so that none takes it before it is used. */
const portRange = { first: 20_000, count: 12_000 };

const isPortFree = port =>
    new Promise(resolve => {
        const probe = createServer();
        probe.once("error", () => resolve(false));
        probe.listen(port, "127.0.0.1", () => probe.close(() => resolve(true)));
    });

export const freePort = async () => {
    for (;;) {
        const port = portRange.first + Math.floor(Math.random() * portRange.count);
        if (await isPortFree(port)) {
            return port;
        }
    }
};

/** The command of a role in the deploy file. */
const commandOf = role => {
    const text = readFileSync(join(repository, "deploy", "system.toml"), "utf8");
    const section = text.slice(text.indexOf(`[roles.${role}]`));
    return /run = "([^"]+)"/.exec(section)[1].split(" ");
};

const environment = file => ({
    PATH: process.env.PATH,
    HOME: process.env.HOME,
    LANG: process.env.LANG ?? "C.UTF-8",
    CYCLAMENGAP_BOOT: file,
});

export const createDeployment = () => {
    const folder = mkdtempSync(join(tmpdir(), "cyclamengap-review-"));
    const children = new Set();

    const killAll = () => [...children].forEach(child => child.kill("SIGKILL"));
    const abandon = () => {
        killAll();
        rmSync(folder, { recursive: true, force: true });
        process.exit(couldNotRunStatus);
    };
    process.once("SIGTERM", abandon);
    process.once("SIGINT", abandon);
    setTimeout(abandon, longestRunMilliseconds).unref();

    const track = child => {
        children.add(child);
        child.once("exit", () => children.delete(child));
        return child;
    };

    const startProgram = (role, name, settings) => {
        const file = join(folder, `${name}.jsonc`);
        writeFileSync(file, JSON.stringify(settings));
        const log = openSync(join(folder, `${name}.log`), "a");
        const [program, ...rest] = commandOf(role);
        return track(spawn(program === "node" ? process.execPath : program, rest, {
            cwd: repository,
            env: environment(file),
            stdio: ["ignore", log, log],
        }));
    };

    return {
        folder,
        /** Starts an entry; resolves with the addresses and the process once it says that it is ready. */
        startEntry: async (name, zone, store) => {
            const [callers, readiness, metrics, internal] = await Promise.all([1, 2, 3, 4].map(freePort));
            const settings = {
                host: name,
                availabilityZone: zone,
                ip: "127.0.0.1",
                internalPorts: [internal, internal + 1],
                metrics: `127.0.0.1:${metrics}`,
                store: { address: store },
                callers: `127.0.0.1:${callers}`,
                readiness: `127.0.0.1:${readiness}`,
                graceSeconds: bounds.graceS,
                retryRatio: bounds.retryBudget,
                retrySlack: bounds.retrySlack,
                retryWindowSeconds: bounds.budgetWindowS,
                memoryMegabytes: 350,
                platformContracts: [
                    "base",
                    "drain",
                    "config",
                    "cost",
                    "retry",
                    "recover",
                    "engine",
                    "stream",
                    "tenants",
                    "places",
                    "platform",
                    "experts",
                ],
            };
            const child = startProgram("entry", name, settings);
            for (let attempt = 0; attempt < 100; attempt += 1) {
                const status = await fetch(`http://127.0.0.1:${readiness}/cyclamengap/readyz`).then(
                    response => response.status,
                    () => 0,
                );
                if (status === 200) {
                    return { name, address: `127.0.0.1:${callers}`, child };
                }
                await sleep(100);
            }
            throw new Error(`${name} was not ready in time`);
        },
        startRank: (name, settings) => startProgram("rank", name, settings),
        /** Starts a server; `onMessage` gets what it reports. */
        startServer: (options, onMessage) => {
            const child = track(fork(join(here, "server.mjs"), [JSON.stringify(options)], {
                stdio: ["ignore", "ignore", "inherit", "ipc"],
            }));
            child.on("message", onMessage);
            return child;
        },
        logOf: name => readFileSync(join(folder, `${name}.log`), "utf8"),
        stop: async () => {
            const running = [...children];
            killAll();
            await Promise.all(
                running.map(child =>
                    new Promise(resolve => child.exitCode === null ? child.once("exit", resolve) : resolve())
                ),
            );
            rmSync(folder, { recursive: true, force: true });
        },
    };
};
