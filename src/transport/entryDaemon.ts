/**
 * Assembles an entry: its two listeners, the settings and host followers, and the tasks that serve requests.
 */
import { Hono } from "hono";
import { v7 as uuid } from "uuid";
import type { AttemptEvent } from "../coordination/completionTask.js";
import { createEntryRouter } from "../coordination/entryRouter.js";
import { createEntryTasks } from "../coordination/entryTasks.js";
import type { Metrics } from "../coordination/metrics.js";
import { createRetryBudget } from "../coordination/retryBudget.js";
import { createUpstreamDirectory } from "../coordination/upstreamDirectory.js";
import { startUpstreamMonitor } from "../coordination/upstreamMonitor.js";
import type { EntryConfig } from "../protocol/daemonConfig.js";
import type { SettingsReader } from "../protocol/settingsReader.js";
import { startAccountLimiter } from "./accountLimiter.js";
import { createAttemptClient } from "./attemptClient.js";
import type { ResponseEvent } from "./callerChecks.js";
import { createCallerApplication } from "./callerServer.js";
import { type ControlTokens, startDaemonCore } from "./daemonCore.js";
import { listen, type NodeBindings } from "./httpServer.js";
import { createLoadProbe } from "./loadProbe.js";
import type { Logger } from "./logger.js";
import { assumedCallerBounds } from "./processClients.js";
import { startQuarantineRegistry } from "./quarantineStream.js";
import { systemClock } from "./systemClock.js";

export type EntryDaemon = {
    /** Address for callers, `ip:port`. */
    address: string;
    /** Address for peers and operators, `ip:port`. */
    control: string;
    /** Graceful shutdown: stops accepting requests and waits for running ones to finish. */
    stop: () => Promise<void>;
};

const recordResponse = (metrics: Metrics, logger: Logger) => (event: ResponseEvent): void => {
    const elapsedMilliseconds = systemClock.now() - event.startedAt;
    metrics.count(`requests_${event.outcome}`);
    metrics.observe("request", elapsedMilliseconds);
    if (event.firstTokenAt !== undefined) {
        metrics.observe("first_token", event.firstTokenAt - event.startedAt);
    }
    metrics.count("tokens", event.tokens ?? 0);
    const { requestId, clientAccount, outcome, code, tokens } = event;
    logger.debug("answered", { requestId, clientAccount, outcome, code, tokens, elapsedMilliseconds });
};

const recordAttempt = (metrics: Metrics, logger: Logger) => (event: AttemptEvent): void => {
    metrics.count(`attempts_${event.outcome}`);
    const log = event.outcome === "complete" ? logger.debug : logger.info;
    log("attempt", event);
};

/**
 * Time for which a stopping entry still serves while its failing health check takes it out of the platform's balancer.
 */
const preStopDelayMilliseconds = 2_000;
const defaultRetryBudgetRatio = 0.1;
const defaultQueueLimit = 256;

/** Queue limit of `target` (`groups/<name>` or `services/<name>`) from its settings. */
const queueLimit = (settings: SettingsReader, target: string): number => {
    const [kind = "", ...name] = target.split("/");
    const readers: Record<string, typeof settings.group | typeof settings.service> = {
        groups: settings.group,
        services: settings.service,
    };
    return readers[kind]?.(name.join("/"))?.queueLimit ?? defaultQueueLimit;
};

/** Starts an entry; it serves as soon as it listens, with the settings read so far. */
export const startEntry = async (config: EntryConfig, tokens: ControlTokens, logger: Logger): Promise<EntryDaemon> => {
    const shutdown = new AbortController();
    const core = startDaemonCore(config, tokens, logger, shutdown.signal);
    const { settings, hostList, metrics } = core;
    // An entry runs no attempts itself, but relays crash reports between agents.
    core.addTopic(startQuarantineRegistry(config, shutdown.signal).topic);
    const directory = createUpstreamDirectory({
        clock: systemClock,
        host: config.host,
        availabilityZone: config.availabilityZone,
        isZoneOutOfService: core.isZoneOut,
    });
    hostList.onChange(({ version, hosts }) => directory.replaceHosts(version, hosts));
    const probe = createLoadProbe(tokens.peerToken);
    startUpstreamMonitor({ directory, probe, clock: systemClock, random: Math.random }, shutdown.signal);
    const router = createEntryRouter({
        directory,
        clock: systemClock,
        random: Math.random,
        groupsOfModel: settings.groupsOfModel,
        queueLimit: target => queueLimit(settings, target),
    });
    const retryBudget = createRetryBudget(
        systemClock,
        () => settings.root()?.retryBudgetRatio ?? defaultRetryBudgetRatio,
    );
    const accountLimiter = startAccountLimiter(config, core, tokens.peerToken, shutdown.signal);
    const tasks = createEntryTasks({
        dependencies: {
            chooser: router,
            attemptClient: createAttemptClient(tokens.peerToken),
            clock: systemClock,
            newAttemptId: uuid,
            onAttempt: recordAttempt(metrics, logger),
        },
        rateLimiter: accountLimiter.limits,
        retryBudget,
    });
    let isStopping = false;
    const callers = createCallerApplication({
        host: config.host,
        settings,
        now: systemClock.now,
        newId: uuid,
        isStopping: () => isStopping,
        ...tasks,
        onResponse: recordResponse(metrics, logger),
    });
    const control = new Hono<NodeBindings>();
    core.addRoutes(control, () => ({
        role: "entry",
        upstreams: directory.views(),
        queues: router.queueLengths(),
        accountShares: accountLimiter.shares.records(),
    }));
    const callerListener = await listen(callers, config.listen, undefined, assumedCallerBounds);
    const controlListener = await listen(control, config.control);
    core.joinGossip(controlListener.address);
    return {
        address: callerListener.address,
        control: controlListener.address,
        stop: async () => {
            isStopping = true;
            await systemClock.sleep(preStopDelayMilliseconds, shutdown.signal);
            await callerListener.close();
            shutdown.abort();
            await controlListener.close();
        },
    };
};
