/**
 * Reads the followed topics either from the platform's store or from another entry, as `storeReaders.ts` decides, and
 * keeps what was read for the entries that read from this one.
 *
 * The choice is made anew for each poll, and a poll at another entry ends as soon as the choice changes: when that
 * entry falls silent, loses the store or answers nothing usable. A caller gets a failure only if no live entry is
 * served by the store, so "unavailable" means an outage and not the trouble of one entry.
 */
import { err, type Result } from "neverthrow";
import type { Clock } from "../../state/types.js";
import type { IngressLog } from "./ingressLog.js";
import { createRecordCache, type RecordCache } from "./recordCache.js";
import {
    type FeedFailure,
    type FeedPosition,
    type FeedTopic,
    feedTopics,
    type RecordBatch,
    type RecordSource,
} from "./recordSource.js";
import { chooseReadFrom, type ReaderCandidate, type ReadFrom, storeTurnOf } from "./storeReaders.js";

/** Entries of the deployment, other than this one, as sources of records. */
export type RecordPeers = {
    /** Live entries. */
    candidates: () => ReaderCandidate[];
    /** Entries of the list that have not been heard. */
    unheard: () => { host: string; availabilityZone: string; }[];
    sourceOf: (host: string) => RecordSource;
    /** When the store last answered another entry; -Infinity if that is not known. */
    latestStoreContact: () => number;
};

export type SharedRecords = {
    /** From the store or from another entry. */
    source: RecordSource;
    /** From the store only. */
    store: RecordSource;
    /** What this entry has read, for other entries. */
    cache: RecordCache;
    /** Whether the store answered the latest call of this entry; true before the first. */
    isServed: () => boolean;
    /** Whether other entries can read all topics from this one. */
    hasRead: () => boolean;
    /** Position of this entry among all live ones when they take turns with calls to the store. */
    storeTurn: () => number;
    /** How far each topic was read, and from where. */
    topicStates: () => TopicState[];
};

export type TopicState = {
    topic: FeedTopic;
    /** The position after the last record that was read; undefined until the topic was read once. */
    position: FeedPosition | undefined;
    /** Host of the entry that gave the latest records, or `store`. */
    from: string | undefined;
    /** Milliseconds since the store answered a read of this topic to this entry; undefined if it never did. */
    storeAnswerAge: number | undefined;
};

export type SharedRecordsOptions = {
    host: string;
    availabilityZone: string;
    store: RecordSource;
    peers: RecordPeers;
    /** Called after each response of the store to this entry, with the time since the one before. */
    onStoreContact: (milliseconds: number) => void;
    /** Called when `isServed` has changed. */
    onServedChange: () => void;
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
/**
 * Interval of calls to a store that serves no entry, for the entry with the first turn. It grows with the square of the
 * turn, so that all entries together make about four calls a second.
 */
const outageRetryMilliseconds = 400;
/** Interval at which an entry that the store turns away tries again while others are served. */
const regainIntervalMilliseconds = 2_000;

export const createSharedRecords = (options: SharedRecordsOptions): SharedRecords => {
    const { host, availabilityZone, peers, onStoreContact, onServedChange, clock, log, signal } = options;
    const cache = createRecordCache(clock);
    const startedAt = clock.now();
    const avoidedUntil = new Map<string, number>();
    /** Topics that the store itself must be asked for, as it came back from an older copy or dropped its history. */
    const topicsToReread = new Set<FeedTopic>();
    const lastPollAt = new Map<FeedTopic, number>();
    const storeAnsweredAt = new Map<FeedTopic, number>();
    /** By topic, who gave the latest records. */
    const origins = new Map<FeedTopic, string>();
    /** Running calls to other entries, with the entries' hosts. */
    const peerCalls = new Map<AbortController, string>();
    let served = true;
    let ownContactAt: number | undefined;
    let nextOutageTryAt = -Infinity;

    const hasRead = (): boolean => feedTopics.every(topic => cache.positionOf(topic) !== undefined);

    const setServed = (isServedNow: boolean, reason: string): void => {
        if (served !== isServedNow) {
            served = isServedNow;
            log.stateChange(served ? "store serves this entry again" : "store does not serve this entry", { reason });
            onServedChange();
        }
    };

    const callStore = async (
        topic: FeedTopic,
        call: () => Promise<Result<RecordBatch, FeedFailure>>,
        callSignal: AbortSignal,
    ): Promise<Result<RecordBatch, FeedFailure>> => {
        const result = await call();
        if (result.isOk() || result.error.kind === "truncated") {
            const contactAge = clock.now() - (ownContactAt ?? -Infinity);
            ownContactAt = clock.now();
            storeAnsweredAt.set(topic, ownContactAt);
            onStoreContact(contactAge);
            setServed(true, "it answered");
            if (result.isErr()) {
                feedTopics.forEach(topic => topicsToReread.add(topic));
            }
        }
        else if (!callSignal.aborted) {
            setServed(false, result.error.reason);
        }
        return result;
    };

    const store: RecordSource = {
        readAll: (topic, callSignal) => callStore(topic, () => options.store.readAll(topic, callSignal), callSignal),
        readNewer: (topic, from, waitMilliseconds, callSignal) =>
            callStore(topic, () => options.store.readNewer(topic, from, waitMilliseconds, callSignal), callSignal),
    };

    const isAvoided = (peer: string): boolean => (avoidedUntil.get(peer) ?? -Infinity) > clock.now();

    const candidates = (): ReaderCandidate[] =>
        peers.candidates().map(candidate => ({
            ...candidate,
            isServed: candidate.isServed && !isAvoided(candidate.host),
        }));

    const self = (): ReaderCandidate & { isStarting: boolean; } => ({
        host,
        availabilityZone,
        isServed: served,
        hasRead: hasRead(),
        isStarting: clock.now() - startedAt < startMilliseconds,
    });

    /** Whether no entry that this one hears has been answered by the store for a while. */
    const isStoreSilent = (): boolean =>
        clock.now() - (ownContactAt ?? startedAt) > storeSilenceMilliseconds
        && peers.latestStoreContact() < clock.now() - storeSilenceMilliseconds;

    const choose = (): ReadFrom =>
        isStoreSilent()
            ? { kind: "none" }
            : chooseReadFrom({ self: self(), peers: candidates(), unheard: peers.unheard() });

    /** The other topics wait for the list of entries, which tells whom to read them from. */
    const chooseFor = (topic: FeedTopic): ReadFrom =>
        self().isStarting && topic !== "entries" && cache.positionOf("entries") === undefined
            ? { kind: "wait" }
            : choose();

    const avoid = (peer: string, reason: string): void => {
        avoidedUntil.set(peer, clock.now() + avoidMilliseconds);
        log.stateChange("records not read from this entry for now", { entry: peer, reason });
    };

    /** Whether this entry may call a store that serves nobody; takes the turn. */
    const takeOutageTurn = (): boolean => {
        if (clock.now() < nextOutageTryAt) {
            return false;
        }
        nextOutageTryAt = clock.now() + outageRetryMilliseconds * (1 + storeTurnOf(self(), candidates())) ** 2;
        return true;
    };

    /** Reads from an entry; undefined if it gave nothing usable, or should not be read from any more. */
    const readFromPeer = async (
        peer: string,
        read: (source: RecordSource, callSignal: AbortSignal) => Promise<Result<RecordBatch, FeedFailure>>,
        callerSignal: AbortSignal,
    ): Promise<Result<RecordBatch, FeedFailure> | undefined> => {
        const call = new AbortController();
        const abort = (): void => call.abort();
        callerSignal.addEventListener("abort", abort, { once: true });
        peerCalls.set(call, peer);
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
            return readFromPeer(choice.host, readPeer, callSignal);
        }
        if (choice.kind === "none" && !takeOutageTurn()) {
            return unavailable("the store serves no live entry");
        }
        const result = await readStore();
        const isTurnedAway = result.isErr() && result.error.kind === "unavailable" && !callSignal.aborted;
        return isTurnedAway && choose().kind !== "none" ? undefined : result;
    };

    /** An entry that has read all topics, in the own zone if there is one. */
    const informedPeer = (): ReaderCandidate | undefined => {
        const informed = candidates().filter(peer => peer.hasRead && !isAvoided(peer.host));
        return informed.find(peer => peer.availabilityZone === availabilityZone) ?? informed[0];
    };

    const readAll = async (
        topic: FeedTopic,
        callSignal: AbortSignal,
    ): Promise<Result<RecordBatch, FeedFailure>> => {
        const startedReadingAt = clock.now();
        while (!callSignal.aborted) {
            const mustAskStore = topicsToReread.has(topic);
            const choice = chooseFor(topic);
            // Other entries also know what the store has forgotten, so an entry that starts asks them first.
            const informed = mustAskStore || choice.kind === "peer"
                ? undefined
                : informedPeer();
            const isAskingPeer = informed !== undefined && choice.kind === "store";
            const result = isAskingPeer
                ? await readFromInformed(informed.host, topic, callSignal)
                : await readOnce(
                    mustAskStore && served ? { kind: "store" } : choice,
                    () => store.readAll(topic, callSignal),
                    (source, peerSignal) => source.readAll(topic, peerSignal),
                    callSignal,
                );
            if (result?.isOk()) {
                topicsToReread.delete(topic);
                cache.replace(topic, result.value);
                const origin = isAskingPeer ? informed.host : choice.kind === "peer" ? choice.host : "store";
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
                return result;
            }
        }
        return unavailable("the read was aborted");
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
            const choice = choose();
            const result = await readOnce(
                choice,
                readStore,
                (source, peerSignal) => source.readNewer(topic, from, remaining(), peerSignal),
                callSignal,
            );
            if (result?.isOk()) {
                cache.append(topic, result.value);
                if (result.value.records.length > 0) {
                    origins.set(topic, choice.kind === "peer" ? choice.host : "store");
                }
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
            const position = cache.positionOf("operator");
            const isPreceded = candidates().some(peer =>
                peer.isServed && peer.availabilityZone === availabilityZone && peer.host < host
            );
            if (!served && !isPreceded && position !== undefined && choose().kind === "peer") {
                await store.readNewer("operator", position, 0, signal);
            }
        }
    };

    /** Ends the calls to an entry that should not be read from any more. */
    const watchPeerCalls = async (): Promise<void> => {
        while (!signal.aborted) {
            await clock.sleep(choiceCheckMilliseconds, signal);
            if (peerCalls.size > 0) {
                const choice = choose();
                [...peerCalls].filter(([, peer]) => choice.kind !== "peer" || choice.host !== peer)
                    .forEach(([call]) => call.abort());
            }
        }
    };

    void regainStore();
    void watchPeerCalls();
    return {
        source: { readAll, readNewer },
        store,
        cache,
        isServed: () => served,
        hasRead,
        storeTurn: () => storeTurnOf(self(), candidates()),
        topicStates: () =>
            feedTopics.map(topic => {
                const answeredAt = storeAnsweredAt.get(topic);
                return {
                    topic,
                    position: cache.positionOf(topic),
                    from: origins.get(topic),
                    storeAnswerAge: answeredAt === undefined ? undefined : Math.round(clock.now() - answeredAt),
                };
            }),
    };
};
