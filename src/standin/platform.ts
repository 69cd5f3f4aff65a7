/**
 * Stand-in for the platform on one address: log, host list and weight store, with faults set by `POST /faults`.
 */
import type { Clock } from "../state/types.js";
import { HostList, type HostListFaults } from "./hostList.js";
import { createApp, type RunningServer, serveApp } from "./httpServer.js";
import { type LogFaults, PlatformLog } from "./platformLog.js";
import { WeightStore, type WeightStoreFaults } from "./weightStore.js";

export type PlatformOptions = { listen: string; clock: Clock; signal: AbortSignal; };

export type Platform = RunningServer & { log: PlatformLog; hosts: HostList; weights: WeightStore; };

type PlatformFaults = {
    log?: Partial<LogFaults>;
    hosts?: Partial<HostListFaults>;
    weights?: Partial<WeightStoreFaults>;
};

/** Starts the platform on `listen` (`ip:port`); it runs until `signal` aborts. */
export const startPlatform = async ({ listen, clock, signal }: PlatformOptions): Promise<Platform> => {
    const log = new PlatformLog(clock, signal);
    const hosts = new HostList(clock);
    const weights = new WeightStore(clock, signal);
    const app = createApp();
    log.addRoutes(app);
    hosts.addRoutes(app);
    weights.addRoutes(app);
    app.post("/faults", async context => {
        const faults = await context.req.json<PlatformFaults>();
        Object.assign(log.faults, faults.log);
        Object.assign(hosts.faults, faults.hosts);
        Object.assign(weights.faults, faults.weights);
        return context.json({ log: log.faults, hosts: hosts.faults, weights: weights.faults });
    });
    app.get("/metrics", context => context.json({ ...log.metrics, transferredBytes: weights.transferredBytes }));
    const server = await serveApp(app, listen, signal);
    return { ...server, log, hosts, weights };
};
