/**
 * Takes one rank of a group from map to map, together with the agents of the other ranks and without a coordinator.
 *
 * One task asks the engine where it is, has it promise the commit that the rules call for, and releases the commit once
 * all ranks' promises are there; one task for each peer exchanges news with it. The engine holds the promise, so a new
 * agent goes on where the old one stopped. A rank whose engine came back in a new formation runs no step until the ranks of that formation
 * have all promised; the same task brings that about. Nothing here waits for the log: news of a commit also comes from
 * the peers.
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
import { createChanges } from "./changes.js";
import type { GroupLog, PeerFailure, PrepareOrder, RankEngine, RankNews, RankPeers } from "./mapParts.js";
import { commitToPromise, switchStep } from "./promiseRules.js";

const openIntervalMilliseconds = 5;
const idleIntervalMilliseconds = 100;
const peerRetryMilliseconds = 20;
const peerIntervalMilliseconds = 1_000;
const peerTimeoutMilliseconds = 500;
/** How long a new agent waits for orders that its predecessor may have under way to its engine. */
const orderFlightMilliseconds = 1_000;
/** Steps between a promise and the first step that may have to wait, enough for a round among the agents. */
export const defaultLeadSteps = 3;

export type MapSwitchOptions = {
    rank: number;
    /** Ranks in the group. */
    ranks: number;
    /** Names this start of the agent. */
    incarnation: string;
    engine: RankEngine;
    peers: RankPeers;
    log: GroupLog;
    leadSteps: number;
    clock: Clock;
    signal: AbortSignal;
};

export type MapSwitch = {
    /** Takes a peer's news and gives ours. */
    answer: (news: RankNews) => RankNews;
    /** Loads a map that the coordinator with `fence` plans; refuses an old fencing number. */
    prepare: (fence: number, order: PrepareOrder, signal: AbortSignal) => Promise<Result<void, PeerFailure>>;
    news: () => RankNews;
    /** The last news of each peer, by rank, with the time it came. */
    heard: () => ReadonlyMap<number, { news: RankNews; at: number; }>;
    newestCommit: () => MapCommit | undefined;
    /** Resolves when the tasks have ended, after the signal aborted. */
    done: Promise<void>;
};

/** Starts the tasks of one rank. */
export const startMapSwitch = (options: MapSwitchOptions): MapSwitch => {
    const { rank, ranks, incarnation, engine, peers, log, clock, signal } = options;
    const startedAt = clock.now();
    const changes = createChanges(clock);
    const heard = new Map<number, { news: RankNews; at: number; }>();
    const others = [...Array(ranks).keys()].filter(other => other !== rank);
    let taught: MapCommit | undefined;
    let status: RankMapStatus | undefined;
    let highestFence = -1;

    const newestCommit = (): MapCommit | undefined => {
        const logged = log.state().commit;
        return (taught?.commit ?? noCommit) > (logged?.commit ?? noCommit) ? taught : logged;
    };

    const fence = (): number => {
        highestFence = Math.max(highestFence, log.state().coordinator?.fence ?? -1, status?.fence ?? -1);
        return highestFence;
    };

    const news = (): RankNews => ({
        rank,
        incarnation,
        formation: status?.formation ?? noCommit,
        released: status?.released ?? noCommit,
        promises: status?.promises ?? [],
        newestCommit: newestCommit()?.commit ?? initialCommit,
    });

    const hear = (told: RankNews): void => {
        const before = heard.get(told.rank)?.news;
        // An answer that took long must not put back the promises of an earlier formation.
        if (before === undefined || before.incarnation !== told.incarnation || told.formation >= before.formation) {
            heard.set(told.rank, { news: told, at: clock.now() });
        }
        if (told.commit !== undefined && told.commit.commit > (newestCommit()?.commit ?? initialCommit)) {
            taught = told.commit;
        }
    };

    const answer = (told: RankNews): RankNews => {
        hear(told);
        const newest = newestCommit();
        changes.announce("news");
        return { ...news(), commit: newest !== undefined && newest.commit > told.newestCommit ? newest : undefined };
    };

    /** Exchanges news with one peer, giving up after the time-out. */
    const askPeer = async (other: number): Promise<void> => {
        const limit = new AbortController();
        const stop = (): void => limit.abort();
        signal.addEventListener("abort", stop, { once: true });
        void clock.sleep(peerTimeoutMilliseconds, limit.signal).then(stop);
        const told = await peers.exchange(other, news(), limit.signal);
        signal.removeEventListener("abort", stop);
        limit.abort();
        if (told.isOk()) {
            hear(told.value);
            changes.announce("news");
        }
    };

    /** Whether `other` may know something that this rank waits for: its promise, or a commit. */
    const needs = (other: number): boolean => {
        const told = heard.get(other)?.news;
        const open = status === undefined ? undefined : pendingCommit(status);
        const lacksPromise = told?.formation !== status?.formation
            || told?.promises.every(made => made.commit !== open) === true;
        const lacksCommit = (told?.newestCommit ?? initialCommit) > (newestCommit()?.commit ?? initialCommit);
        return lacksCommit || open !== undefined && lacksPromise;
    };

    const runPeer = async (other: number): Promise<void> => {
        while (!signal.aborted) {
            await askPeer(other);
            await changes.wait("promise", needs(other) ? peerRetryMilliseconds : peerIntervalMilliseconds, signal);
        }
    };

    const promisesHeard = (formation: number): MapPromise[] =>
        [...heard.values()].flatMap(({ news: told }) => told.formation === formation ? told.promises : []);

    /** Has the engine load the commit's weights, if it lacks them, and make the promise. */
    const promise = async (present: RankMapStatus, commit: MapCommit | undefined): Promise<void> => {
        const plan = commit?.plan ?? "";
        if (commit !== undefined && !present.loaded.includes(plan)) {
            const loaded = await engine.prepare(fence(), { plan, map: commit.map }, signal);
            if (loaded.isErr()) {
                return;
            }
        }
        const made = await engine.promise(fence(), {
            formation: present.formation,
            commit: commit?.commit ?? initialCommit,
            plan,
            previous: present.promises.at(-1)?.commit ?? noCommit,
            leadSteps: options.leadSteps,
        }, signal);
        if (made.isOk()) {
            status = made.value;
            changes.announce("promise");
        }
    };

    const release = async (present: RankMapStatus, commit: number): Promise<void> => {
        const known = [...present.promises, ...promisesHeard(present.formation)];
        const lastStep = switchStep(commit, present.formation, ranks, known);
        if (lastStep !== undefined) {
            const released = await engine.release(fence(), { formation: present.formation, commit, lastStep }, signal);
            released.map(now => status = now);
        }
    };

    /** One round; gives whether a promise is open, so that the next round must come soon. */
    const round = async (): Promise<boolean> => {
        const present = await engine.status(signal);
        if (present.isErr()) {
            return false;
        }
        status = present.value;
        const newest = newestCommit();
        const toPromise = commitToPromise(status, newest?.commit ?? initialCommit, promisesHeard(status.formation));
        if (toPromise !== undefined) {
            await promise(status, newest);
        }
        const open = pendingCommit(status);
        if (open !== undefined) {
            await release(status, open);
        }
        return status.released === noCommit || pendingCommit(status) !== undefined;
    };

    const run = async (): Promise<void> => {
        while (!signal.aborted) {
            const open = await round();
            await changes.wait("news", open ? openIntervalMilliseconds : idleIntervalMilliseconds, signal);
        }
    };

    const prepare = async (
        given: number,
        order: PrepareOrder,
        until: AbortSignal,
    ): Promise<Result<void, PeerFailure>> => {
        if (!log.atEnd() || clock.now() - startedAt < orderFlightMilliseconds) {
            return err({ kind: "refused", reason: `the agent of rank ${rank} has only just started` });
        }
        if (given < fence()) {
            return err({ kind: "refused", reason: `fencing number ${given} is older than ${highestFence}` });
        }
        highestFence = given;
        const prepared = await engine.prepare(given, order, until);
        return prepared.map(() => undefined).mapErr(({ reason }) => ({ kind: "refused", reason }));
    };

    const done = Promise.all([run(), ...others.map(runPeer)]).then(() => undefined);
    log.onChange(() => changes.announce("news"), signal);
    return { answer, prepare, news, heard: () => heard, newestCommit, done };
};
