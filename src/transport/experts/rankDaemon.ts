/**
 * The agent beside one rank: reads the rank's report and expert counts where they are free, and tells them to the agent
 * that coordinates the group, which may be itself.
 */
import { setMaxListeners } from "node:events";
import {
    createGroupCoordinator,
    type GroupCoordinator,
    type RankNews,
} from "../../coordination/experts/groupCoordinator.js";
import type { RankEngines, RankReport } from "../../coordination/experts/rankEngine.js";
import type { DeploymentFeed } from "../../coordination/ingress/deploymentFeed.js";
import { createIngressLog } from "../../coordination/ingress/ingressLog.js";
import { createMetrics } from "../../coordination/metrics.js";
import type { RankConfig } from "../../protocol/ingressConfig.js";
import type { Upstream, UpstreamService } from "../../state/ingressTypes.js";
import { splitAddress } from "../address.js";
import { startMetricsServer } from "../ingress/readinessServer.js";
import type { Logger } from "../logger.js";
import { steadyClock } from "../systemClock.js";
import { startRankGossip } from "./rankGossip.js";

export type RankAdapter = { feed: DeploymentFeed; engines: RankEngines; };

/** Counts are read this often: three to four passes of a busy group. */
const readMilliseconds = 300;
const beaconMilliseconds = 400;
const millisecondsPerSecond = 1_000;
/** Without a beacon of a lower rank for this long, the next rank coordinates; each higher rank waits a little longer. */
const silenceMilliseconds = 1_300;
const silencePerRankMilliseconds = 400;
/** The list of ranks changes when one starts anew at another address; only the coordinator needs it, and reads cost. */
const listMilliseconds = 6_000;
const listCheckMilliseconds = 500;
const listRetryMilliseconds = 1_000;

export const startRankDaemon = async (
    config: RankConfig,
    adapter: RankAdapter,
    logger: Logger,
    signal: AbortSignal,
): Promise<void> => {
    setMaxListeners(0, signal);
    const clock = steadyClock;
    const log = createIngressLog((event, fields) => logger.info(event, fields), clock);
    const metrics = createMetrics();
    const own = config.engine;
    const [gossipPort] = config.internalPorts;
    const startedAt = clock.now();
    const lowerRanks = new Map<number, { at: number; address: string; }>();
    let ranks: (Upstream | undefined)[] = [];
    let report: RankReport | undefined;
    let service: UpstreamService | undefined;
    let coordinator: GroupCoordinator | undefined;
    let wasActive = false;

    const gossip = startRankGossip({
        ip: config.ip,
        port: gossipPort,
        onBeacon: (group, rank, address) => {
            if (report !== undefined && group === report.group && rank < report.rank) {
                lowerRanks.set(rank, { at: clock.now(), address });
            }
        },
        onNews: (news: RankNews) => {
            if (news.report.group === report?.group) {
                coordinator?.take(news);
            }
        },
        log,
        signal,
    });

    /** The lowest rank below this one that is heard. */
    const leader = (): { address: string; } | undefined => {
        const heard = [...lowerRanks].filter(([, { at }]) => clock.now() - at < silenceMilliseconds);
        return heard.sort(([left], [right]) => left - right)[0]?.[1];
    };

    const isActive = (): boolean => {
        const patience = silenceMilliseconds + silencePerRankMilliseconds * (report?.rank ?? 0);
        const isNow = report !== undefined && leader() === undefined
            && (report.rank === 0 || clock.now() - startedAt > patience);
        if (isNow !== wasActive) {
            wasActive = isNow;
            log.belief(isNow ? "coordinates" : "stands back", { group: report?.group, rank: report?.rank });
        }
        return isNow;
    };

    const agentOf = (upstream: Upstream): string => `${splitAddress(upstream.address).host}:${gossipPort}`;

    const members = (): string[] | undefined => {
        const known = ranks.flatMap(upstream => upstream?.address ?? []);
        return known.length > 0 && known.length === ranks.length ? known : undefined;
    };

    const followList = async (): Promise<void> => {
        let readAt = -Infinity;
        while (!signal.aborted) {
            const isComplete = members() !== undefined && service !== undefined;
            if (isComplete && (!wasActive || clock.now() - readAt < listMilliseconds)) {
                await clock.sleep(listCheckMilliseconds, signal);
                continue;
            }
            const listed = await adapter.feed.readAll("upstreams", signal);
            if (service?.experts === undefined) {
                const configured = await adapter.feed.readAll("operator", signal);
                service = configured.isErr() ? undefined : configured.value.records
                    .flatMap(record => record.kind === "configuration" ? record.configuration.services : [])
                    .find(({ name }) => name === config.service);
            }
            if (listed.isOk() && report !== undefined) {
                const found: (Upstream | undefined)[] = new Array<undefined>(report.ranks).fill(undefined);
                for (const record of listed.value.records) {
                    if (record.kind === "upstream" && record.upstream.group?.name === report.group) {
                        found[record.upstream.group.rank] = record.upstream;
                    }
                }
                ranks = found;
            }
            readAt = clock.now();
            await clock.sleep(listRetryMilliseconds, signal);
        }
    };

    const openCoordinator = (known: RankReport): void => {
        if (coordinator === undefined && service?.experts !== undefined) {
            const { rank, ranks: size } = known;
            coordinator = createGroupCoordinator({
                ownRank: rank,
                ranks: size,
                shape: service.experts,
                engines: adapter.engines,
                members,
                clock,
                timeOfDaySeconds: () => Math.floor(Date.now() / millisecondsPerSecond),
                log,
                metrics,
                signal,
            });
            void coordinator.run(isActive);
        }
    };

    const read = async (): Promise<void> => {
        while (!signal.aborted) {
            const latest = await adapter.engines.report(own, signal);
            if (latest.isOk()) {
                report = latest.value;
                openCoordinator(report);
                const counts = await adapter.engines.counts(own, signal);
                if (counts.isOk() && counts.value.epoch === report.epoch) {
                    const news = { report, engine: own, step: counts.value.step, counts: counts.value.counts };
                    const target = leader();
                    if (target === undefined) {
                        coordinator?.take(news);
                    }
                    else {
                        gossip.sendNews(target.address, news);
                    }
                }
            }
            await clock.sleep(readMilliseconds, signal);
        }
    };

    const sendBeacons = async (): Promise<void> => {
        while (!signal.aborted) {
            if (report !== undefined && isActive()) {
                const addresses = ranks.flatMap(upstream => upstream === undefined ? [] : agentOf(upstream));
                gossip.sendBeacon(addresses, report.group, report.rank);
            }
            await clock.sleep(beaconMilliseconds, signal);
        }
    };

    const dump = (): Record<string, unknown> => ({
        host: config.host,
        report,
        isActive: wasActive,
        coordinator: coordinator?.status(),
    });
    await startMetricsServer(config.metrics, metrics.text, dump);
    void followList();
    void read();
    void sendBeacons();
};
