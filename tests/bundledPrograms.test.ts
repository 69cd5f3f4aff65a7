/**
 * Guards against bundles that lack a module: each program is built as for a deployment, and started with `node` alone from
 * a folder without `node_modules`, with the options of deploy/system.toml and the environment of the platform.
 */
import { expect } from "chai";
import { execFile } from "node:child_process";
import { once } from "node:events";
import { mkdtemp, readFile, rm, writeFile } from "node:fs/promises";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { promisify } from "node:util";
import { request } from "undici";
import { configurationFileVariable, headerNames, paths, topics } from "../platform/names.js";
import { startKeyedStore } from "../src/standin/keyedStore.js";
import { startSealedServer } from "../src/standin/sealedServer.js";
import { createMapRelay } from "../src/transport/experts/mapRelay.js";
import { createRelayedSource } from "../src/transport/ingress/recordRelay.js";
import { standardConfiguration, validApiKey } from "./support/platformDeployment.js";
import { killAllPrograms, type Program, startNode } from "./support/processes.js";

const pollMilliseconds = 20;
/** Addresses of their own, as the daemons and the stand-ins can't share a port on one. */
const entryIp = "127.0.7.1";
const rankIp = "127.0.7.2";
const { signal } = new AbortController();

const freePort = async (ip: string): Promise<number> => {
    const server = createServer().listen(0, ip);
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;
    server.close();
    await once(server, "close");
    return port;
};

const waitUntil = async (condition: () => boolean | Promise<boolean>): Promise<void> => {
    while (!await condition()) {
        await new Promise(resolve => setTimeout(resolve, pollMilliseconds));
    }
};

const statusOf = (url: string): Promise<number> => fetch(url).then(({ status }) => status, () => 0);

describe("the bundled programs", () => {
    let folder: string;
    let deployment: string;

    before(async function() {
        this.timeout(60_000);
        folder = await mkdtemp(join(tmpdir(), "bundles-"));
        await promisify(execFile)(process.execPath, ["scripts/bundle.mjs", "--out", folder]);
        deployment = await readFile("deploy/system.toml", "utf8");
    });

    after(() => rm(folder, { recursive: true }));

    afterEach(killAllPrograms);

    const start = async (program: string, settings: object): Promise<Program> => {
        const command = new RegExp(`^run = "node (.*)target/${program}\\.mjs"$`, "m").exec(deployment);
        const options = command?.[1]?.trim().split(" ") ?? expect.fail(`no command runs the bundle of ${program}`);
        const file = join(folder, `${program}.jsonc`);
        await writeFile(file, `// Settings\n${JSON.stringify(settings)}`);
        return startNode(program, [...options, join(folder, `${program}.mjs`)], {
            cwd: folder,
            env: { PATH: process.env.PATH, HOME: folder, LANG: "C.UTF-8", [configurationFileVariable]: file },
        });
    };

    it("serve requests, records to other entries, readiness and metrics as an entry, and stop", async () => {
        const store = await startKeyedStore();
        const server = await startSealedServer("i-0");
        try {
            store.put(topics.operator, "config", standardConfiguration(1));
            store.put(topics.upstreams, server.id, {
                service: "catalogue",
                address: server.address,
                zone: "medina",
                slots: 8,
                state: "ready",
                seq: 1,
                coldLeftMs: 0,
                born: 1_700_000_000_000,
            });
            const [callers, readiness, metrics, gossip] = await Promise.all([1, 2, 3, 4].map(() => freePort(entryIp)));
            const entry = await start("ingress", {
                host: "entry-1",
                availabilityZone: "medina",
                ip: entryIp,
                internalPorts: [gossip, gossip],
                metrics: `${entryIp}:${metrics}`,
                store: { address: store.address },
                callers: `${entryIp}:${callers}`,
                readiness: `${entryIp}:${readiness}`,
                graceSeconds: 5,
                retryRatio: 0.2,
                retrySlack: 400,
                retryWindowSeconds: 10,
                memoryMegabytes: 202,
                platformContracts: [],
            });
            await entry.waitForEvent("upstream listed");
            await waitUntil(async () => await statusOf(`http://${entryIp}:${readiness}${paths.readiness}`) === 200);

            const response = await request(`http://${entryIp}:${callers}/read/shelf`, {
                headers: {
                    host: "portal.example",
                    [headerNames.requestId]: "request-1",
                    [headerNames.remainingTimeout]: "2000",
                    [headerNames.authorization]: `Bearer ${validApiKey}`,
                },
            });
            expect(response.statusCode, entry.output()).to.equal(200);
            expect(response.headers[headerNames.responseSeal]).to.equal("seal-of-i-0");
            expect(await response.body.text()).to.not.equal("");

            const records = await createRelayedSource(`${entryIp}:${gossip}`).readAll("operator", signal);
            expect(records.map(batch => batch.records.map(({ key }) => key)).unwrapOr([])).to.include("config");

            const counters = await (await fetch(`http://${entryIp}:${metrics}/metrics`)).text();
            expect(counters).to.include(`ingress_requests_total{kind="idempotent"} 1`);

            entry.sendSignal("SIGTERM");
            await entry.waitForEvent("stopped");
            expect(await entry.exited).to.equal(0);
        }
        finally {
            await server.close();
            await store.close();
        }
    });

    it("read the engine's report and hand maps to it as an agent", async () => {
        const store = await startKeyedStore();
        const orders: string[] = [];
        const engine = createServer((incoming, response) => {
            const path = (incoming.url ?? "").split("?")[0];
            if (path === paths.order) {
                incoming.setEncoding("utf8").on("data", (text: string) => orders.push(text));
            }
            incoming.on("end", () =>
                response.end(JSON.stringify(
                    path === paths.report
                        ? { group: { name: "g", epoch: 3, rank: 0, state: "open" }, size: 2, step: 40, map: 1 }
                        : {},
                )));
            incoming.resume();
        }).listen(0, rankIp);
        await once(engine, "listening");
        try {
            const engineAddress = `${rankIp}:${(engine.address() as AddressInfo).port}`;
            const [metrics, gossip = 0] = await Promise.all([1, 2].map(() => freePort(rankIp)));
            const agent = await start("rank", {
                host: "rank-1",
                availabilityZone: "medina",
                ip: rankIp,
                internalPorts: [gossip, gossip],
                metrics: `${rankIp}:${metrics}`,
                store: { address: store.address },
                engine: engineAddress,
                service: "model",
            });
            await agent.waitForEvent("became coordinator");
            const state = await (await fetch(`http://${rankIp}:${metrics}/state`)).json() as Record<string, unknown>;
            expect(state.report).to.include({ group: "g", epoch: 3, ranks: 2 });

            await createMapRelay(gossip)(engineAddress, 3, { kind: "prepare", version: 2, map: [[[0, 1]]] }, signal);
            expect(orders.join("")).to.include(`"op":"prepare"`);
        }
        finally {
            engine.closeAllConnections();
            engine.close();
            await store.close();
        }
    });

    it("report problems of their settings in the same words as without a bundle", async () => {
        const program = await start("rank", { host: "", availabilityZone: "z", ip: 3, metrics: "x" });
        expect(await program.exited).to.equal(2);
        const lines = program.output().trim().split("\n").map(line => line.slice(line.indexOf("field")));
        expect(lines.slice(0, 4)).to.deep.equal([
            `field "host": Too small: expected string to have >=1 characters`,
            `field "ip": Invalid input: expected string, received number`,
            `field "internalPorts": Invalid input: expected tuple, received undefined`,
            `field "metrics": expected an address ip:port`,
        ]);
    });
});
