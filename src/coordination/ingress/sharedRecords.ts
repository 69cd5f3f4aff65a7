/**
 * Reads the followed topics either from the platform's store or from another entry, as `storeReaders.ts` decides, and
 * keeps what was read for the entries that read from this one.
 *
 * The choice is made anew for each poll, and a poll at another entry ends as soon as the choice changes: when that
 * entry falls silent, loses the store or answers nothing usable. A caller gets a failure only if no live entry is
 * served by the store, so "unavailable" means an outage and not the trouble of one entry.
 *
 * Topics are stored apart and may be silent one by one, so whom the store serves is decided for each of them.
 */
import { err, type Result } from "neverthrow";
import type { Clock } from "../../state/types.js";
import { describeTopics, type TopicState } from "./configurationGauges.js";
import type { IngressLog } from "./ingressLog.js";
import { createOutageTurns } from "./outageTurns.js";
import { createRecordCache, type RecordCache } from "./recordCache.js";
import { takeCompleteRead } from "./recordHistory.js";
import type { RevisionOf } from "./recordOrder.js";
import {
    comparePositions,
    type DeploymentTopic,
    type FeedFailure,
    type FeedPosition,
    type FeedTopic,
    feedTopics,
    isDeploymentTopic,
    type RecordBatch,
    type RecordSource,
} from "./recordSource.js";
import { createStoreAccess } from "./storeAccess.js";
import { chooseReadFrom, type ReaderCandidate, type ReadFrom, storeTurnOf } from "./storeReaders.js";
import type { TopicFreshness } from "./topicFreshness.js";

/** Entries of the deployment, other than this one, as sources of records. */
export type RecordPeers = {
    /** Live entries, as sources of a topic. */
    candidates: (topic: FeedTopic) => ReaderCandidate[];
    /** Live entries that say that they have read beyond the position. */
    ahead: (topic: DeploymentTopic, position: FeedPosition) => { host: string; availabilityZone: string; }[];
    /** Entries of the list that have not been heard. */
    unheard: () => { host: string; availabilityZone: string; }[];
    sourceOf: (host: string) => RecordSource;
};

export type SharedRecords = {
    /** From the store or from another entry. */
    source: RecordSource;
    /** From the store only. */
    store: RecordSource;
    /** What this entry has read, for other entries. */
    cache: RecordCache;
    /** Topics for which the store left the latest call of this entry without an answer. */
    unserved: () => FeedTopic[];
    /** Whether other entries can read all topics from this one. */
    hasRead: () => boolean;
    /** Position of this entry among all live ones when they take turns with calls to the store. */
    storeTurn: () => number;
    /** How far each topic was read, and from where. */
    topicStates: () => TopicState[];
};

export type SharedRecordsOptions = {
    host: string;
    availabilityZone: string;
    store: RecordSource;
    peers: RecordPeers;
    freshness: TopicFreshness;
    revisionOf: RevisionOf;
    /** Called when the other entries should soon hear what the store answered, or that it did not. */
    onNews: () => void;
    clock: Clock;
    log: IngressLog;
    signal: AbortSignal;
};

/** Within this time an entry that started at the same moment has been heard. */
const startMilliseconds = 700;
const startCheckMilliseconds = 20;
/** How soon a poll at an entry ends that should not be read from any more. */
const choiceCheckMilliseconds = 100;
/** Time for which nothing is read from an entry that gave no usable answer. */
const avoidMilliseconds = 3_000;
/** Puts records that are written within this time into one response, also for the entries that read from this one. */
const storePollPauseMilliseconds = 100;
/** Longer than an unanswered probe of one entry, and shorter than that of two in turn. */
const storeSilenceMilliseconds = 1_700;
/** Interval at which an entry that the store turns away tries again while others are served. */
const regainIntervalMilliseconds = 2_000;
/** Time for which a complete read from before what is known is taken for that of a source that lags. */
const laggingMilliseconds = 5_000;
const laggingRetryMilliseconds = 200;

export const createSharedRecords = (options: SharedRecordsOptions): SharedRecords => {
    const { host, availabilityZone, peers, freshness, revisionOf, onNews, clock, log, signal } = options;
    const cache = createRecordCache(clock, revisionOf);
    const startedAt = clock.now();
    const avoidedUntil = new Map<string, number>();
    /** Topics that the store itself must be asked for, as it came back from an older copy or dropped its history. */
    const topicsToReread = new Set<FeedTopic>();
    const lastPollAt = new Map<FeedTopic, number>();
    /** By topic, who gave the latest records. */
    const origins = new Map<FeedTopic, string>();
    /** Running calls to other entries. */
    const peerCalls = new Map<AbortController, { peer: string; topic: FeedTopic; }>();

    const storeAccess = createStoreAccess({
        store: options.store,
        freshness,
        onTruncated: () => feedTopics.forEach(topic => topicsToReread.add(topic)),
        onNews,
        clock,
        log,
    });
    const { isServed, unserved } = storeAccess;

    const hasRead = (): boolean => feedTopics.every(topic => cache.positionOf(topic) !== undefined);

    const store: RecordSource = {
        readAll: storeAccess.readAll,
        readNewer: async (topic, from, waitMilliseconds, callSignal) => {
            const result = await storeAccess.readNewer(topic, from, waitMilliseconds, callSignal);
            if (result.isOk()) {
                keep(topic, result.value, "store");
            }
            return result;
        },
    };

    /** Keeps records that were read on from a known position. */
    const keep = (topic: FeedTopic, batch: RecordBatch, origin: string): void => {
        cache.append(topic, batch);
        if (batch.records.length > 0) {
            origins.set(topic, origin);
        }
    };

    const isAvoided = (peer: string): boolean => (avoidedUntil.get(peer) ?? -Infinity) > clock.now();

    const candidates = (topic: FeedTopic): ReaderCandidate[] =>
        peers.candidates(topic).map(candidate => ({
            ...candidate,
            isServed: candidate.isServed && !isAvoided(candidate.host),
        }));

    const self = (topic: FeedTopic): ReaderCandidate & { isStarting: boolean; } => ({
        host,
        availabilityZone,
        isServed: isServed(topic),
        hasRead: hasRead(),
        isStarting: clock.now() - startedAt < startMilliseconds,
    });

    /** Whether no entry that this one hears has been answered by the store for a while. */
    const isStoreSilent = (topic: FeedTopic): boolean =>
        clock.now() - Math.max(startedAt, freshness.lastAnswerAt(topic)) > storeSilenceMilliseconds;

    const choose = (topic: FeedTopic): ReadFrom =>
        isStoreSilent(topic)
            ? { kind: "none" }
            : chooseReadFrom({ self: self(topic), peers: candidates(topic), unheard: peers.unheard() });

    /** The other topics wait for the list of entries, which tells whom to read them from. */
    const chooseFor = (topic: FeedTopic): ReadFrom =>
        self(topic).isStarting && topic !== "entries" && cache.positionOf("entries") === undefined
            ? { kind: "wait" }
            : choose(topic);

    const avoid = (peer: string, reason: string): void => {
        avoidedUntil.set(peer, clock.now() + avoidMilliseconds);
        log.stateChange("records not read from this entry for now", { entry: peer, reason });
    };

    const storeTurn = (topic: FeedTopic): number => storeTurnOf(self(topic), candidates(topic));

    const takeOutageTurn = createOutageTurns({ isSilent: isStoreSilent, turnOf: storeTurn, clock });

    /** Reads from an entry; undefined if it gave nothing usable, or should not be read from any more. */
    const readFromPeer = async (
        peer: string,
        topic: FeedTopic,
        read: (source: RecordSource, callSignal: AbortSignal) => Promise<Result<RecordBatch, FeedFailure>>,
        callerSignal: AbortSignal,
    ): Promise<Result<RecordBatch, FeedFailure> | undefined> => {
        const call = new AbortController();
        const abort = (): void => call.abort();
        callerSignal.addEventListener("abort", abort, { once: true });
        peerCalls.set(call, { peer, topic });
        const result = await read(peers.sourceOf(peer), call.signal);
        const wasAborted = call.signal.aborted;
        callerSignal.removeEventListener("abort", abort);
        peerCalls.delete(call);
        if (result.isOk() || result.error.kind === "truncated") {
            return result;
        }
        // The caller ends a poll that brings nothing though other entries have newer records.
        if (!wasAborted || callerSignal.aborted && !signal.aborted) {
            avoid(peer, result.error.reason);
        }
        return undefined;
    };

    const unavailable = (reason: string): Result<RecordBatch, FeedFailure> => err({ kind: "unavailable", reason });

    /** One read as chosen; undefined if it gave nothing usable and the choice is to be made anew. */
    const readOnce = async (
        topic: FeedTopic,
        choice: ReadFrom,
        readStore: () => Promise<Result<RecordBatch, FeedFailure>>,
        readPeer: (source: RecordSource, callSignal: AbortSignal) => Promise<Result<RecordBatch, FeedFailure>>,
        callSignal: AbortSignal,
    ): Promise<Result<RecordBatch, FeedFailure> | undefined> => {
        if (choice.kind === "wait") {
            await clock.sleep(startCheckMilliseconds, callSignal);
            return undefined;
        }
        if (choice.kind === "peer") {
            return readFromPeer(choice.host, topic, readPeer, callSignal);
        }
        if (choice.kind === "none" && !takeOutageTurn(topic)) {
            return unavailable("the store serves no live entry");
        }
        const result = await readStore();
        const isTurnedAway = result.isErr() && result.error.kind === "unavailable" && !callSignal.aborted;
        return isTurnedAway && choose(topic).kind !== "none" ? undefined : result;
    };

    /** An entry that has read all topics, in the own zone if there is one. */
    const informedPeer = (topic: FeedTopic): ReaderCandidate | undefined => {
        const informed = candidates(topic).filter(peer => peer.hasRead && !isAvoided(peer.host));
        return informed.find(peer => peer.availabilityZone === availabilityZone) ?? informed[0];
    };

    const readAll = async (
        topic: FeedTopic,
        callSignal: AbortSignal,
    ): Promise<Result<RecordBatch, FeedFailure>> => {
        const startedReadingAt = clock.now();
        let laggingSince: number | undefined;
        while (!callSignal.aborted) {
            const mustAskStore = topicsToReread.has(topic);
            const choice: ReadFrom = mustAskStore && isServed(topic) ? { kind: "store" } : chooseFor(topic);
            // Other entries also know what the store has forgotten, so an entry that starts asks them first.
            const informed = mustAskStore || choice.kind === "peer"
                ? undefined
                : informedPeer(topic);
            const isAskingPeer = informed !== undefined && choice.kind === "store";
            const result = isAskingPeer
                ? await readFromInformed(informed.host, topic, callSignal)
                : await readOnce(
                    topic,
                    choice,
                    () => store.readAll(topic, callSignal),
                    (source, peerSignal) => source.readAll(topic, peerSignal),
                    callSignal,
                );
            const origin = isAskingPeer ? informed.host : choice.kind === "peer" ? choice.host : "store";
            if (result?.isOk() && isLagging(topic, result.value)) {
                laggingSince ??= clock.now();
                if (clock.now() - laggingSince < laggingMilliseconds) {
                    log.stateChange("older records not taken", { topic, ...result.value.next, from: origin });
                    if (origin !== "store") {
                        avoid(origin, "its records are older than those known");
                    }
                    await clock.sleep(laggingRetryMilliseconds, callSignal);
                    continue;
                }
            }
            if (result?.isOk()) {
                topicsToReread.delete(topic);
                const historySource = origin === "store" ? options.store : undefined;
                await takeCompleteRead(cache, historySource, topic, result.value, callSignal);
                origins.set(topic, origin);
                log.stateChange("topic read", {
                    topic,
                    records: result.value.records.length,
                    ...result.value.next,
                    from: origin,
                    afterMilliseconds: Math.round(clock.now() - startedReadingAt),
                });
            }
            if (result !== undefined) {
                return result.isOk() ? cache.readAll(topic, callSignal) : result;
            }
        }
        return unavailable("the read was aborted");
    };

    /** Whether a complete read is from before what this entry has read. */
    const isLagging = (topic: FeedTopic, { next }: RecordBatch): boolean => {
        const known = cache.positionOf(topic);
        return known !== undefined && comparePositions(next, known) < 0;
    };

    const readFromInformed = async (
        peer: string,
        topic: FeedTopic,
        callSignal: AbortSignal,
    ): Promise<Result<RecordBatch, FeedFailure> | undefined> => {
        const result = await peers.sourceOf(peer).readAll(topic, callSignal);
        if (result.isErr()) {
            avoid(peer, result.error.reason);
            return undefined;
        }
        return result;
    };

    /** Reads from an entry that says that it has newer records; undefined if there is none, or it gave none. */
    const readFromAhead = async (
        topic: FeedTopic,
        from: FeedPosition,
        callSignal: AbortSignal,
    ): Promise<Result<RecordBatch, FeedFailure> | undefined> => {
        const ahead = isDeploymentTopic(topic) && freshness.isBehind(topic)
            ? peers.ahead(topic, from).filter(peer => !isAvoided(peer.host))
            : [];
        const peer = ahead.find(entry => entry.availabilityZone === availabilityZone) ?? ahead[0];
        if (peer === undefined) {
            return undefined;
        }
        const result = await peers.sourceOf(peer.host).readNewer(topic, from, 0, callSignal);
        if (result.isOk() && result.value.records.length > 0) {
            keep(topic, result.value, peer.host);
            return result;
        }
        if (result.isErr() && result.error.kind === "truncated") {
            return result;
        }
        if (!callSignal.aborted) {
            avoid(peer.host, result.isErr() ? result.error.reason : "it has no newer records");
        }
        return undefined;
    };

    const readNewer = async (
        topic: FeedTopic,
        from: FeedPosition,
        waitMilliseconds: number,
        callSignal: AbortSignal,
    ): Promise<Result<RecordBatch, FeedFailure>> => {
        const deadline = clock.now() + waitMilliseconds;
        const remaining = (): number => Math.max(0, deadline - clock.now());
        const readStore = async (): Promise<Result<RecordBatch, FeedFailure>> => {
            const pause = (lastPollAt.get(topic) ?? -Infinity) + storePollPauseMilliseconds - clock.now();
            if (pause > 0) {
                await clock.sleep(pause, callSignal);
            }
            const result = await store.readNewer(topic, from, remaining(), callSignal);
            lastPollAt.set(topic, clock.now());
            return result;
        };
        while (!callSignal.aborted) {
            const ahead = await readFromAhead(topic, from, callSignal);
            if (ahead !== undefined) {
                return ahead;
            }
            const choice = choose(topic);
            const result = await readOnce(
                topic,
                choice,
                readStore,
                (source, peerSignal) => source.readNewer(topic, from, remaining(), peerSignal),
                callSignal,
            );
            if (result?.isOk() && choice.kind === "peer") {
                keep(topic, result.value, choice.host);
            }
            if (result !== undefined) {
                return result;
            }
        }
        return unavailable("the poll was aborted");
    };

    /** Tries the store again from time to time, if this entry would otherwise read for its zone. */
    const regainStore = async (): Promise<void> => {
        while (!signal.aborted) {
            await clock.sleep(regainIntervalMilliseconds, signal);
            await Promise.all(
                unserved().map(async topic => {
                    const position = cache.positionOf(topic);
                    const isPreceded = candidates(topic).some(peer =>
                        peer.isServed && peer.availabilityZone === availabilityZone && peer.host < host
                    );
                    if (!isPreceded && position !== undefined && choose(topic).kind === "peer") {
                        await store.readNewer(topic, position, 0, signal);
                    }
                }),
            );
        }
    };

    /** Ends the calls to an entry that should not be read from any more. */
    const watchPeerCalls = async (): Promise<void> => {
        while (!signal.aborted) {
            await clock.sleep(choiceCheckMilliseconds, signal);
            for (const [call, { peer, topic }] of [...peerCalls]) {
                const choice = choose(topic);
                if (choice.kind !== "peer" || choice.host !== peer) {
                    call.abort();
                }
            }
        }
    };

    void regainStore();
    void watchPeerCalls();
    return {
        source: { readAll, readNewer },
        store,
        cache,
        unserved,
        hasRead,
        storeTurn: () => storeTurn("upstreams"),
        topicStates: () => describeTopics({ cache, storeAccess, freshness, origins, clock }),
    };
};
