/**
 * An entry on a platform whose store lists configuration and upstreams: listener, decisions and followers in one place.
 */
import { randomUUID } from "node:crypto";
import { setMaxListeners } from "node:events";
import type { RankEngines } from "../../coordination/experts/rankEngine.js";
import { type DeploymentFeed, followDeployment } from "../../coordination/ingress/deploymentFeed.js";
import { createDeploymentState } from "../../coordination/ingress/deploymentState.js";
import { createIngressLog } from "../../coordination/ingress/ingressLog.js";
import type { MemberList } from "../../coordination/ingress/memberList.js";
import { createPeerLoad } from "../../coordination/ingress/peerLoad.js";
import { createPlainPlaces } from "../../coordination/ingress/plainPlaces.js";
import { createPlainTask } from "../../coordination/ingress/plainTask.js";
import type { RequestContext, SharedParts } from "../../coordination/ingress/requestContext.js";
import type { RequestHeads } from "../../coordination/ingress/requestHeads.js";
import { createRetryReserve } from "../../coordination/ingress/retryReserve.js";
import { authorize, chooseService } from "../../coordination/ingress/routeTable.js";
import { createStoreWatch } from "../../coordination/ingress/storeWatch.js";
import { createStreamAdmission } from "../../coordination/ingress/streamAdmission.js";
import { createStreamPlaces } from "../../coordination/ingress/streamPlaces.js";
import { createStreamTask } from "../../coordination/ingress/streamTask.js";
import { createUpstreamHealth } from "../../coordination/ingress/upstreamHealth.js";
import { createMetrics } from "../../coordination/metrics.js";
import { createRetryBudget } from "../../coordination/retryBudget.js";
import type { IngressConfig } from "../../protocol/ingressConfig.js";
import { refusal } from "../../state/errors.js";
import { boundSignal } from "../boundedSignal.js";
import type { Logger } from "../logger.js";
import { steadyClock } from "../systemClock.js";
import { type CallerRequest, startCallerServer } from "./callerServer.js";
import { startEntryGossip } from "./entryGossip.js";
import { startMetricsServer, startReadinessServer } from "./readinessServer.js";
import { createSender } from "./upstreamSender.js";

/** What knows the names and calls of a platform. */
export type PlatformAdapter = {
    heads: RequestHeads;
    feed: DeploymentFeed;
    /** The entries of this deployment. */
    members: MemberList;
    engines: Pick<RankEngines, "report">;
    readinessPath: string;
};

export type IngressDaemon = {
    /** Where it listens, as `ip:port`. */
    addresses: { callers: string; readiness: string; metrics: string; };
    /** Serves what it has and lets callers go elsewhere; resolves when nothing is left or the grace is over. */
    stop: () => Promise<void>;
};

/** A caller that states no patience waits this long, the longest time limit of the sites. */
const defaultPatienceMilliseconds = 8_000;
/** Without the store for this long, an unknown route or key may be one that was added meanwhile. */
const staleMilliseconds = 3_000;
/** The platform's balancer takes a daemon out after two misses, one a second, and connections under way follow. */
const idleCloseMilliseconds = 2_600;
/** Left of the grace at the end, to close connections before the kill. */
const graceReserveMilliseconds = 300;
const drainCheckMilliseconds = 50;
/** Part of the allowed ratio that this entry uses; the rest covers requests that upstreams reject by themselves. */
const retryRatioShare = 0.85;

export const startIngress = async (
    config: IngressConfig,
    platform: PlatformAdapter,
    logger: Logger,
    signal: AbortSignal,
): Promise<IngressDaemon> => {
    setMaxListeners(0, signal);
    const clock = steadyClock;
    const log = createIngressLog((event, fields) => logger.info(event, fields), clock);
    const metrics = createMetrics();
    const state = createDeploymentState(clock, log);
    const health = createUpstreamHealth(clock, log);
    const peers = createPeerLoad(clock, log);
    const retryBudget = createRetryBudget(
        clock,
        () => config.retryRatio * retryRatioShare,
        createRetryReserve(config, peers.mostEntries),
    );
    const shared: SharedParts = { clock, log, metrics, health, retryBudget, random: Math.random };
    const streamPlaces = createStreamPlaces({
        state,
        health,
        clock,
        peers,
        askEngine: async ({ address }, askSignal) =>
            (await platform.engines.report(address, askSignal)).unwrapOr(undefined),
        log,
        random: Math.random,
        signal,
    });
    const plainPlaces = createPlainPlaces(state, health, config.availabilityZone, peers.runningOn);
    const admission = createStreamAdmission(streamPlaces, shared);
    const runStream = createStreamTask(streamPlaces, admission, shared);
    const runPlain = createPlainTask(plainPlaces, shared);
    const incarnation = randomUUID();
    let isStopping = false;
    let wasReady = false;

    const runningByUpstream = (): Record<string, number> =>
        Object.fromEntries([...streamPlaces.running(), ...plainPlaces.running()].filter(([, count]) => count > 0));

    const storeWatch = createStoreWatch(clock, () => peers.turnOf(config.host));
    const follower = followDeployment({
        feed: platform.feed,
        sink: state,
        watch: storeWatch,
        onContact: () => spread.tellNow(),
        clock,
        log,
        random: Math.random,
        signal,
    });
    const spread = startEntryGossip({
        host: config.host,
        availabilityZone: config.availabilityZone,
        ip: config.ip,
        port: config.internalPorts[0],
        members: platform.members,
        peers,
        onNews: heard => {
            heard.flatMap(({ store }) => store ?? []).forEach(storeWatch.hear);
            follower.newsHeard();
            admission.placeFreed();
        },
        news: () => ({
            incarnation,
            running: runningByUpstream(),
            limits: Object.fromEntries(streamPlaces.groups().map(({ group, limit }) => [group, limit])),
            store: storeWatch.news(),
        }),
        clock,
        log,
        signal,
    });

    const isStale = (): boolean => clock.now() - (storeWatch.lastContact() ?? -Infinity) > staleMilliseconds;

    const handle = async ({ message, body, sink, callerGone, arrivedAt }: CallerRequest): Promise<void> => {
        const envelope = platform.heads.readEnvelope(message);
        const table = state.routeTable();
        if (table === undefined) {
            log.failure(envelope.requestId, "refused", { code: "not-ready" });
            sink.refuse(refusal("not-ready", [config.host], 1));
            return;
        }
        const admission = authorize(table, envelope);
        if (admission.kind !== "allowed") {
            const { version } = table.configuration;
            const code = isStale() ? "not-ready" : admission.kind;
            log.failure(envelope.requestId, "refused", { code, reason: admission.kind, configuration: version });
            const parameters = code === "unknown-route" ? [envelope.method, envelope.path] : [config.host];
            sink.refuse(refusal(code, parameters, code === "not-ready" ? 1 : undefined));
            return;
        }
        const { route, account, priority } = admission;
        const service = chooseService(route, Math.random()) ?? "";
        const patience = envelope.patienceMilliseconds ?? defaultPatienceMilliseconds;
        const answerBy = arrivedAt + Math.min(patience, route.timeoutMilliseconds);
        const bounded = boundSignal(callerGone, answerBy - clock.now());
        const context: RequestContext = {
            envelope,
            route,
            service,
            clientAccount: account?.name,
            priority,
            arrivedAt,
            patienceUntil: arrivedAt + patience,
            answerBy,
            send: createSender(platform.heads, message, body),
            sink,
            signal: bounded.signal,
            callerGone,
        };
        metrics.count(`ingress_requests_total{kind="${route.kind}"}`);
        await (route.kind === "streaming" ? runStream : runPlain)(context);
        bounded.release();
        if (callerGone.aborted) {
            metrics.count("ingress_callers_gone_total");
            log.request(envelope.requestId, "caller gone", { afterMilliseconds: Math.round(clock.now() - arrivedAt) });
        }
    };

    /** Cut off from the other zones and from every group: callers are better served by the other zones' entries. */
    const isIsolated = (): boolean => peers.isZoneAlone(config.availabilityZone) && !streamPlaces.anyGroupRuns();

    const callers = await startCallerServer({
        address: config.callers,
        heads: platform.heads,
        limits: () => state.routeTable()?.configuration.limits,
        shouldLeave: isIsolated,
        handle,
        onError: error => logger.debug("connection failed", { reason: error.message }),
    });
    const isReady = (): boolean => {
        const isNow = !isStopping && state.routeTable() !== undefined && !isIsolated();
        if (isNow !== wasReady) {
            wasReady = isNow;
            const inputs = {
                isStopping,
                configuration: state.routeTable()?.configuration.version,
                entries: peers.entries(),
            };
            log.belief(isNow ? "ready" : "not ready", inputs);
        }
        return isNow;
    };
    const readiness = await startReadinessServer(config.readiness, platform.readinessPath, isReady);
    const dump = (): Record<string, unknown> => ({
        host: config.host,
        availabilityZone: config.availabilityZone,
        configuration: state.routeTable()?.configuration.version,
        store: storeWatch.news(),
        entries: peers.entries(),
        evacuatedZones: state.evacuatedZones(),
        upstreams: state.all(),
        groups: streamPlaces.groups(),
    });
    const metricsServer = await startMetricsServer(config.metrics, metrics.text, dump);

    return {
        addresses: { callers: callers.address, readiness: readiness.address, metrics: metricsServer.address },
        stop: async () => {
            isStopping = true;
            callers.startDraining();
            const startedAt = clock.now();
            const graceMilliseconds = config.graceSeconds * 1_000 - graceReserveMilliseconds;
            await clock.sleep(idleCloseMilliseconds, signal);
            while (callers.inProgress() > 0 && clock.now() - startedAt < graceMilliseconds) {
                callers.closeIdle();
                await clock.sleep(drainCheckMilliseconds, signal);
            }
            callers.close();
            await Promise.all([readiness.close(), metricsServer.close()]);
        },
    };
};
