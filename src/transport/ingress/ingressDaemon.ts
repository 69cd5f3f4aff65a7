/**
 * Assembles an entry, one instance of the ingress: the listeners, request handling, gossip, and the followers of the
 * platform's store, which lists the configuration and the upstreams.
 */
import { randomUUID } from "node:crypto";
import { setMaxListeners } from "node:events";
import { configurationGauges } from "../../coordination/ingress/configurationGauges.js";
import { createCostRouting } from "../../coordination/ingress/costRouting.js";
import { createRevisionOf, followDeployment } from "../../coordination/ingress/deploymentFeed.js";
import { createDeploymentState } from "../../coordination/ingress/deploymentState.js";
import type { PeerEntry } from "../../coordination/ingress/gossipSchedule.js";
import { createIngressLog } from "../../coordination/ingress/ingressLog.js";
import { createPeerStatusTable } from "../../coordination/ingress/peerStatusTable.js";
import { createPlannedStop } from "../../coordination/ingress/plannedStop.js";
import { createRecordPeers } from "../../coordination/ingress/recordPeers.js";
import { createRecoveryWait } from "../../coordination/ingress/recoveryWait.js";
import type { RequestContext, RequestDependencies } from "../../coordination/ingress/requestContext.js";
import { requestTraits } from "../../coordination/ingress/requestTraits.js";
import { createResponseTimes } from "../../coordination/ingress/responseTimes.js";
import { createRetryReserve } from "../../coordination/ingress/retryReserve.js";
import { authorize, chooseService } from "../../coordination/ingress/routeTable.js";
import { createSharedRecords } from "../../coordination/ingress/sharedRecords.js";
import { createStreamAdmission } from "../../coordination/ingress/streamAdmission.js";
import { createStreamScheduler } from "../../coordination/ingress/streamScheduler.js";
import { createStreamTask } from "../../coordination/ingress/streamTask.js";
import { createTopicFreshness } from "../../coordination/ingress/topicFreshness.js";
import { createUnaryScheduler } from "../../coordination/ingress/unaryScheduler.js";
import { createUnaryTask } from "../../coordination/ingress/unaryTask.js";
import { createUpstreamHealth } from "../../coordination/ingress/upstreamHealth.js";
import { createUpstreamPauses } from "../../coordination/ingress/upstreamPauses.js";
import { createUrgencyShares } from "../../coordination/ingress/urgencyShares.js";
import { createMetrics } from "../../coordination/metrics.js";
import { createRetryBudget } from "../../coordination/retryBudget.js";
import type { IngressConfig } from "../../protocol/ingressConfig.js";
import { refusal } from "../../state/errors.js";
import type { Logger } from "../logger.js";
import { clientBounds, processMetricsText } from "../processClients.js";
import { processReads } from "../processReads.js";
import { monotonicClock } from "../systemClock.js";
import { createTimeoutSignal } from "../timeoutSignal.js";
import { startBuffering } from "./buffering.js";
import { type CallerRequest, startCallerServer } from "./callerServer.js";
import { createCheckedSender } from "./checkedSender.js";
import { startCrashTracking } from "./crashTracking.js";
import { drainCallers } from "./drainCallers.js";
import { startEntryGossip } from "./entryGossip.js";
import { startPeerServer } from "./peerServer.js";
import type { PlatformAdapter } from "./platformAdapter.js";
import { startMetricsServer, startReadinessServer } from "./readinessServer.js";
import { createRelayedSource } from "./recordRelay.js";
import { createUpstreamRateLimiter } from "./upstreamRateLimiter.js";

export type IngressDaemon = {
    /** Bound listener addresses as `ip:port`. */
    addresses: { callers: string; readiness: string; metrics: string; };
    /**
     * Finishes running requests while callers move to other entries; resolves when done or when the grace period ends.
     */
    stop: () => Promise<void>;
};

/** Used for callers that state no timeout; the longest timeout of the deployments in use. */
const defaultCallerTimeoutMilliseconds = 8_000;
/** After this long without evidence, a change may be in force that adds the route or key; the shortest such time. */
const configurationStaleMilliseconds = 2_000;
/** Fraction of the permitted retry ratio that is used; the rest covers requests that upstreams reject on their own. */
const usedRetryRatioFraction = 0.85;

export const startIngress = async (
    config: IngressConfig,
    platform: PlatformAdapter,
    logger: Logger,
    signal: AbortSignal,
): Promise<IngressDaemon> => {
    setMaxListeners(0, signal);
    const clock = monotonicClock;
    const log = createIngressLog((event, fields) => logger.info(event, fields), clock);
    const metrics = createMetrics();
    const state = createDeploymentState(clock, log);
    const health = createUpstreamHealth(clock, log);
    const pauses = createUpstreamPauses(clock, log);
    const peerStatuses = createPeerStatusTable(clock, log);
    const retryBudget = createRetryBudget(
        clock,
        () => config.retryRatio * usedRetryRatioFraction,
        createRetryReserve(config, peerStatuses.maximumEntriesSeen),
    );
    const knownEntries = new Map<string, PeerEntry>();
    const upstreamLimits = createUpstreamRateLimiter({
        ...config,
        knownEntries,
        upstreams: state.all,
        clock,
        log,
        metrics,
    });
    const notices = { state, pauses, limits: upstreamLimits.stated };
    const createSend = createCheckedSender(platform.headerAdapter, { log, metrics }, notices, clock);
    const freshness = createTopicFreshness(clock, () => sharedRecords.storeTurn());
    const sharedRecords = createSharedRecords({
        host: config.host,
        availabilityZone: config.availabilityZone,
        store: platform.records,
        peers: createRecordPeers({
            availabilityZone: config.availabilityZone,
            knownEntries,
            peerStatuses,
            createSource: createRelayedSource,
        }),
        freshness,
        revisionOf: createRevisionOf(platform.decode),
        onNews: () => gossip.publishNow(),
        clock,
        log,
        signal,
    });
    const { crashEvidence, crashEvidenceSync, crashObserver, crashEvidenceToGossip } = startCrashTracking({
        host: config.host,
        store: platform.createCrashEvidenceStore(sharedRecords.source),
        entries: peerStatuses.entries,
        onOwnReport: () => gossip.publishNow(),
        clock,
        log,
        metrics,
        signal,
    });
    const minimumVariation = config.costRouting?.minimumVariation;
    const costRouting = createCostRouting({ minimumVariation, state, peerStatuses, clock, log, metrics });
    const { work, costs: requestCosts } = costRouting;
    const dependencies: RequestDependencies = {
        clock,
        log,
        metrics,
        health,
        retryBudget,
        crashObserver,
        crashEvidence,
        upstreamLimits,
        random: Math.random,
        requestCosts,
    };
    const streamScheduler = createStreamScheduler({
        state,
        health,
        pauses,
        upstreamLimits,
        clock,
        peerStatuses,
        queryEngine: async ({ address }, querySignal) =>
            (await platform.engines.report(address, querySignal)).unwrapOr(undefined),
        log,
        random: Math.random,
        signal,
        costRouting,
    });
    const responseTimes = createResponseTimes(clock, Math.random);
    const unaryScheduler = createUnaryScheduler({
        state,
        health,
        responseTimes,
        pauses,
        upstreamLimits,
        availabilityZone: config.availabilityZone,
        runningOnOtherEntries: peerStatuses.runningOn,
        random: Math.random,
        work,
    });
    const urgencyShares = createUrgencyShares({ ...dependencies, peerStatuses, load: streamScheduler.loadOf });
    const recoveryWait = config.waitForRecovery
        ? createRecoveryWait({ clock, random: Math.random, isRecovering: streamScheduler.isRecovering })
        : undefined;
    const admission = createStreamAdmission(streamScheduler, dependencies, { urgencyShares, recoveryWait });
    const runStream = createStreamTask(streamScheduler, admission, dependencies);
    const runUnary = createUnaryTask(unaryScheduler, responseTimes, dependencies);
    const buffering = startBuffering(platform, config, { clock, log, metrics, random: Math.random, signal });
    const incarnation = randomUUID();
    const plannedStop = createPlannedStop(config.graceSeconds * 1_000, clock, log);
    let wasReady = false;

    const runningByUpstream = (): Record<string, number> =>
        Object.fromEntries(
            [...streamScheduler.running(), ...unaryScheduler.running()].filter(([, count]) => count > 0),
        );

    const deploymentFollower = followDeployment({
        source: sharedRecords.source,
        store: sharedRecords.store,
        decode: platform.decode,
        sink: state,
        freshness,
        originOf: topic => sharedRecords.topicStates().find(state => state.topic === topic)?.from,
        clock,
        log,
        random: Math.random,
        signal,
    });
    const gossip = startEntryGossip({
        host: config.host,
        availabilityZone: config.availabilityZone,
        ip: config.ip,
        port: config.internalPorts[0],
        members: platform.createMemberList(sharedRecords.source),
        knownEntries,
        peerStatuses,
        onStatuses: statuses => {
            statuses.flatMap(({ store }) => store ?? []).forEach(freshness.recordPeerStatus);
            statuses.flatMap(status => status.crashEvidence ?? []).forEach(crashEvidence.merge);
            upstreamLimits.recordStatuses(statuses);
            statuses.flatMap(({ leaving }) => Object.entries(leaving)).forEach(([id, bornAt]) =>
                state.markLeaving(id, bornAt, "another entry")
            );
            deploymentFollower.checkPeerPositions();
            admission.retryQueued();
        },
        ownStatusFields: () => ({
            incarnation,
            running: runningByUpstream(),
            demand: urgencyShares.demand.all(),
            work: work.own(),
            limits: Object.fromEntries(streamScheduler.groups().map(({ group, limit }) => [group, limit])),
            store: freshness.readStatus(),
            unserved: sharedRecords.unserved(),
            hasRead: sharedRecords.hasRead(),
            leaving: state.leavingToGossip(),
            statedLimits: upstreamLimits.statementsToGossip(),
            crashEvidence: crashEvidenceToGossip(),
        }),
        clock,
        log,
        signal,
    });

    const isConfigurationStale = (): boolean =>
        clock.now() - (freshness.confirmedAt("operator") ?? -Infinity) > configurationStaleMilliseconds;

    const handle = async (
        { message, body, sink, callerGone, buffers, arrivedAt, isBehindOthers }: CallerRequest,
    ): Promise<void> => {
        const envelope = platform.headerAdapter.readEnvelope(message);
        const table = state.routeTable();
        if (table === undefined || !crashEvidenceSync.isSettled()) {
            log.failure(envelope.requestId, "refused", { code: "not-ready" });
            sink.refuse(refusal("not-ready", [config.host], 1));
            return;
        }
        const authorization = authorize(table, envelope);
        if (authorization.kind !== "allowed") {
            const { version } = table.configuration;
            const code = isConfigurationStale() ? "not-ready" : authorization.kind;
            log.failure(envelope.requestId, "refused", { code, reason: authorization.kind, configuration: version });
            const parameters = code === "unknown-route" ? [envelope.method, envelope.path] : [config.host];
            sink.refuse(refusal(code, parameters, code === "not-ready" ? 1 : undefined));
            return;
        }
        const { route, account, priority } = authorization;
        const service = chooseService(route, Math.random()) ?? "";
        const patienceMilliseconds = envelope.patienceMilliseconds ?? defaultCallerTimeoutMilliseconds;
        const responseDueAt = arrivedAt + Math.min(patienceMilliseconds, route.timeoutMilliseconds);
        const refusedWith = clock.now() >= responseDueAt
            ? refusal("deadline-passed")
            : plannedStop.admits(responseDueAt, isBehindOthers)
            ? undefined
            : refusal("stopping", [config.host], 0);
        if (refusedWith !== undefined) {
            log.failure(envelope.requestId, "refused", { code: refusedWith.code, route: route.name, service });
            metrics.count(`ingress_failures_total{code="${refusedWith.code}"}`);
            sink.refuse(refusedWith);
            return;
        }
        const boundedSignal = createTimeoutSignal(callerGone, responseDueAt - clock.now());
        const endTracking = plannedStop.track(boundedSignal.abort);
        const context: RequestContext = {
            envelope,
            traits: requestTraits(envelope, service, account?.name, body),
            route,
            service,
            clientAccount: account?.name,
            priority,
            urgency: table.urgencyOf(service, route, account),
            arrivedAt,
            callerDeadlineAt: arrivedAt + patienceMilliseconds,
            responseDueAt,
            send: createSend(message, body, buffers),
            sink,
            held: buffers?.held,
            signal: boundedSignal.signal,
            callerGone,
        };
        sink.setDueAt?.(responseDueAt);
        context.cost = route.kind === "streaming" ? requestCosts.streamCost(context) : undefined;
        metrics.count(`ingress_requests_total{kind="${route.kind}"}`);
        try {
            await (route.kind === "streaming" ? runStream : runUnary)(context);
        }
        finally {
            boundedSignal.dispose();
            endTracking(context.hasFailed === true);
        }
        if (callerGone.aborted && buffers?.wasEnded() !== true) {
            metrics.count("ingress_callers_gone_total");
            log.request(envelope.requestId, "caller disconnected", {
                afterMilliseconds: Math.round(clock.now() - arrivedAt),
            });
        }
    };

    /** Whether this entry is cut off from the other zones and all groups, so that the entries of other zones serve better. */
    const isCutOff = (): boolean =>
        peerStatuses.isZoneIsolated(config.availabilityZone) && !streamScheduler.hasRunningGroup();

    const bounds = clientBounds(config);
    const callers = await startCallerServer({
        address: config.callers,
        host: config.host,
        lastCall: plannedStop.lastCall,
        headerAdapter: platform.headerAdapter,
        limits: () => state.routeTable()?.configuration.limits,
        shouldCloseConnections: isCutOff,
        handle,
        onError: error => logger.debug("connection failed", { reason: error.message }),
        buffering,
        openBuffer: processReads.openBuffer,
        bounds: bounds.callers,
    });
    const isReady = (): boolean => {
        const isReadyNow = !plannedStop.hasBegun() && state.routeTable() !== undefined && crashEvidenceSync.isSettled()
            && !isCutOff();
        if (isReadyNow !== wasReady) {
            wasReady = isReadyNow;
            const details = {
                isStopping: plannedStop.hasBegun(),
                configuration: state.routeTable()?.configuration.version,
                entries: peerStatuses.entries(),
            };
            log.stateChange(isReadyNow ? "ready" : "not ready", details);
        }
        return isReadyNow;
    };
    const peerAddress = `${config.ip}:${config.internalPorts[0]}`;
    const peerServices = { records: sharedRecords.cache, upstreamLimits };
    const peerServer = await startPeerServer(peerAddress, peerServices, signal, bounds.peers);
    const readiness = await startReadinessServer(config.readiness, platform.readinessPath, isReady, bounds.control);
    const describeState = (): Record<string, unknown> => ({
        host: config.host,
        availabilityZone: config.availabilityZone,
        configuration: state.routeTable()?.configuration.version,
        topics: sharedRecords.topicStates(),
        entries: peerStatuses.entries(),
        evacuatedZones: state.evacuatedZones(),
        upstreams: state.all(),
        groups: streamScheduler.groups(),
        costs: requestCosts.describe(),
        work: work.own(),
        heldBack: crashEvidence.holds(),
        statedLimits: upstreamLimits.stated.limits(),
        ...(buffering === undefined ? {} : { buffers: buffering.budget.state() }),
    });
    const metricsText = (): string =>
        metrics.text() + configurationGauges(state.routeTable()?.configuration.version, sharedRecords.topicStates())
        + (buffering?.metricsText() ?? "") + processMetricsText();
    const metricsServer = await startMetricsServer(config.metrics, metricsText, describeState, bounds.control);

    return {
        addresses: { callers: callers.address, readiness: readiness.address, metrics: metricsServer.address },
        stop: async () => {
            plannedStop.begin();
            await drainCallers(callers, plannedStop, clock, signal);
            await Promise.all([readiness.close(), metricsServer.close(), peerServer.close()]);
        },
    };
};
