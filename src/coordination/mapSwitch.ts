/**
 * Switches one rank of a group from map to map, together with the agents of the other ranks and without a coordinator.
 *
 * One task reads the engine's status, has the engine promise the commit that the promise rules require, and releases
 * the commit once the promises of all ranks are known. One task per peer exchanges reports with it. The engine stores
 * the promise, so a restarted agent continues where its predecessor stopped. A rank whose engine restarts in a new
 * formation runs no step until all ranks of that formation have promised, which the same task brings about. Nothing
 * here waits for the log: commits are also learned from the peers.
 */
import { err, type Result } from "neverthrow";
import {
    initialCommit,
    type MapCommit,
    type MapPromise,
    noCommit,
    pendingCommit,
    type RankMapStatus,
} from "../state/mapPromise.js";
import type { Clock } from "../state/types.js";
import type { GroupLog, PeerFailure, PeerReport, PrepareOrder, RankEngine, RankPeers } from "./mapSwitchInterfaces.js";
import { createNotifier } from "./notifier.js";
import { commitToPromise, lastStepBeforeSwitch } from "./promiseRules.js";

const pendingPollMilliseconds = 5;
const idlePollMilliseconds = 100;
const peerRetryMilliseconds = 20;
const peerPollMilliseconds = 1_000;
const peerTimeoutMilliseconds = 500;
/**
 * Time during which a new agent refuses to prepare maps, since orders of its predecessor to the engine may still be in
 * flight.
 */
const inFlightOrderMilliseconds = 1_000;
/** Steps between a promise and the first step that may have to wait: enough for the agents to exchange reports once. */
export const defaultLeadSteps = 3;

export type MapSwitchOptions = {
    rank: number;
    /** Number of ranks in the group. */
    ranks: number;
    /** Identifies this run of the agent. */
    incarnation: string;
    engine: RankEngine;
    peers: RankPeers;
    log: GroupLog;
    leadSteps: number;
    clock: Clock;
    signal: AbortSignal;
};

export type MapSwitch = {
    /** Records the report of a peer and returns this agent's report. */
    handleExchange: (report: PeerReport) => PeerReport;
    /** Loads a map planned by the coordinator with fencing token `fence`; refuses an outdated token. */
    prepare: (fence: number, order: PrepareOrder, signal: AbortSignal) => Promise<Result<void, PeerFailure>>;
    ownReport: () => PeerReport;
    /** Last report of each peer, by rank, with the time of its receipt. */
    peerReports: () => ReadonlyMap<number, { report: PeerReport; receivedAt: number; }>;
    newestCommit: () => MapCommit | undefined;
    /** Resolves when all tasks have ended after the signal aborted. */
    done: Promise<void>;
};

/** Starts the map switch of one rank. */
export const startMapSwitch = (options: MapSwitchOptions): MapSwitch => {
    const { rank, ranks, incarnation, engine, peers, log, clock, signal } = options;
    const startedAt = clock.now();
    const changes = createNotifier(clock);
    const peerReports = new Map<number, { report: PeerReport; receivedAt: number; }>();
    const otherRanks = [...Array(ranks).keys()].filter(other => other !== rank);
    let commitFromPeers: MapCommit | undefined;
    let engineStatus: RankMapStatus | undefined;
    let highestFence = -1;

    const newestCommit = (): MapCommit | undefined => {
        const commitFromLog = log.state().commit;
        return (commitFromPeers?.commit ?? noCommit) > (commitFromLog?.commit ?? noCommit)
            ? commitFromPeers
            : commitFromLog;
    };

    const currentFence = (): number => {
        highestFence = Math.max(highestFence, log.state().coordinator?.fence ?? -1, engineStatus?.fence ?? -1);
        return highestFence;
    };

    const ownReport = (): PeerReport => ({
        rank,
        incarnation,
        formation: engineStatus?.formation ?? noCommit,
        released: engineStatus?.released ?? noCommit,
        promises: engineStatus?.promises ?? [],
        newestCommit: newestCommit()?.commit ?? initialCommit,
    });

    const recordPeerReport = (received: PeerReport): void => {
        const previous = peerReports.get(received.rank)?.report;
        // A delayed response must not restore the promises of an earlier formation.
        if (
            previous === undefined || previous.incarnation !== received.incarnation
            || received.formation >= previous.formation
        ) {
            peerReports.set(received.rank, { report: received, receivedAt: clock.now() });
        }
        if (received.commit !== undefined && received.commit.commit > (newestCommit()?.commit ?? initialCommit)) {
            commitFromPeers = received.commit;
        }
    };

    const handleExchange = (received: PeerReport): PeerReport => {
        recordPeerReport(received);
        const newest = newestCommit();
        changes.notify("update");
        return {
            ...ownReport(),
            commit: newest !== undefined && newest.commit > received.newestCommit ? newest : undefined,
        };
    };

    /** Exchanges reports with one peer, with a timeout. */
    const exchangeWithPeer = async (peerRank: number): Promise<void> => {
        const timeout = new AbortController();
        const stop = (): void => timeout.abort();
        signal.addEventListener("abort", stop, { once: true });
        void clock.sleep(peerTimeoutMilliseconds, timeout.signal).then(stop);
        const received = await peers.exchange(peerRank, ownReport(), timeout.signal);
        signal.removeEventListener("abort", stop);
        timeout.abort();
        if (received.isOk()) {
            recordPeerReport(received.value);
            changes.notify("update");
        }
    };

    /** Whether `peerRank` may have something that this rank waits for: its promise, or a newer commit. */
    const needsReportOf = (peerRank: number): boolean => {
        const peerReport = peerReports.get(peerRank)?.report;
        const pending = engineStatus === undefined ? undefined : pendingCommit(engineStatus);
        const lacksPromise = peerReport?.formation !== engineStatus?.formation
            || peerReport?.promises.every(made => made.commit !== pending) === true;
        const lacksCommit = (peerReport?.newestCommit ?? initialCommit) > (newestCommit()?.commit ?? initialCommit);
        return lacksCommit || pending !== undefined && lacksPromise;
    };

    const runPeerExchanges = async (peerRank: number): Promise<void> => {
        while (!signal.aborted) {
            await exchangeWithPeer(peerRank);
            await changes.wait(
                "promise",
                needsReportOf(peerRank) ? peerRetryMilliseconds : peerPollMilliseconds,
                signal,
            );
        }
    };

    const peerPromises = (formation: number): MapPromise[] =>
        [...peerReports.values()].flatMap(({ report }) => report.formation === formation ? report.promises : []);

    /** Has the engine load the commit's weights if they are missing, then make the promise. */
    const promise = async (current: RankMapStatus, commit: MapCommit | undefined): Promise<void> => {
        const plan = commit?.plan ?? "";
        if (commit !== undefined && !current.loaded.includes(plan)) {
            const loaded = await engine.prepare(currentFence(), { plan, map: commit.map }, signal);
            if (loaded.isErr()) {
                return;
            }
        }
        const newPromise = await engine.promise(currentFence(), {
            formation: current.formation,
            commit: commit?.commit ?? initialCommit,
            plan,
            previous: current.promises.at(-1)?.commit ?? noCommit,
            leadSteps: options.leadSteps,
        }, signal);
        if (newPromise.isOk()) {
            engineStatus = newPromise.value;
            changes.notify("promise");
        }
    };

    const release = async (current: RankMapStatus, commit: number): Promise<void> => {
        const knownPromises = [...current.promises, ...peerPromises(current.formation)];
        const lastStep = lastStepBeforeSwitch(commit, current.formation, ranks, knownPromises);
        if (lastStep !== undefined) {
            const released = await engine.release(
                currentFence(),
                { formation: current.formation, commit, lastStep },
                signal,
            );
            released.map(newStatus => engineStatus = newStatus);
        }
    };

    /** Runs one round; returns whether the rank waits for a release, in which case the next round must follow soon. */
    const runRound = async (): Promise<boolean> => {
        const answered = await engine.status(signal);
        if (answered.isErr()) {
            return false;
        }
        engineStatus = answered.value;
        const newest = newestCommit();
        const toPromise = commitToPromise(
            engineStatus,
            newest?.commit ?? initialCommit,
            peerPromises(engineStatus.formation),
        );
        if (toPromise !== undefined) {
            await promise(engineStatus, newest);
        }
        const pending = pendingCommit(engineStatus);
        if (pending !== undefined) {
            await release(engineStatus, pending);
        }
        return engineStatus.released === noCommit || pendingCommit(engineStatus) !== undefined;
    };

    const run = async (): Promise<void> => {
        while (!signal.aborted) {
            const isWaitingForRelease = await runRound();
            await changes.wait("update", isWaitingForRelease ? pendingPollMilliseconds : idlePollMilliseconds, signal);
        }
    };

    const prepare = async (
        orderFence: number,
        order: PrepareOrder,
        orderSignal: AbortSignal,
    ): Promise<Result<void, PeerFailure>> => {
        if (!log.isCaughtUp() || clock.now() - startedAt < inFlightOrderMilliseconds) {
            return err({ kind: "refused", reason: `the agent of rank ${rank} has only just started` });
        }
        if (orderFence < currentFence()) {
            return err({ kind: "refused", reason: `fencing number ${orderFence} is older than ${highestFence}` });
        }
        highestFence = orderFence;
        const prepared = await engine.prepare(orderFence, order, orderSignal);
        return prepared.map(() => undefined).mapErr(({ reason }) => ({ kind: "refused", reason }));
    };

    const done = Promise.all([run(), ...otherRanks.map(runPeerExchanges)]).then(() => undefined);
    log.onChange(() => changes.notify("update"), signal);
    return {
        handleExchange,
        prepare,
        ownReport,
        peerReports: () => peerReports,
        newestCommit,
        done,
    };
};
