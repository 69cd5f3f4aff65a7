/**
 * An agent put together: one listener, the gate, the client of its upstream and the followers.
 */
import { Hono } from "hono";
import { type AdmissionGate, createAdmissionGate, type GateSettings } from "../coordination/admissionGate.js";
import { startEngineWatch } from "../coordination/engineWatch.js";
import { heartbeatIntervalMilliseconds, loadRoute } from "../protocol/attemptProtocol.js";
import type { AgentConfig } from "../protocol/daemonConfig.js";
import type { SettingsReader } from "../protocol/settingsReader.js";
import { addModelRoute, addServiceRoute } from "./attemptServer.js";
import { startDaemonCore, type Tokens } from "./daemonCore.js";
import { requireToken } from "./daemonRoutes.js";
import { createEngineClient } from "./engineClient.js";
import { listen, type NodeBindings } from "./httpServer.js";
import type { Logger } from "./logger.js";
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

const addAttemptRoutes = (
    application: Hono<NodeBindings>,
    config: AgentConfig,
    gate: AdmissionGate,
    signal: AbortSignal,
): void => {
    application.get(loadRoute, context => context.json(gate.load()));
    if (config.upstream.kind === "group") {
        const engine = createEngineClient(config.upstream.address);
        const watch = startEngineWatch({ engine, gate, clock: systemClock }, signal);
        addModelRoute(application, {
            host: config.host,
            gate,
            engine,
            clock: systemClock,
            heartbeatMilliseconds: heartbeatIntervalMilliseconds,
            checkEngine: watch.check,
        });
        return;
    }
    addServiceRoute(application, {
        host: config.host,
        gate,
        service: createServiceClient(config.upstream.address),
        guard: (attempt, call, signal) => call(signal),
    });
};

/** Starts an agent. */
export const startAgent = async (config: AgentConfig, tokens: Tokens, logger: Logger): Promise<AgentDaemon> => {
    const stopping = new AbortController();
    const core = startDaemonCore(config, tokens, stopping.signal);
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
    addAttemptRoutes(application, config, gate, stopping.signal);
    core.addRoutes(application, () => ({ role: "agent", upstream: config.upstream, load: gate.load() }));
    const listener = await listen(application, config.listen);
    core.startRelay(listener.address);
    return {
        address: listener.address,
        stop: async () => {
            gate.drain();
            logger.info("draining", { running: gate.load().running });
            await systemClock.sleep(drainNoticeMilliseconds, stopping.signal);
            await listener.close();
            stopping.abort();
        },
    };
};
