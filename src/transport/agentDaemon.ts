/**
 * An agent put together: one listener, the gate, the client of its upstream and the followers.
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
import { createServiceGuard } from "../coordination/runAtMostOnce.js";
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
import { startQuarantineRegistry } from "./quarantineStream.js";
import { startRankMapService } from "./rankMapService.js";
import { createServiceClient } from "./serviceClient.js";
import { systemClock } from "./systemClock.js";

export type AgentDaemon = {
    address: string;
    /** Planned stop: refuses new attempts, lets those in progress finish. */
    stop: () => Promise<void>;
};

/** Step time at which a plain service counts as strained; it reports none of its own. */
const serviceStepTimeBoundMilliseconds = 60_000;
/**
 * A draining agent answers on for so long that every entry has polled it. A connection closed earlier could cut a
 * request on its way, and then nobody knows whether it ran.
 */
const preStopDelayMilliseconds = 2_000;
/** An agent without settings admits little, since it doesn't know what its upstream bears. */
const fallbackGateSettings: AdmissionSettings = { capacity: 1, coldCapacity: 1, stepTimeBoundMilliseconds: 75 };

const gateSettings = (settings: SettingsReader, upstream: AgentConfig["upstream"]): AdmissionSettings => {
    if (upstream.kind === "group") {
        return settings.group(upstream.group) ?? fallbackGateSettings;
    }
    const service = settings.service(upstream.service);
    return service === undefined ? fallbackGateSettings : {
        capacity: service.capacity,
        coldCapacity: service.capacity,
        stepTimeBoundMilliseconds: serviceStepTimeBoundMilliseconds,
    };
};

const claimDrainTimeoutMilliseconds = 5_000;
const millisecondsPerMinute = 60_000;

/** Keeps the claims of a plain service; a model's agent has none. */
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
    gate: AdmissionController,
    claimRegistry: ClaimRegistry | undefined,
    quarantine: QuarantineRegistry,
    signal: AbortSignal,
): void => {
    application.get(loadRoute, context => context.json(gate.load()));
    if (config.upstream.kind === "group") {
        const engine = createEngineClient(config.upstream.address);
        const watch = startEngineMonitor({ engine, admissionController: gate, clock: systemClock }, signal);
        const crashGuard = createCrashGuard({
            host: config.host,
            clock: systemClock,
            quarantineRegistry: quarantine,
            heartbeatMilliseconds: heartbeatIntervalMilliseconds,
        });
        const dependencies: ModelAttemptDependencies = {
            host: config.host,
            admissionController: gate,
            engine,
            clock: systemClock,
            heartbeatIntervalMilliseconds: heartbeatIntervalMilliseconds,
            pollEngineNow: watch.pollNow,
        };
        addModelRoute(application, dependencies, crashGuard);
        return;
    }
    invariant(claimRegistry !== undefined, `agent of service "${config.upstream.service}" has no claim keeper`);
    addServiceRoute(application, {
        host: config.host,
        admissionController: gate,
        service: createServiceClient(config.upstream.address),
        runAtMostOnce: createServiceGuard(claimRegistry, systemClock),
    });
};

/** Starts an agent. */
export const startAgent = async (config: AgentConfig, tokens: ControlTokens, logger: Logger): Promise<AgentDaemon> => {
    const shutdown = new AbortController();
    const core = startDaemonCore(config, tokens, logger, shutdown.signal);
    const gate = createAdmissionController({
        clock: systemClock,
        settings: () => ({
            ...gateSettings(core.settings, config.upstream),
            withdrawn: core.isZoneOut(config.availabilityZone) || core.isLeaving(),
        }),
    });
    const application = new Hono<NodeBindings>();
    application.use("/attempts/*", requireToken(tokens.peerToken));
    application.use(loadRoute, requireToken(tokens.peerToken));
    const claimRegistry = startClaimRegistry(config, shutdown.signal);
    const quarantine = startQuarantineRegistry(config, shutdown.signal);
    core.addTopic(quarantine.topic);
    addAttemptRoutes(application, config, gate, claimRegistry, quarantine, shutdown.signal);
    const { upstream } = config;
    const maps = upstream.kind === "group"
        ? startRankMapService(application, config, upstream, core, tokens, shutdown.signal)
        : undefined;
    const describe = () => ({
        role: "agent",
        upstream: config.upstream,
        load: gate.load(),
        claims: claimRegistry?.status(),
        expertMaps: maps?.describe(),
        quarantine: quarantine.suspects(),
    });
    core.addRoutes(application, describe);
    const listener = await listen(application, config.listen);
    core.startRelay(listener.address);
    return {
        address: listener.address,
        stop: async () => {
            gate.drain();
            logger.info("draining", { running: gate.load().running });
            await systemClock.sleep(preStopDelayMilliseconds, shutdown.signal);
            await listener.close();
            await claimRegistry?.waitUntilDrained(claimDrainTimeoutMilliseconds, shutdown.signal);
            shutdown.abort();
        },
    };
};
