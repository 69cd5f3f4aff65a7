/**
 * Expert maps of one rank, in its agent: follows the group's stream, switches maps together with the other agents, and
 * plans and commits maps while this agent coordinates the group.
 */
import type { Hono } from "hono";
import { randomUUID } from "node:crypto";
import { setMaxListeners } from "node:events";
import { emptyEstimate, type ExpertLoadReport, groupLoadOf, updateEstimate } from "../coordination/expertLoad.js";
import { startGroupLog } from "../coordination/groupLog.js";
import { runMapCoordinator } from "../coordination/mapCoordinator.js";
import { defaultPlacementSettings, type PlacementSettings, planPlacement } from "../coordination/mapPlanner.js";
import { defaultLeadSteps, type MapSwitch, startMapSwitch } from "../coordination/mapSwitch.js";
import type { AgentConfig } from "../protocol/daemonConfig.js";
import { decodeGroupRecord, groupStreamName } from "../protocol/groupRecords.js";
import type { GroupSettings } from "../protocol/settingsSchema.js";
import { type ExpertMap, type GroupLoad, stepSkew, uniformMap } from "../state/expertMap.js";
import type { GroupRecord } from "../state/groupState.js";
import type { ControlTokens, DaemonCore } from "./daemonCore.js";
import { addGroupRoutes, createGroupPeers, type GroupPeers } from "./groupPeers.js";
import type { NodeBindings } from "./httpServer.js";
import { createLogClient } from "./logClient.js";
import { createMapEngineClient, readExpertLoad } from "./mapEngineClient.js";
import { systemClock } from "./systemClock.js";

const millisecondsPerMinute = 60_000;
const settingsPollMilliseconds = 200;
const planningIntervalMilliseconds = 10_000;
const immediatePlanningSkew = 1.15;

export type GroupUpstream = Extract<AgentConfig["upstream"], { kind: "group"; }>;

export type RankMapService = {
    /** State for the dump of the agent; undefined until the map switch has started. */
    describe: () => unknown;
};

/** Planner settings with the expert size and the weight-store throughput of the group. */
export const placementSettingsOf = (group: GroupSettings): PlacementSettings => ({
    ...defaultPlacementSettings,
    bytesPerExpert: group.expertBytes,
    storeBytesPerSecond: group.weightStoreBytesPerSecond,
});

/** Plans from the load reports of the ranks: at intervals, and immediately if the predicted skew is high. */
const createPlanner = (settings: () => GroupSettings | undefined, peers: GroupPeers, signal: AbortSignal) => {
    let estimate = emptyEstimate(0);
    let plannedAt = -Infinity;
    const plan = async (present: ExpertMap | undefined): Promise<ExpertMap | undefined> => {
        const group = settings();
        if (group === undefined) {
            return undefined;
        }
        const { ranks, layers, expertsPerLayer: experts, slotsPerRank } = group;
        const pendingReports = [...Array(ranks).keys()].map(rank => peers.expertLoad(rank, signal));
        const reports = (await Promise.all(pendingReports)).filter((report): report is ExpertLoadReport =>
            report !== undefined
        );
        estimate = updateEstimate(estimate.rates.length === ranks ? estimate : emptyEstimate(ranks), reports);
        if (estimate.popularity.length !== layers) {
            return undefined;
        }
        const map = present ?? uniformMap({ ranks, layers, experts, slotsPerRank });
        const load = groupLoadOf(estimate);
        const now = systemClock.now();
        if (now - plannedAt < planningIntervalMilliseconds && stepSkew(map, load) < immediatePlanningSkew) {
            return undefined;
        }
        plannedAt = now;
        const planned = planPlacement(map, load, placementSettingsOf(group));
        return planned.kind === "keep" ? undefined : planned.map;
    };
    return { plan, load: (): GroupLoad | undefined => estimate.interval < 0 ? undefined : groupLoadOf(estimate) };
};

/** Starts the map switch and the coordinator once the group's settings enable expert maps. */
export const startRankMapService = (
    application: Hono<NodeBindings>,
    config: AgentConfig,
    upstream: GroupUpstream,
    core: DaemonCore,
    tokens: ControlTokens,
    signal: AbortSignal,
): RankMapService => {
    const { group, rank, address } = upstream;
    const settings = (): GroupSettings | undefined => core.settings.group(group);
    const remotePeers = createGroupPeers(group, core.hostList.hosts, tokens.peerToken);
    const readOwnLoad = (callSignal: AbortSignal) => readExpertLoad(address, callSignal);
    const peers: GroupPeers = {
        ...remotePeers,
        expertLoad: (other, callSignal) =>
            other === rank ? readOwnLoad(callSignal) : remotePeers.expertLoad(other, callSignal),
    };
    let mapSwitch: MapSwitch | undefined;
    let load = (): GroupLoad | undefined => undefined;
    // Each task of each peer adds a listener to the signal, more than the default limit.
    setMaxListeners(0, signal);
    addGroupRoutes(application, { mapSwitch: () => mapSwitch, expertLoad: readOwnLoad, signal }, tokens.peerToken);

    const startTasks = (ranks: number): void => {
        const stream = createLogClient<GroupRecord>({ platform: config.platform, stream: groupStreamName(group) });
        const log = startGroupLog({ stream, decode: decodeGroupRecord, clock: systemClock, signal });
        const incarnation = `${config.host}/${randomUUID()}`;
        const commonOptions = { rank, ranks, incarnation, peers, log, clock: systemClock, signal };
        const engine = createMapEngineClient(address);
        mapSwitch = startMapSwitch({ ...commonOptions, engine, leadSteps: defaultLeadSteps });
        const planner = createPlanner(settings, peers, signal);
        load = planner.load;
        void runMapCoordinator({
            ...commonOptions,
            mapSwitch,
            stream,
            plan: planner.plan,
            newId: randomUUID,
            retentionMilliseconds: config.logRetentionMinutes * millisecondsPerMinute,
        });
    };

    const startWhenConfigured = async (): Promise<void> => {
        while (!signal.aborted) {
            const groupSettings = settings();
            if (groupSettings?.expertMaps === true) {
                startTasks(groupSettings.ranks);
                return;
            }
            await systemClock.sleep(settingsPollMilliseconds, signal);
        }
    };
    void startWhenConfigured();

    return {
        describe: () =>
            mapSwitch && {
                ...mapSwitch.ownReport(),
                heard: [...mapSwitch.peerReports().values()].map(({ report }) => report),
                present: mapSwitch.newestCommit()?.map,
                load: load(),
            },
    };
};
