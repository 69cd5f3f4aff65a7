/**
 * Agent of one rank: reads the rank's report and expert counts locally, where reads are not charged for, and sends them
 * to the agent that coordinates the group, which may be itself.
 */
import { setMaxListeners } from "node:events";
import {
    createGroupCoordinator,
    type GroupCoordinator,
    type RankUpdate,
} from "../../coordination/experts/groupCoordinator.js";
import type { RankEngines, RankReport } from "../../coordination/experts/rankEngine.js";
import { withRelayedMaps } from "../../coordination/experts/relayedMaps.js";
import type { FeedDecoder, FeedRecord } from "../../coordination/ingress/deploymentFeed.js";
import { createIngressLog } from "../../coordination/ingress/ingressLog.js";
import type { DeploymentTopic, RecordSource } from "../../coordination/ingress/recordSource.js";
import { createMetrics } from "../../coordination/metrics.js";
import type { RankConfig } from "../../protocol/ingressConfig.js";
import type { Upstream, UpstreamService } from "../../state/ingressTypes.js";
import { splitAddress } from "../address.js";
import { startMetricsServer } from "../ingress/readinessServer.js";
import type { Logger } from "../logger.js";
import { processMetricsText } from "../processClients.js";
import { monotonicClock } from "../systemClock.js";
import { createMapRelay, serveMapRelay } from "./mapRelay.js";
import { startRankGossip } from "./rankGossip.js";

export type RankAdapter = { records: RecordSource; decode: FeedDecoder; engines: RankEngines; };

/** Interval between reads of the counts: three to four steps of a busy group. */
const readIntervalMilliseconds = 300;
const beaconIntervalMilliseconds = 400;
const millisecondsPerSecond = 1_000;
/**
 * Time without a beacon from any lower rank after which this rank may coordinate. After its start, an agent of a higher
 * rank waits longer, by the delay below for each rank.
 */
const beaconTimeoutMilliseconds = 1_300;
const takeoverDelayPerRankMilliseconds = 400;
/**
 * The list of ranks changes when a rank restarts at another address. Only the coordinator reads it, as reads of the
 * store are charged for.
 */
const membersMaximumAgeMilliseconds = 6_000;
const membersCheckIntervalMilliseconds = 500;
const membersReadIntervalMilliseconds = 1_000;

export const startRankDaemon = async (
    config: RankConfig,
    adapter: RankAdapter,
    logger: Logger,
    signal: AbortSignal,
): Promise<void> => {
    setMaxListeners(0, signal);
    const clock = monotonicClock;
    const log = createIngressLog((event, fields) => logger.info(event, fields), clock);
    const metrics = createMetrics();
    const ownEngine = config.engine;
    const [gossipPort] = config.internalPorts;
    const engines = withRelayedMaps(adapter.engines, ownEngine, createMapRelay(gossipPort));
    const startedAt = clock.now();
    const lowerRankBeacons = new Map<number, { receivedAt: number; address: string; }>();
    let upstreamsByRank: (Upstream | undefined)[] = [];
    let report: RankReport | undefined;
    let service: UpstreamService | undefined;
    let coordinator: GroupCoordinator | undefined;
    let wasActive = false;

    const gossip = startRankGossip({
        ip: config.ip,
        port: gossipPort,
        onBeacon: (group, rank, address) => {
            if (report !== undefined && group === report.group && rank < report.rank) {
                lowerRankBeacons.set(rank, { receivedAt: clock.now(), address });
            }
        },
        onUpdate: (update: RankUpdate) => {
            if (update.report.group === report?.group) {
                coordinator?.receiveUpdate(update);
            }
        },
        log,
        signal,
    });

    /** Agent of the lowest rank below this one with a recent beacon. */
    const coordinatingAgent = (): { address: string; } | undefined => {
        const recentBeacons = [...lowerRankBeacons].filter(([, { receivedAt }]) =>
            clock.now() - receivedAt < beaconTimeoutMilliseconds
        );
        return recentBeacons.sort(([left], [right]) => left - right)[0]?.[1];
    };

    const isActive = (): boolean => {
        const takeoverDelayMilliseconds = beaconTimeoutMilliseconds
            + takeoverDelayPerRankMilliseconds * (report?.rank ?? 0);
        const isActiveNow = report !== undefined && coordinatingAgent() === undefined
            && (report.rank === 0 || clock.now() - startedAt > takeoverDelayMilliseconds);
        if (isActiveNow !== wasActive) {
            wasActive = isActiveNow;
            log.stateChange(isActiveNow ? "became coordinator" : "stopped coordinating", {
                group: report?.group,
                rank: report?.rank,
            });
        }
        return isActiveNow;
    };

    const agentAddressOf = (upstream: Upstream): string => `${splitAddress(upstream.address).host}:${gossipPort}`;

    const members = (): string[] | undefined => {
        const known = upstreamsByRank.flatMap(upstream => upstream?.address ?? []);
        return known.length > 0 && known.length === upstreamsByRank.length ? known : undefined;
    };

    /** The records of a topic; undefined if the store did not answer. */
    const readTopic = async (topic: DeploymentTopic): Promise<FeedRecord[] | undefined> =>
        (await adapter.records.readAll(topic, signal))
            .map(({ records }) => records.map(record => adapter.decode(topic, record)))
            .unwrapOr(undefined);

    const refreshMembers = async (): Promise<void> => {
        let readAt = -Infinity;
        while (!signal.aborted) {
            const isComplete = members() !== undefined && service !== undefined;
            if (!isActive() || isComplete && clock.now() - readAt < membersMaximumAgeMilliseconds) {
                await clock.sleep(membersCheckIntervalMilliseconds, signal);
                continue;
            }
            const listedUpstreams = await readTopic("upstreams");
            if (service?.experts === undefined) {
                service = (await readTopic("operator") ?? [])
                    .flatMap(record => record.kind === "configuration" ? record.configuration.services : [])
                    .find(({ name }) => name === config.service);
            }
            if (listedUpstreams !== undefined && report !== undefined) {
                const found: (Upstream | undefined)[] = new Array<undefined>(report.ranks).fill(undefined);
                for (const record of listedUpstreams) {
                    const group = record.kind === "upstream" ? record.upstream.group : undefined;
                    // A rank beyond the group's size would make a member of each number before it.
                    if (record.kind === "upstream" && group?.name === report.group && group.rank < report.ranks) {
                        found[group.rank] = record.upstream;
                    }
                }
                upstreamsByRank = found;
            }
            readAt = clock.now();
            await clock.sleep(membersReadIntervalMilliseconds, signal);
        }
    };

    const ensureCoordinator = (known: RankReport): void => {
        if (coordinator === undefined && service?.experts !== undefined) {
            const { rank, ranks: size } = known;
            coordinator = createGroupCoordinator({
                ownRank: rank,
                ranks: size,
                shape: service.experts,
                engines,
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

    const reportLoad = async (): Promise<void> => {
        while (!signal.aborted) {
            const ownReport = await adapter.engines.report(ownEngine, signal);
            if (ownReport.isOk()) {
                report = ownReport.value;
                ensureCoordinator(report);
                const counts = await adapter.engines.counts(ownEngine, signal);
                if (counts.isOk() && counts.value.epoch === report.epoch) {
                    const update = { report, engine: ownEngine, step: counts.value.step, counts: counts.value.counts };
                    const target = coordinatingAgent();
                    if (target === undefined) {
                        coordinator?.receiveUpdate(update);
                    }
                    else {
                        gossip.sendUpdate(target.address, update);
                    }
                }
            }
            await clock.sleep(readIntervalMilliseconds, signal);
        }
    };

    const sendBeacons = async (): Promise<void> => {
        while (!signal.aborted) {
            if (report !== undefined && isActive()) {
                const addresses = upstreamsByRank.flatMap(upstream =>
                    upstream === undefined ? [] : agentAddressOf(upstream)
                );
                gossip.sendBeacon(addresses, report.group, report.rank);
            }
            await clock.sleep(beaconIntervalMilliseconds, signal);
        }
    };

    const dump = (): Record<string, unknown> => ({
        host: config.host,
        report,
        isActive: wasActive,
        coordinator: coordinator?.status(),
    });
    await startMetricsServer(config.metrics, () => metrics.text() + processMetricsText(), dump);
    await serveMapRelay(`${config.ip}:${gossipPort}`, {
        prepare: (epoch, version, map) =>
            adapter.engines.order(ownEngine, epoch, { kind: "prepare", version, map }, signal),
    });
    void refreshMembers();
    void reportLoad();
    void sendBeacons();
};
