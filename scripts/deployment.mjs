/**
 * Starts a deployment of any size for the bench, as separate processes on loopback: stand-ins, agents and entries.
 *
 * Every zone has the same number of entries, groups and service agents. `startDeployment` resolves once all daemons
 * have the settings and the whole host list, and returns the description that `cyclamengap-bench` reads.
 */
import { spawn } from "node:child_process";
import { createHash, randomUUID } from "node:crypto";
import { mkdtemp, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { createInterface } from "node:readline";

const listen = "127.0.0.1:0";
const operatorToken = "bench-operator";
const peerToken = "bench-peer";
const model = "council";
/** Number of processes that start concurrently; more would only compete for the processor. */
const concurrentStarts = 12;
const readyTimeoutMilliseconds = 60_000;
const stopTimeoutMilliseconds = 3_000;

/** Default size of a deployment; `scripts/measure.mjs` overrides it with the option `--plan`. */
export const defaultPlan = {
    zones: 1,
    entriesPerZone: 1,
    groupsPerZone: 1,
    ranks: 4,
    serviceAgentsPerZone: 1,
    clientAccounts: 1,
    /** Additional command-line options of each engine stand-in. */
    engine: ["--starts-warm"],
    /** Additional settings of each group; the model and the ranks are always set. */
    group: {},
    /** Additional settings nodes, by path. */
    nodes: {},
    seedsPerDaemon: 2,
    /** Command-line options of Node.js for the daemons, such as `--cpu-prof`. */
    node: [],
};

const startProgram = (name, parameters, children, nodeOptions = []) => {
    const file = join("dist/src/programs", `${name}.js`);
    const child = spawn(process.execPath, [...nodeOptions, file, ...parameters], {
        env: { ...process.env, CYCLAMENGAP_OPERATOR_TOKEN: operatorToken, CYCLAMENGAP_PEER_TOKEN: peerToken },
        stdio: ["ignore", "pipe", "inherit"],
    });
    children.push(child);
    return new Promise((resolve, reject) => {
        child.once("exit", status => reject(new Error(`${name} exited with status ${status} before it was listening`)));
        createInterface({ input: child.stdout }).on("line", line => {
            const event = line.startsWith("{") ? JSON.parse(line) : {};
            if (event.event === "listening") {
                resolve({ pid: child.pid, ...event });
            }
        });
    });
};

const sendJson = async (url, body, method = "POST") => {
    const response = await fetch(url, {
        method,
        headers: { "content-type": "application/json" },
        body: JSON.stringify(body),
    });
    if (!response.ok) {
        throw new Error(`${method} ${url} failed with HTTP status ${response.status}`);
    }
    return response.json();
};

/** Calls `callback` on all items in batches of `concurrentStarts`; the results have the order of the items. */
const mapInBatches = async (items, callback) => {
    const results = [];
    for (let start = 0; start < items.length; start += concurrentStarts) {
        results.push(...await Promise.all(items.slice(start, start + concurrentStarts).map(callback)));
    }
    return results;
};

const accountKey = index => `bench-key-${index}`;

const settingsNodes = (plan, groups) => {
    const nodes = { "services/dispatch": {} };
    for (const { group } of groups) {
        nodes[`groups/${group}`] = { model, ranks: plan.ranks, ...plan.group };
    }
    for (let index = 0; index < plan.clientAccounts; index += 1) {
        const digest = createHash("sha256").update(accountKey(index)).digest("hex");
        nodes[`clientAccounts/account-${index}`] = { apiKeyDigests: [digest], priority: "interactive" };
    }
    return { ...nodes, ...plan.nodes };
};

/** The `serves` field of an agent's host record. */
const servesOf = ({ kind, group, rank, service } = {}) => kind === "group" ? { kind, group, rank } : { kind, service };

const waitUntilReady = async (daemons, offset, hosts) => {
    const deadline = Date.now() + readyTimeoutMilliseconds;
    for (const { control, host } of daemons) {
        for (;;) {
            const headers = { authorization: `Bearer ${operatorToken}` };
            const dump = await (await fetch(`http://${control}/state`, { headers })).json();
            const knownHosts = dump.hostList?.hosts?.length ?? dump.hostList?.count ?? hosts;
            if ((dump.settings?.offset ?? -1) >= offset && knownHosts >= hosts) {
                break;
            }
            if (Date.now() > deadline) {
                throw new Error(
                    `daemon "${host}" was not ready in time; its state: ${JSON.stringify(dump).slice(0, 500)}`,
                );
            }
            await new Promise(resolve => setTimeout(resolve, 100));
        }
    }
};

/**
 * Starts all processes of a deployment. Returns its description, the file that contains it, the child processes and a
 * function that stops them.
 */
export const startDeployment = async (overrides = {}) => {
    const plan = { ...defaultPlan, ...overrides };
    const children = [];
    const folder = await mkdtemp(join(tmpdir(), "bench-"));
    const writeConfig = async config => {
        const file = join(folder, `${randomUUID()}.jsonc`);
        await writeFile(file, JSON.stringify(config));
        return file;
    };
    const stop = async () => {
        const exits = children.map(child =>
            child.exitCode === null && child.signalCode === null
                ? new Promise(resolve => child.once("exit", resolve))
                : undefined
        );
        children.forEach(child => child.kill("SIGTERM"));
        const killTimer = setTimeout(() => children.forEach(child => child.kill("SIGKILL")), stopTimeoutMilliseconds);
        await Promise.all(exits);
        clearTimeout(killTimer);
    };
    try {
        const zones = [...Array(plan.zones).keys()].map(index => `zone-${index + 1}`);
        const { address: platform, pid: platformPid } = await startProgram("standin", ["platform"], children);
        const groups = zones.flatMap(availabilityZone =>
            [...Array(plan.groupsPerZone).keys()].map(index => ({
                group: `${availabilityZone}-group-${index + 1}`,
                availabilityZone,
            }))
        );
        const engines = await mapInBatches(groups, async group => {
            const parameters = ["engine", "--ranks", String(plan.ranks), ...plan.engine];
            const { pid, addresses } = await startProgram("standin", parameters, children);
            return { ...group, pid, addresses };
        });
        const services = await mapInBatches(plan.serviceAgentsPerZone > 0 ? [zones[0]] : [], async availabilityZone => {
            const { pid, address } = await startProgram("standin", ["service"], children);
            return { service: "dispatch", availabilityZone, pid, address };
        });
        const nodes = settingsNodes(plan, groups);
        const edits = Object.entries(nodes).map(([path, value]) => ({ path, base: -1, value }));
        const { offset } = await sendJson(`http://${platform}/log/settings/records`, {
            kind: "change",
            id: randomUUID(),
            author: "bench",
            comment: "first settings",
            edits,
        });

        const url = `http://${platform}`;
        const agentConfigs = [
            ...engines.flatMap(({ group, availabilityZone, addresses }) =>
                addresses.map((address, rank) => ({
                    host: `${group}-rank-${rank}`,
                    availabilityZone,
                    upstream: { kind: "group", group, rank, address },
                }))
            ),
            ...services.flatMap(({ service, address }) =>
                zones.flatMap(availabilityZone =>
                    [...Array(plan.serviceAgentsPerZone).keys()].map(index => ({
                        host: `${availabilityZone}-${service}-${index + 1}`,
                        availabilityZone,
                        upstream: { kind: "service", service, address },
                    }))
                )
            ),
        ];
        const entryConfigs = zones.flatMap(availabilityZone =>
            [...Array(plan.entriesPerZone).keys()].map(index => ({
                host: `${availabilityZone}-entry-${index + 1}`,
                availabilityZone,
            }))
        );
        const started = [];
        const seeds = () => started.slice(0, plan.seedsPerDaemon).map(({ control }) => control);
        const startDaemon = async (program, config) => {
            const file = await writeConfig({ platform: url, listen, logLevel: "info", seeds: seeds(), ...config });
            const { pid, address, control = address } = await startProgram(
                program,
                ["--config", file],
                children,
                plan.node,
            );
            const { host, availabilityZone, upstream } = config;
            const serves = servesOf(upstream);
            const role = upstream === undefined ? { role: "entry" } : { role: "upstream", serves };
            const record = { host, availabilityZone, state: "live", address: control, ...role };
            await sendJson(`${url}/hosts/${host}`, record, "PUT");
            const daemon = { host, availabilityZone, pid, address, control };
            started.push(daemon);
            return daemon;
        };
        const entries = await mapInBatches(
            entryConfigs,
            config => startDaemon("entry", { ...config, control: listen }),
        );
        const agents = await mapInBatches(agentConfigs, config => startDaemon("agent", config));
        await waitUntilReady([...entries, ...agents], offset, entries.length + agents.length);
        const clientAccounts = [...Array(plan.clientAccounts).keys()].map(index => ({
            name: `account-${index}`,
            key: accountKey(index),
        }));
        const description = {
            platform,
            platformPid,
            model,
            operatorToken,
            peerToken,
            clientAccounts: clientAccounts.slice(0, 100),
            entries,
            agents,
            engines,
            services,
        };
        const file = join(folder, "deployment.json");
        await writeFile(file, JSON.stringify(description));
        return { description, file, stop, children };
    }
    catch (error) {
        await stop();
        throw error;
    }
};
