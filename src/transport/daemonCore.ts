/**
 * Components that entries and agents share: the settings and host list followers, the gossip between daemons, the task
 * that writes settings snapshots, and the routes for peers and operators.
 */
import type { Hono } from "hono";
import { setMaxListeners } from "node:events";
import { type GossipTopic, startGossip } from "../coordination/gossip.js";
import { type HostListFollower, hostListTopic, startHostListFollower } from "../coordination/hostListFollower.js";
import { createLogReaderCheck } from "../coordination/logReaderCheck.js";
import { createMetrics, type Metrics } from "../coordination/metrics.js";
import { type SettingsFollower, startSettingsFollower } from "../coordination/settingsFollower.js";
import { settingsTopic } from "../coordination/settingsTopic.js";
import { runSnapshotTask } from "../coordination/snapshotTask.js";
import { createZoneOrders } from "../coordination/zoneOrders.js";
import type { DaemonConfig } from "../protocol/daemonConfig.js";
import { decodeHostListUpdate } from "../protocol/hostListMessages.js";
import { createSettingsReader, type SettingsReader } from "../protocol/settingsReader.js";
import { decodeSettingsUpdate, decodeZoneOrders } from "../protocol/settingsUpdate.js";
import type { HostRecord, SettingsRecord } from "../state/types.js";
import { readNewerHostList } from "./hostListClient.js";
import type { NodeBindings } from "./httpServer.js";
import { createLogClient } from "./logClient.js";
import type { Logger } from "./logger.js";
import { addOperatorRoutes } from "./operatorRoutes.js";
import { createPeerExchange } from "./peerClient.js";
import { addOperatorProcedures, addPeerRoutes } from "./peerServer.js";
import { processMetricsText } from "./processClients.js";
import { systemClock } from "./systemClock.js";

const hostListPollMilliseconds = 1_000;
const millisecondsPerMinute = 60_000;

export type ControlTokens = { peerToken: string; operatorToken: string; };

export type DaemonCore = {
    settings: SettingsReader;
    settingsFollower: SettingsFollower;
    hostList: HostListFollower;
    /** Whether the zone is out of service, by a direct order of an operator or by the settings. */
    isZoneOut: (availabilityZone: string) => boolean;
    /** Whether the host list marks this daemon's host as leaving. */
    isLeaving: () => boolean;
    metrics: Metrics;
    /** Adds a gossip topic. */
    addTopic: (topic: GossipTopic) => void;
    /** Adds the routes for peers and operators; `describe` returns the role-specific fields of the state dump. */
    addRoutes: (application: Hono<NodeBindings>, describe: () => Record<string, unknown>) => void;
    /** Starts the gossip with other daemons; called once the daemon knows the address at which peers reach it. */
    joinGossip: (ownAddress: string) => void;
};

/** Starts the shared components; all their tasks end when `signal` aborts. */
export const startDaemonCore = (
    config: DaemonConfig,
    tokens: ControlTokens,
    logger: Logger,
    signal: AbortSignal,
): DaemonCore => {
    // Every task of the daemon listens to this signal, which exceeds the default limit for listeners.
    setMaxListeners(0, signal);
    const clock = systemClock;
    const metrics = createMetrics();
    const stream = createLogClient<SettingsRecord>({ platform: config.platform, stream: "settings" });
    const hostList = startHostListFollower({
        read: (knownVersion, readSignal) => readNewerHostList(config.platform, knownVersion, readSignal),
        pollMilliseconds: hostListPollMilliseconds,
        clock,
        signal,
    });
    let gossip: ReturnType<typeof startGossip> | undefined;
    const isReader = createLogReaderCheck({
        host: config.host,
        availabilityZone: config.availabilityZone,
        hosts: hostList.hosts,
        gossip: () => gossip?.status(),
        clock,
    });
    const settingsFollower = startSettingsFollower({ stream, clock, random: Math.random, signal, isReader });
    const settings = createSettingsReader(settingsFollower.state);
    const zoneOrders = createZoneOrders({ settings: settingsFollower.state, clock, decode: decodeZoneOrders });
    const topics: GossipTopic[] = [
        settingsTopic(settingsFollower, decodeSettingsUpdate),
        hostListTopic(hostList, decodeHostListUpdate),
        zoneOrders.topic,
    ];
    let ownState: HostRecord["state"] | undefined;
    settingsFollower.subscribe(({ offset }) => logger.info("settings in force", { offset }), signal);
    hostList.onChange(({ version, hosts }) => logger.info("host list", { version, hosts: hosts.length }));
    hostList.onChange(({ hosts }) => {
        ownState = hosts.find(({ host }) => host === config.host)?.state;
    });
    void runSnapshotTask({
        follower: settingsFollower,
        stream,
        retention: { milliseconds: config.logRetentionMinutes * millisecondsPerMinute },
        host: config.host,
        hosts: () => hostList.hosts().map(({ host }) => host),
        clock,
        signal,
    });

    return {
        settings,
        settingsFollower,
        hostList,
        isZoneOut: availabilityZone => {
            const orderedState = zoneOrders.orderedState(availabilityZone);
            return orderedState === undefined ? settings.isZoneOut(availabilityZone) : orderedState === "out";
        },
        isLeaving: () => ownState === "leaving",
        metrics,
        addTopic: topic => void topics.push(topic),
        addRoutes: (application, describe) => {
            addPeerRoutes(application, { topics }, tokens.peerToken);
            addOperatorProcedures(application, { zoneOrders }, tokens.operatorToken);
            addOperatorRoutes(application, {
                operatorToken: tokens.operatorToken,
                metrics: () => metrics.text() + processMetricsText(),
                dump: () => ({
                    host: config.host,
                    availabilityZone: config.availabilityZone,
                    settings: { ...settingsFollower.status(), isReader: isReader(), unreadable: settings.unreadable() },
                    hostList: { ...hostList.current(), failure: hostList.failure() },
                    zoneOrders: zoneOrders.inForce(),
                    relay: gossip?.status(),
                    ...describe(),
                }),
            });
        },
        joinGossip: ownAddress => {
            const peers = (): string[] => {
                const listed = hostList.hosts().filter(({ state }) => state === "live").map(({ address }) => address);
                return [...new Set([...listed, ...config.seeds])].filter(address => address !== ownAddress);
            };
            const exchange = createPeerExchange(tokens.peerToken);
            gossip = startGossip({ topics, peers, exchange, clock, random: Math.random, signal });
        },
    };
};
