/**
 * An agent put together: one listener, the gate, the client of its upstream and the followers.
 */
import { Hono } from "hono";
import { randomUUID } from "node:crypto";
import { type AdmissionGate, createAdmissionGate, type GateSettings } from "../coordination/admissionGate.js";
import { createClaimKeeper } from "../coordination/claimKeeper.js";
import type { ClaimKeeper } from "../coordination/claims.js";
import { createCrashGuard } from "../coordination/crashGuard.js";
import { decodedStream } from "../coordination/decodedStream.js";
import { startEngineWatch } from "../coordination/engineWatch.js";
import type { ModelAttemptTools } from "../coordination/modelAttemptTask.js";
import type { QuarantineKeeper } from "../coordination/quarantineKeeper.js";
import { createServiceGuard } from "../coordination/runAtMostOnce.js";
import { heartbeatIntervalMilliseconds, loadRoute } from "../protocol/attemptProtocol.js";
import { claimStreamName, decodeClaimBatch } from "../protocol/claimRecords.js";
import type { AgentConfig } from "../protocol/daemonConfig.js";
import type { SettingsReader } from "../protocol/settingsReader.js";
import { claimWindowOf } from "../state/claimFold.js";
import { invariant } from "../state/invariant.js";
import { addModelRoute, addServiceRoute } from "./attemptServer.js";
import { startDaemonCore, type Tokens } from "./daemonCore.js";
import { requireToken } from "./daemonRoutes.js";
import { createEngineClient } from "./engineClient.js";
import { listen, type NodeBindings } from "./httpServer.js";
import { createLogClient } from "./logClient.js";
import type { Logger } from "./logger.js";
import { startQuarantineKeeper } from "./quarantineStream.js";
import { startRankMaps } from "./rankMaps.js";
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
const drainNoticeMilliseconds = 2_000;
/** An agent without settings admits little, since it doesn't know what its upstream bears. */
const unknownSettings: GateSettings = { capacity: 1, coldCapacity: 1, stepTimeBoundMilliseconds: 75 };

const gateSettings = (settings: SettingsReader, upstream: AgentConfig["upstream"]): GateSettings => {
    if (upstream.kind === "group") {
        return settings.group(upstream.group) ?? unknownSettings;
    }
    const service = settings.service(upstream.service);
    return service === undefined ? unknownSettings : {
        capacity: service.capacity,
        coldCapacity: service.capacity,
        stepTimeBoundMilliseconds: serviceStepTimeBoundMilliseconds,
    };
};

const drainMilliseconds = 5_000;
const millisecondsPerMinute = 60_000;

/** Keeps the claims of a plain service; a model's agent has none. */
const startClaimKeeper = (config: AgentConfig, signal: AbortSignal): ClaimKeeper | undefined => {
    const { host, platform, upstream, logRetentionMinutes } = config;
    if (upstream.kind !== "service") {
        return undefined;
    }
    const stream = createLogClient<unknown>({ platform, stream: claimStreamName(upstream.service) });
    const keeper = createClaimKeeper({
        stream: decodedStream(stream, decodeClaimBatch),
        clock: systemClock,
        agent: `${host}/${randomUUID()}`,
        window: claimWindowOf(logRetentionMinutes * millisecondsPerMinute),
    });
    void keeper.run(signal);
    return keeper;
};

const addAttemptRoutes = (
    application: Hono<NodeBindings>,
    config: AgentConfig,
    gate: AdmissionGate,
    keeper: ClaimKeeper | undefined,
    quarantine: QuarantineKeeper,
    signal: AbortSignal,
): void => {
    application.get(loadRoute, context => context.json(gate.load()));
    if (config.upstream.kind === "group") {
        const engine = createEngineClient(config.upstream.address);
        const watch = startEngineWatch({ engine, gate, clock: systemClock }, signal);
        const crashGuard = createCrashGuard({
            host: config.host,
            clock: systemClock,
            keeper: quarantine,
            heartbeatMilliseconds: heartbeatIntervalMilliseconds,
        });
        const tools: ModelAttemptTools = {
            host: config.host,
            gate,
            engine,
            clock: systemClock,
            heartbeatMilliseconds: heartbeatIntervalMilliseconds,
            checkEngine: watch.check,
        };
        addModelRoute(application, tools, crashGuard);
        return;
    }
    invariant(keeper !== undefined, `agent of service "${config.upstream.service}" has no claim keeper`);
    addServiceRoute(application, {
        host: config.host,
        gate,
        service: createServiceClient(config.upstream.address),
        guard: createServiceGuard(keeper, systemClock),
    });
};

/** Starts an agent. */
export const startAgent = async (config: AgentConfig, tokens: Tokens, logger: Logger): Promise<AgentDaemon> => {
    const stopping = new AbortController();
    const core = startDaemonCore(config, tokens, logger, stopping.signal);
    const gate = createAdmissionGate({
        clock: systemClock,
        settings: () => ({
            ...gateSettings(core.settings, config.upstream),
            withdrawn: core.isZoneOut(config.availabilityZone) || core.isLeaving(),
        }),
    });
    const application = new Hono<NodeBindings>();
    application.use("/attempts/*", requireToken(tokens.peerToken));
    application.use(loadRoute, requireToken(tokens.peerToken));
    const keeper = startClaimKeeper(config, stopping.signal);
    const quarantine = startQuarantineKeeper(config, stopping.signal);
    core.addTopic(quarantine.topic);
    addAttemptRoutes(application, config, gate, keeper, quarantine, stopping.signal);
    const { upstream } = config;
    const maps = upstream.kind === "group"
        ? startRankMaps(application, config, upstream, core, tokens, stopping.signal)
        : undefined;
    const describe = () => ({
        role: "agent",
        upstream: config.upstream,
        load: gate.load(),
        claims: keeper?.state(),
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
            await systemClock.sleep(drainNoticeMilliseconds, stopping.signal);
            await listener.close();
            await keeper?.drained(drainMilliseconds, stopping.signal);
            stopping.abort();
        },
    };
};
