/**
 * Simulates a group of ranks and their agents on a stepped clock: the real map-switch modules run on stand-in engines,
 * with faults in the log and in the messages between agents and engines.
 */
import { err, ok, type Result } from "neverthrow";
import { setMaxListeners } from "node:events";
import { seededRandom } from "../../src/bench/randomNumbers.js";
import { startGroupLog } from "../../src/coordination/groupLog.js";
import { runMapCoordinator } from "../../src/coordination/mapCoordinator.js";
import { type MapSwitch, startMapSwitch } from "../../src/coordination/mapSwitch.js";
import type {
    EngineOrderFailure,
    PeerFailure,
    PeerReport,
    RankEngine,
    RankPeers,
} from "../../src/coordination/mapSwitchInterfaces.js";
import { EngineGroup, type StepRecord } from "../../src/standin/modelEngine.js";
import { uniformMap } from "../../src/state/expertMap.js";
import type { GroupRecord } from "../../src/state/groupState.js";
import type { RankMapStatus } from "../../src/state/mapPromise.js";
import type { Clock, RandomNumber } from "../../src/state/types.js";
import { type FaultyLog, faultyLog } from "./faultyLog.js";
import { type SteppedClock, steppedClock } from "./steppedClock.js";

export const shape = { ranks: 3, layers: 1, experts: 6, slotsPerRank: 2 };

type Agent = { mapSwitch: MapSwitch; stop: AbortController; pausedUntil: number; };

export type MapFleet = {
    clock: SteppedClock;
    group: EngineGroup;
    log: FaultyLog<GroupRecord>;
    agents: Agent[];
    /**
     * Faults of the messages between agents and from agents to engines. Each of these has the probability
     * `lossRate / 2`: the request is lost before it takes effect, the response is lost after the request took effect,
     * the request is executed a second time, up to 40 delays later. `delayMilliseconds` is the maximum one-way delay.
     * Agents of `isolatedRanks` can neither reach other agents nor be reached by them.
     */
    faults: { lossRate: number; delayMilliseconds: number; isolatedRanks: Set<number>; };
    restartAgent: (rank: number) => void;
    /** Appends a valid commit while an earlier one may still be in progress; the protocol must tolerate this. */
    appendImmediateCommit: () => void;
    crashRank: (rank: number) => void;
    stop: () => void;
};

/** Returns the steps in which two ranks of one formation ran different maps. */
export const stepsWithMixedMaps = (steps: StepRecord[]): string[] => {
    const maps = new Map<string, Set<number>>();
    for (const { step, formation, map } of steps) {
        const key = `formation ${formation} step ${step}`;
        maps.set(key, (maps.get(key) ?? new Set()).add(map));
    }
    return [...maps].filter(([, usedMaps]) => usedMaps.size > 1).map(([key]) => key);
};

export const startMapFleet = (
    seed: number,
    planIntervalMilliseconds = 1_500,
    retentionMilliseconds = 60_000,
): MapFleet => {
    const clock = steppedClock(1_000);
    const random: RandomNumber = seededRandom(seed);
    const fleetController = new AbortController();
    setMaxListeners(0, fleetController.signal);
    const faults: MapFleet["faults"] = { lossRate: 0, delayMilliseconds: 2, isolatedRanks: new Set() };
    const log = faultyLog<GroupRecord>(clock, fleetController.signal, "groups/council");
    let nextNameNumber = 0;
    const group = new EngineGroup({
        listen: "127.0.0.1:0",
        ranks: shape.ranks,
        stepMilliseconds: 20,
        capacity: 8,
        coldCapacity: 8,
        warmAfterTokens: 1,
        coldGraceSteps: 1,
        restartMilliseconds: 150,
        checksFence: false,
        startsWarm: true,
        expertMaps: true,
        mapLoadMilliseconds: 60,
        engineId: "engine",
        clock,
        signal: fleetController.signal,
    });
    void group.run();

    /** Runs `action` over a connection that delays, loses and sometimes duplicates messages. */
    const transmit = async <Value, Failure>(
        agentClock: Clock,
        signal: AbortSignal,
        failure: Failure,
        action: () => Promise<Result<Value, Failure>> | Result<Value, Failure>,
    ): Promise<Result<Value, Failure>> => {
        const isLost = (): boolean => random() < faults.lossRate / 2;
        await agentClock.sleep(random() * faults.delayMilliseconds, signal);
        if (isLost()) {
            await agentClock.sleep(50, signal);
            return err(failure);
        }
        if (isLost()) {
            void clock.sleep(random() * 40 * faults.delayMilliseconds, fleetController.signal).then(action);
        }
        const answer = await action();
        await agentClock.sleep(random() * faults.delayMilliseconds, signal);
        return isLost() ? err(failure) : answer;
    };

    const engineOf = (rank: number, agentClock: Clock): RankEngine => {
        const runtime = group.rankRuntimes[rank]!;
        const sendOrder = (kind: string, fence: number, fields: object, signal: AbortSignal) =>
            transmit<RankMapStatus, EngineOrderFailure>(
                agentClock,
                signal,
                { kind: "unreachable", reason: "lost" },
                async () => {
                    if (runtime.rank.down) {
                        return err({ kind: "unreachable", reason: "down" });
                    }
                    const { body } = await runtime.orderExecutor.execute({ fence, order: { kind, ...fields } });
                    return body["refused"] === undefined
                        ? ok(body["status"] as RankMapStatus)
                        : err({ kind: body["refused"] as EngineOrderFailure["kind"], reason: "refused" });
                },
            );
        return {
            status: signal =>
                transmit<RankMapStatus, EngineOrderFailure>(
                    agentClock,
                    signal,
                    { kind: "unreachable", reason: "lost" },
                    () => runtime.rank.down ? err({ kind: "unreachable", reason: "down" }) : ok(runtime.map.status(-1)),
                ),
            prepare: (fence, fields, signal) => sendOrder("prepare-map", fence, fields, signal),
            promise: (fence, fields, signal) => sendOrder("promise-map", fence, fields, signal),
            release: (fence, fields, signal) => sendOrder("release-map", fence, fields, signal),
        };
    };

    const peersOf = (rank: number, agentClock: Clock): RankPeers => {
        const unreachable: PeerFailure = { kind: "unreachable", reason: "lost" };
        const canReach = (peerRank: number): boolean =>
            !faults.isolatedRanks.has(rank) && !faults.isolatedRanks.has(peerRank);
        /** Waits until the agent of `peerRank` is not paused; `undefined` if it can't be reached. */
        const waitForPeer = async (peerRank: number, signal: AbortSignal): Promise<MapSwitch | undefined> => {
            const agent = fleet.agents[peerRank]!;
            while (clock.now() < agent.pausedUntil && !signal.aborted) {
                await clock.sleep(agent.pausedUntil - clock.now(), signal);
            }
            return canReach(peerRank) && !signal.aborted ? agent.mapSwitch : undefined;
        };
        return {
            exchange: (peerRank, report, signal) =>
                transmit<PeerReport, PeerFailure>(agentClock, signal, unreachable, async () => {
                    const peer = await waitForPeer(peerRank, signal);
                    return peer === undefined ? err(unreachable) : ok(peer.handleExchange(report));
                }),
            prepare: (peerRank, fence, order, signal) =>
                transmit<void, PeerFailure>(agentClock, signal, unreachable, async () => {
                    const peer = await waitForPeer(peerRank, signal);
                    return peer === undefined ? err(unreachable) : peer.prepare(fence, order, signal);
                }),
        };
    };

    const startAgent = (rank: number): Agent => {
        const stop = new AbortController();
        setMaxListeners(0, stop.signal);
        const incarnation = `agent-${rank}-${nextNameNumber++}`;
        const agent = { stop, pausedUntil: 0 } as Agent;
        // The timers of a paused process expire only after the pause.
        const agentClock: Clock = {
            now: clock.now,
            sleep: async (milliseconds, signal) => {
                await clock.sleep(milliseconds, signal);
                while (clock.now() < agent.pausedUntil && !stop.signal.aborted) {
                    await clock.sleep(agent.pausedUntil - clock.now(), stop.signal);
                }
            },
        };
        const stream = log.openStream();
        const sharedOptions = {
            rank,
            ranks: shape.ranks,
            incarnation,
            engine: engineOf(rank, agentClock),
            peers: peersOf(rank, agentClock),
            log: startGroupLog({ stream, decode: body => body as GroupRecord, clock: agentClock, signal: stop.signal }),
            leadSteps: 3,
            clock: agentClock,
            signal: stop.signal,
        };
        agent.mapSwitch = startMapSwitch(sharedOptions);
        let plannedAt = clock.now();
        void runMapCoordinator({
            ...sharedOptions,
            mapSwitch: agent.mapSwitch,
            stream,
            plan: async () => {
                if (clock.now() - plannedAt < planIntervalMilliseconds) {
                    return undefined;
                }
                plannedAt = clock.now();
                return uniformMap(shape);
            },
            newId: () => `plan-${nextNameNumber++}`,
            retentionMilliseconds,
        });
        return agent;
    };

    const fleet: MapFleet = {
        clock,
        group,
        log,
        agents: [],
        faults,
        restartAgent: rank => {
            fleet.agents[rank]!.stop.abort();
            fleet.agents[rank] = startAgent(rank);
        },
        appendImmediateCommit: () => {
            const fence = log.records.findLast(({ body }) => body.kind === "coordinate")?.offset ?? -1;
            const commit: GroupRecord = {
                kind: "commit",
                fence,
                plan: `plan-${nextNameNumber++}`,
                map: uniformMap(shape),
            };
            void log.openStream().append(commit, fleetController.signal);
        },
        crashRank: rank => {
            const { rank: engineRank } = group.rankRuntimes[rank]!;
            if (!engineRank.down) {
                engineRank.crash();
            }
        },
        stop: () => {
            fleetController.abort();
            fleet.agents.forEach(agent => agent.stop.abort());
        },
    };
    fleet.agents = [...Array(shape.ranks).keys()].map(startAgent);
    return fleet;
};
