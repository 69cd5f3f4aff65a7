/**
 * A small deployment on loopback addresses, after the sheet of kuitu-reititin: eight entries in three zones, a plain
 * service and a model service with one server of each per zone, the store, and an operator with one client account.
 */
import { call, ready, sleep } from "./client.mjs";
import { bounds, chooseNetwork, createFleet } from "./processes.mjs";
import { startProxy } from "./proxy.mjs";
import { startServer } from "./server.mjs";
import { startStore } from "./store.mjs";

export const zones = ["savo-kuopio", "savo-varkaus", "savo-iisalmi"];
export const service = "varasto-app";
const modelService = "kuitu-llm";
export const apiKey = "n2ctnfzs989anu6wsjnb";
export const host = "ficu95.example";

const entryZones = [0, 1, 2, 0, 1, 2, 0, 1].map(index => zones[index]);
const startTimeoutMilliseconds = 40_000;

const route = (name, pathPrefix, kind, fields = {}) => ({
    name,
    host,
    pathPrefix,
    kind,
    service,
    timeoutMs: 3_000,
    goalMs: 386,
    priority: 2,
    attempts: 2,
    public: false,
    ...fields,
});

export const configuration = (version, changes = {}) => ({
    version,
    routes: [
        route("stock-read", "/stock/", "idempotent"),
        route("dispatch-booking", "/booking/", "non_idempotent"),
        route("defect-summary", "/summary/", "streaming", {
            service: modelService,
            timeoutMs: 8_000,
            goalMs: 401,
            priority: 1,
            resumable: true,
            gapTargetMs: 120,
        }),
    ],
    services: [{ name: service }, { name: modelService }],
    limits: { maxHeaderBytes: 16_384, maxBodyBytes: 65_536, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
    tenants: [{ name: "hule930", apiKeys: [apiKey], priority: 2 }],
    ...changes,
});

/** Starts the deployment and waits until all entries are ready. */
export const startDeployment = async ({ onRequest, entries: entryCount = entryZones.length }) => {
    const { ip, ports: [frontPort, readyPort, internalPort, serverPort, storePort, proxyPort] } = await chooseNetwork(
        6,
    );
    const fleet = createFleet();
    const store = await startStore(ip(250), storePort);
    const servers = await Promise.all(
        zones.map((zone, index) =>
            startServer({ id: `i-${index}7f3a91c2`, ip: ip(100 + index), port: serverPort, onRequest })
                .then(server => ({ ...server, service, slots: 6, zone, seq: 0, born: Date.now() }))
        ),
    );
    const modelServers = await Promise.all(
        zones.map((zone, index) =>
            startServer({
                id: `i-${index}c2d05e11`,
                ip: ip(110 + index),
                port: serverPort,
                stream: { events: 26, intervalMilliseconds: 25 },
                onRequest,
            }).then(server => ({ ...server, service: modelService, slots: 12, zone, seq: 0, born: Date.now() }))
        ),
    );
    const register = server => {
        server.seq += 1;
        return store.put("keyed.servers", server.id, {
            service: server.service,
            address: server.address,
            zone: server.zone,
            version: 1,
            slots: server.slots,
            state: "ready",
            coldLeftMs: 0,
            seq: server.seq,
            born: server.born,
        });
    };
    store.put("keyed.op", "config", configuration(100));
    [...servers, ...modelServers].forEach(register);
    const storeProxies = await Promise.all(
        entryZones.map((zone, index) => startProxy(ip(151 + index), proxyPort, store.address)),
    );
    const entries = entryZones.slice(0, entryCount).map((zone, index) => ({
        name: `edge-${zone}-${index}`,
        zone,
        address: `${ip(1 + index)}:${frontPort}`,
        ready: `${ip(1 + index)}:${readyPort}`,
        /** The entry reaches the store through it. */
        storeProxy: storeProxies[index],
        settings: {
            nodeName: `edge-${zone}-${index}`,
            zone,
            ip: ip(1 + index),
            internalPorts: [internalPort, internalPort + 15],
            listen: { front: `${ip(1 + index)}:${frontPort}`, ready: `${ip(1 + index)}:${readyPort}` },
            limits: { memoryMb: 350 },
            bounds,
            platform: { address: storeProxies[index].address },
            contracts: ["base", "drain", "config", "retry", "recover", "tenants", "places", "platform"],
        },
    }));
    entries.forEach(({ settings }) => fleet.start("entry", settings));
    const startedAt = performance.now();
    const untilReady = async entry => {
        while (!await ready(entry.ready)) {
            if (performance.now() - startedAt > startTimeoutMilliseconds) {
                fleet.end();
                throw new Error(`entry ${entry.name} did not become ready`);
            }
            await sleep(50);
        }
    };
    await Promise.all(entries.map(untilReady));
    return {
        fleet,
        store,
        servers,
        modelServers,
        entries,
        register,
        readStock: (entry, key = apiKey) =>
            call(entry.address, { host, path: "/stock/2f", key, deadlineMilliseconds: 3_000 }),
        end: () => {
            fleet.end();
            [...servers, ...modelServers].forEach(({ close }) => close());
            storeProxies.forEach(({ close }) => close());
            store.close();
        },
    };
};
