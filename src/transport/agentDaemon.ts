/**
 * Assembles an agent: its listener, admission control, the client of its upstream, and the settings and host followers.
 */
import { Hono } from "hono";
import { randomUUID } from "node:crypto";
import {
    type AdmissionController,
    type AdmissionSettings,
    createAdmissionController,
} from "../coordination/admissionController.js";
import { createClaimRegistry } from "../coordination/claimRegistry.js";
import type { ClaimRegistry } from "../coordination/claims.js";
import { createCrashGuard } from "../coordination/crashGuard.js";
import { decodedStream } from "../coordination/decodedStream.js";
import { startEngineMonitor } from "../coordination/engineMonitor.js";
import type { ModelAttemptDependencies } from "../coordination/modelAttemptTask.js";
import type { QuarantineRegistry } from "../coordination/quarantineRegistry.js";
import { createAtMostOnceRunner } from "../coordination/runAtMostOnce.js";
import { heartbeatIntervalMilliseconds, loadRoute } from "../protocol/attemptProtocol.js";
import { claimStreamName, decodeClaimBatch } from "../protocol/claimRecords.js";
import type { AgentConfig } from "../protocol/daemonConfig.js";
import type { SettingsReader } from "../protocol/settingsReader.js";
import { claimWindowOf } from "../state/claimStateMachine.js";
import { invariant } from "../state/invariant.js";
import { addModelRoute, addServiceRoute } from "./attemptServer.js";
import { type ControlTokens, startDaemonCore } from "./daemonCore.js";
import { createEngineClient } from "./engineClient.js";
import { listen, type NodeBindings } from "./httpServer.js";
import { createLogClient } from "./logClient.js";
import type { Logger } from "./logger.js";
import { requireToken } from "./operatorRoutes.js";
import { assumedCallerBounds } from "./processClients.js";
import { startQuarantineRegistry } from "./quarantineStream.js";
import { startRankMapService } from "./rankMapService.js";
import { createServiceClient } from "./serviceClient.js";
import { systemClock } from "./systemClock.js";

export type AgentDaemon = {
    address: string;
    /** Graceful shutdown: refuses new attempts and waits for running ones to finish. */
    stop: () => Promise<void>;
};

/** Step time bound for plain services, which report no step time of their own. */
const serviceStepTimeBoundMilliseconds = 60_000;
/**
 * Time for which a draining agent still responds, so that every entry polls its state. Closing the listener earlier
 * could break a connection with a request in flight, whose outcome would then be unknown.
 */
const preStopDelayMilliseconds = 2_000;
/** Used until the settings are read, because the capacity of the upstream is unknown until then. */
const fallbackAdmissionSettings: AdmissionSettings = { capacity: 1, coldCapacity: 1, stepTimeBoundMilliseconds: 75 };

const admissionSettings = (settings: SettingsReader, upstream: AgentConfig["upstream"]): AdmissionSettings => {
    if (upstream.kind === "group") {
        return settings.group(upstream.group) ?? fallbackAdmissionSettings;
    }
    const service = settings.service(upstream.service);
    return service === undefined ? fallbackAdmissionSettings : {
        capacity: service.capacity,
        coldCapacity: service.capacity,
        stepTimeBoundMilliseconds: serviceStepTimeBoundMilliseconds,
    };
};

const claimDrainTimeoutMilliseconds = 5_000;
const millisecondsPerMinute = 60_000;

/** Starts the claim registry of a plain service; agents of models have none. */
const startClaimRegistry = (config: AgentConfig, signal: AbortSignal): ClaimRegistry | undefined => {
    const { host, platform, upstream, logRetentionMinutes } = config;
    if (upstream.kind !== "service") {
        return undefined;
    }
    const stream = createLogClient<unknown>({ platform, stream: claimStreamName(upstream.service) });
    const claimRegistry = createClaimRegistry({
        stream: decodedStream(stream, decodeClaimBatch),
        clock: systemClock,
        agent: `${host}/${randomUUID()}`,
        window: claimWindowOf(logRetentionMinutes * millisecondsPerMinute),
    });
    void claimRegistry.run(signal);
    return claimRegistry;
};

const addAttemptRoutes = (
    application: Hono<NodeBindings>,
    config: AgentConfig,
    admissionController: AdmissionController,
    claimRegistry: ClaimRegistry | undefined,
    quarantineRegistry: QuarantineRegistry,
    signal: AbortSignal,
): void => {
    application.get(loadRoute, context => context.json(admissionController.load()));
    if (config.upstream.kind === "group") {
        const engine = createEngineClient(config.upstream.address);
        const engineMonitor = startEngineMonitor({
            engine,
            admissionController,
            clock: systemClock,
        }, signal);
        const crashGuard = createCrashGuard({
            host: config.host,
            clock: systemClock,
            quarantineRegistry,
            heartbeatIntervalMilliseconds,
        });
        const dependencies: ModelAttemptDependencies = {
            host: config.host,
            admissionController,
            engine,
            clock: systemClock,
            heartbeatIntervalMilliseconds,
            pollEngineNow: engineMonitor.pollNow,
        };
        addModelRoute(application, dependencies, crashGuard);
        return;
    }
    invariant(claimRegistry !== undefined, `agent of service "${config.upstream.service}" has no claim registry`);
    addServiceRoute(application, {
        host: config.host,
        admissionController,
        service: createServiceClient(config.upstream.address),
        runAtMostOnce: createAtMostOnceRunner(claimRegistry, systemClock),
    });
};

export const startAgent = async (config: AgentConfig, tokens: ControlTokens, logger: Logger): Promise<AgentDaemon> => {
    const shutdown = new AbortController();
    const core = startDaemonCore(config, tokens, logger, shutdown.signal);
    const admissionController = createAdmissionController({
        clock: systemClock,
        settings: () => ({
            ...admissionSettings(core.settings, config.upstream),
            withdrawn: core.isZoneOut(config.availabilityZone) || core.isLeaving(),
        }),
    });
    const application = new Hono<NodeBindings>();
    application.use("/attempts/*", requireToken(tokens.peerToken));
    application.use(loadRoute, requireToken(tokens.peerToken));
    const claimRegistry = startClaimRegistry(config, shutdown.signal);
    const quarantineRegistry = startQuarantineRegistry(config, shutdown.signal);
    core.addTopic(quarantineRegistry.topic);
    addAttemptRoutes(application, config, admissionController, claimRegistry, quarantineRegistry, shutdown.signal);
    const { upstream } = config;
    const rankMapService = upstream.kind === "group"
        ? startRankMapService(application, config, upstream, core, tokens, shutdown.signal)
        : undefined;
    const describe = () => ({
        role: "agent",
        upstream: config.upstream,
        load: admissionController.load(),
        claims: claimRegistry?.status(),
        expertMaps: rankMapService?.describe(),
        quarantine: quarantineRegistry.suspects(),
    });
    core.addRoutes(application, describe);
    const listener = await listen(application, config.listen, undefined, assumedCallerBounds);
    core.joinGossip(listener.address);
    return {
        address: listener.address,
        stop: async () => {
            admissionController.drain();
            logger.info("draining", { running: admissionController.load().running });
            await systemClock.sleep(preStopDelayMilliseconds, shutdown.signal);
            await listener.close();
            await claimRegistry?.waitUntilDrained(claimDrainTimeoutMilliseconds, shutdown.signal);
            shutdown.abort();
        },
    };
};
