/**
 * Plans and commits expert maps for a group, in the agent that holds the group's last coordinator claim.
 *
 * An agent claims the group by appending to its stream if there is no coordinator, or if the current one has not been
 * heard from for a while. The offset of the claim is the fencing token. The coordinator plans only while all ranks run
 * the newest commit. It has every rank load the new weights, and appends the commit once all have confirmed. A commit
 * of a coordinator that has been replaced in the meantime has no effect, since it carries an outdated fencing token.
 */
import { Result } from "neverthrow";
import type { ExpertMap } from "../state/expertMap.js";
import type { Coordinator, GroupRecord } from "../state/groupState.js";
import { initialCommit } from "../state/mapPromise.js";
import type { Clock } from "../state/types.js";
import type { LogStream } from "./logStream.js";
import type { MapSwitch } from "./mapSwitch.js";
import type { GroupLog, PeerFailure, PrepareOrder, RankPeers } from "./mapSwitchInterfaces.js";

const pollMilliseconds = 500;
/**
 * Time without a recent report of the coordinator after which rank 0 claims the group. Each further rank waits a little
 * longer, so that a single one claims it.
 */
const coordinatorTimeoutMilliseconds = 5_000;
const claimDelayPerRankMilliseconds = 1_000;
const snapshotIntervalFractionOfRetention = 0.25;
const maximumPrepareAttempts = 3;
const reportMaximumAgeMilliseconds = 3_000;

export type MapCoordinatorOptions = {
    rank: number;
    ranks: number;
    incarnation: string;
    mapSwitch: MapSwitch;
    peers: RankPeers;
    log: GroupLog;
    stream: LogStream<GroupRecord>;
    /** Returns the map that replaces `present` (undefined for the initial map), or undefined to keep it. */
    plan: (present: ExpertMap | undefined) => Promise<ExpertMap | undefined>;
    newId: () => string;
    /** Retention of the log, in which the coordinator writes four snapshots of the state. */
    retentionMilliseconds: number;
    clock: Clock;
    signal: AbortSignal;
};

/** Runs until the signal aborts. */
export const runMapCoordinator = async (options: MapCoordinatorOptions): Promise<void> => {
    const { rank, ranks, incarnation, mapSwitch, peers, log, stream, clock, signal } = options;
    const otherRanks = [...Array(ranks).keys()].filter(other => other !== rank);
    let lastHeardAt = clock.now();
    let monitoredFence: number | undefined = -1;
    let snapshotAt = clock.now();

    const isReachable = (coordinator: Coordinator | undefined): boolean => {
        const received = coordinator === undefined ? undefined : mapSwitch.peerReports().get(coordinator.rank);
        return received !== undefined
            && received.report.incarnation === coordinator?.incarnation
            && clock.now() - received.receivedAt < reportMaximumAgeMilliseconds;
    };

    /**
     * Whether there has been no reachable coordinator for as long as this rank must wait before it claims the group.
     */
    const mustClaim = (coordinator: Coordinator | undefined): boolean => {
        if (isReachable(coordinator) || monitoredFence !== coordinator?.fence) {
            lastHeardAt = clock.now();
            monitoredFence = coordinator?.fence;
        }
        const timeoutMilliseconds = coordinator === undefined ? 0 : coordinatorTimeoutMilliseconds;
        return clock.now() - lastHeardAt >= timeoutMilliseconds + rank * claimDelayPerRankMilliseconds;
    };

    /** Whether every rank has recently reported that it runs the newest commit, all in one formation. */
    const isSettled = (): boolean => {
        const ownReport = mapSwitch.ownReport();
        return ownReport.released === ownReport.newestCommit && otherRanks.every(other => {
            const received = mapSwitch.peerReports().get(other);
            return received !== undefined
                && clock.now() - received.receivedAt < reportMaximumAgeMilliseconds
                && received.report.formation === ownReport.formation
                && received.report.released === ownReport.newestCommit;
        });
    };

    /** Repeats an unanswered order. Orders are idempotent, since the plan identifies the weights. */
    const prepareRank = async (
        targetRank: number,
        fence: number,
        order: PrepareOrder,
    ): Promise<Result<void, PeerFailure>> => {
        const attempt = (): Promise<Result<void, PeerFailure>> =>
            targetRank === rank
                ? mapSwitch.prepare(fence, order, signal)
                : peers.prepare(targetRank, fence, order, signal);
        let prepared = await attempt();
        for (let attemptCount = 1; attemptCount < maximumPrepareAttempts && prepared.isErr(); attemptCount++) {
            prepared = prepared.error.kind === "unreachable" ? await attempt() : prepared;
        }
        return prepared;
    };

    const prepareAll = async (fence: number, order: PrepareOrder): Promise<Result<void[], PeerFailure>> =>
        Result.combine(await Promise.all([rank, ...otherRanks].map(other => prepareRank(other, fence, order))));

    const planAndCommit = async ({ fence }: Coordinator): Promise<void> => {
        if (!isSettled()) {
            return;
        }
        const newest = mapSwitch.newestCommit();
        const map = await options.plan(newest?.map);
        if (map === undefined) {
            return;
        }
        const planId = options.newId();
        const prepared = await prepareAll(fence, { plan: planId, map });
        const isStillNewest = mapSwitch.ownReport().newestCommit === (newest?.commit ?? initialCommit);
        if (prepared.isOk() && isStillNewest) {
            // A lost response needs no handling: whether the commit is in the stream shows when the stream is read.
            await stream.append({ kind: "commit", fence, plan: planId, map }, signal);
        }
    };

    /** Writes a snapshot of the state before retention drops the records from which the state was derived. */
    const appendSnapshot = async (): Promise<void> => {
        if (clock.now() - snapshotAt < options.retentionMilliseconds * snapshotIntervalFractionOfRetention) {
            return;
        }
        const appended = await stream.append({ kind: "snapshot", state: log.state() }, signal);
        snapshotAt = appended.isOk() ? clock.now() : snapshotAt;
    };

    while (!signal.aborted) {
        const { coordinator } = log.state();
        if (coordinator?.incarnation === incarnation) {
            await appendSnapshot();
            await planAndCommit(coordinator);
        }
        else if (log.isCaughtUp() && mustClaim(coordinator)) {
            await stream.append({ kind: "coordinate", rank, incarnation }, signal);
            lastHeardAt = clock.now();
        }
        await clock.sleep(pollMilliseconds, signal);
    }
};
