/**
 * Plans and commits expert maps for a group, from whichever agent holds the group's last claim.
 *
 * An agent claims the group by appending to its stream when there is no coordinator or the present one has not been
 * heard of for a while; the offset of the claim is the fencing number. The coordinator plans only while all ranks run
 * the newest commit, has every rank load the new weights, and appends the commit once all have answered. A coordinator
 * that was replaced meanwhile appends in vain, since its commit carries an old fencing number.
 */
import { Result } from "neverthrow";
import type { ExpertMap } from "../state/expertMap.js";
import type { Coordinator, GroupRecord } from "../state/groupFold.js";
import { initialCommit } from "../state/mapPromise.js";
import type { Clock } from "../state/types.js";
import type { LogStream } from "./logStream.js";
import type { GroupLog, PeerFailure, PrepareOrder, RankPeers } from "./mapParts.js";
import type { MapSwitch } from "./mapSwitch.js";

const roundMilliseconds = 500;
/** Silence after which the coordinator counts as gone; each further rank waits a little longer, so that one claims. */
const suspicionMilliseconds = 5_000;
const suspicionStepMilliseconds = 1_000;
const snapshotShareOfRetention = 0.25;
const prepareAttempts = 3;
const newsMaximumAgeMilliseconds = 3_000;

export type MapCoordinatorOptions = {
    rank: number;
    ranks: number;
    incarnation: string;
    mapSwitch: MapSwitch;
    peers: RankPeers;
    log: GroupLog;
    stream: LogStream<GroupRecord>;
    /** The map that should follow `present` (undefined for the initial map), or undefined to keep it. */
    plan: (present: ExpertMap | undefined) => Promise<ExpertMap | undefined>;
    newId: () => string;
    /** How long the log keeps a record; the coordinator repeats the state four times in it. */
    retentionMilliseconds: number;
    clock: Clock;
    signal: AbortSignal;
};

/** Runs until the signal aborts. */
export const runMapCoordinator = async (options: MapCoordinatorOptions): Promise<void> => {
    const { rank, ranks, incarnation, mapSwitch, peers, log, stream, clock, signal } = options;
    const others = [...Array(ranks).keys()].filter(other => other !== rank);
    let quietSince = clock.now();
    let quietFence: number | undefined = -1;
    let repeatedAt = clock.now();

    const isHeard = (coordinator: Coordinator | undefined): boolean => {
        const told = coordinator === undefined ? undefined : mapSwitch.heard().get(coordinator.rank);
        return told !== undefined
            && told.news.incarnation === coordinator?.incarnation
            && clock.now() - told.at < newsMaximumAgeMilliseconds;
    };

    /** Whether the present coordinator, if any, has been silent for this rank's share of patience. */
    const suspects = (coordinator: Coordinator | undefined): boolean => {
        if (isHeard(coordinator) || quietFence !== coordinator?.fence) {
            quietSince = clock.now();
            quietFence = coordinator?.fence;
        }
        const patience = coordinator === undefined ? 0 : suspicionMilliseconds;
        return clock.now() - quietSince >= patience + rank * suspicionStepMilliseconds;
    };

    /** Whether every rank has said lately that it runs the newest commit, all in one formation. */
    const isSettled = (): boolean => {
        const own = mapSwitch.news();
        return own.released === own.newestCommit && others.every(other => {
            const told = mapSwitch.heard().get(other);
            return told !== undefined
                && clock.now() - told.at < newsMaximumAgeMilliseconds
                && told.news.formation === own.formation
                && told.news.released === own.newestCommit;
        });
    };

    /** Repeats an order that got lost; repeating is harmless, since the plan names the weights. */
    const prepareRank = async (
        other: number,
        fence: number,
        order: PrepareOrder,
    ): Promise<Result<void, PeerFailure>> => {
        const attempt = (): Promise<Result<void, PeerFailure>> =>
            other === rank ? mapSwitch.prepare(fence, order, signal) : peers.prepare(other, fence, order, signal);
        let prepared = await attempt();
        for (let repeat = 1; repeat < prepareAttempts && prepared.isErr(); repeat++) {
            prepared = prepared.error.kind === "unreachable" ? await attempt() : prepared;
        }
        return prepared;
    };

    const prepareAll = async (fence: number, order: PrepareOrder): Promise<Result<void[], PeerFailure>> =>
        Result.combine(await Promise.all([rank, ...others].map(other => prepareRank(other, fence, order))));

    const lead = async ({ fence }: Coordinator): Promise<void> => {
        if (!isSettled()) {
            return;
        }
        const newest = mapSwitch.newestCommit();
        const map = await options.plan(newest?.map);
        if (map === undefined) {
            return;
        }
        const plan = options.newId();
        const prepared = await prepareAll(fence, { plan, map });
        const stillNewest = mapSwitch.news().newestCommit === (newest?.commit ?? initialCommit);
        if (prepared.isOk() && stillNewest) {
            // A lost answer needs no care: whether the commit is in the stream shows when it is read.
            await stream.append({ kind: "commit", fence, plan, map }, signal);
        }
    };

    /** Repeats the state in a snapshot before retention drops the records that it came from. */
    const repeatState = async (): Promise<void> => {
        if (clock.now() - repeatedAt < options.retentionMilliseconds * snapshotShareOfRetention) {
            return;
        }
        const appended = await stream.append({ kind: "snapshot", state: log.state() }, signal);
        repeatedAt = appended.isOk() ? clock.now() : repeatedAt;
    };

    while (!signal.aborted) {
        const { coordinator } = log.state();
        if (coordinator?.incarnation === incarnation) {
            await repeatState();
            await lead(coordinator);
        }
        else if (log.atEnd() && suspects(coordinator)) {
            await stream.append({ kind: "coordinate", rank, incarnation }, signal);
            quietSince = clock.now();
        }
        await clock.sleep(roundMilliseconds, signal);
    }
};
