/**
 * The platform's store as simulated entries see it, on a stepped clock: topics with their history, calls that are refused
 * or never answered, and the return from an older copy.
 */
import { err, ok, type Result } from "neverthrow";
import type { FeedRecord } from "../../src/coordination/ingress/deploymentFeed.js";
import type { FeedFailure, FeedTopic, RecordBatch, RecordSource } from "../../src/coordination/ingress/recordSource.js";
import { createNotifier } from "../../src/coordination/notifier.js";
import type { SteppedClock } from "./steppedClock.js";

export type StoreFaults = "refuses" | "silent";

export type StoreModel = {
    /** The store as the entry reaches it. */
    sourceFor: (entry: number) => RecordSource;
    /**
     * Whether the response to a call of the entry that began at `calledAt` never arrives; waits until the caller gives
     * up. `topic`: for calls to the store.
     */
    isLost: (
        entry: number,
        calledAt: number,
        waitMilliseconds: number,
        signal: AbortSignal,
        topic?: FeedTopic,
    ) => Promise<boolean>;
    /** Writes a record as the operator or a server would; undefined removes the key. */
    write: (topic: FeedTopic, key: string, record: FeedRecord | undefined) => void;
    /** Calls that reached the store. */
    storeCalls: () => number;
    /** How the store treats the entry from now on; undefined to serve it. */
    setStoreFault: (entry: number, fault: StoreFaults | undefined) => void;
    /** Running polls of the entry, at the store and at other entries, get no response; new calls do. */
    hangPolls: (entry: number) => void;
    /** The partition of a topic falls silent for all entries: running calls to it and later ones get no response. */
    silenceTopic: (topic: FeedTopic, isSilent: boolean) => void;
    /** Deletes the history of a topic; a full read still returns the newest record of each key. */
    dropHistory: (topic: FeedTopic) => void;
    /** The store comes back from a copy without the latest `records` records of each topic, in the next era. */
    restoreFromCopy: (records: number) => void;
};

type ModelTopic = { records: { key: string; record: FeedRecord | undefined; }[]; firstOffset: number; };

const callMilliseconds = 4;
/** Timeout of a call without a response, as in the store client. */
export const answerTimeoutMilliseconds = 900;

export const unavailable = (reason: string): Result<RecordBatch, FeedFailure> => err({ kind: "unavailable", reason });

const encode = (record: FeedRecord | undefined): Buffer =>
    Buffer.from(record === undefined ? "" : JSON.stringify(record));

export const createStoreModel = (clock: SteppedClock): StoreModel => {
    const notifier = createNotifier(clock);
    const topics = new Map<FeedTopic, ModelTopic>();
    const faults = new Map<number, StoreFaults>();
    const hungAt = new Map<number, number>();
    const silentTopics = new Set<FeedTopic>();
    /** By topic, when its partition was silent last; calls that were running then get no answer. */
    const topicHungAt = new Map<FeedTopic, number>();
    let era = 1;
    let storeCalls = 0;

    const topicOf = (name: FeedTopic): ModelTopic => {
        const topic = topics.get(name) ?? { records: [], firstOffset: 0 };
        topics.set(name, topic);
        return topic;
    };

    const recordsFrom = (name: FeedTopic, offset: number): RecordBatch => {
        const { records } = topicOf(name);
        return {
            records: records.slice(offset).map(({ key, record }, index) => ({
                key,
                value: encode(record),
                offset: offset + index,
            })),
            next: { era, offset: records.length },
        };
    };

    const newestRecords = (name: FeedTopic): RecordBatch => {
        const { records, next } = recordsFrom(name, 0);
        const newest = new Map(records.map(record => [record.key, record]));
        return { records: [...newest.values()].filter(({ value }) => value.length > 0), next };
    };

    const lastSilence = (topic: FeedTopic): number =>
        silentTopics.has(topic) ? clock.now() : topicHungAt.get(topic) ?? -1;

    const isLost: StoreModel["isLost"] = async (entry, calledAt, waitMilliseconds, signal, topic) => {
        const silentAt = Math.max(hungAt.get(entry) ?? -1, topic === undefined ? -1 : lastSilence(topic));
        if (silentAt < calledAt) {
            return false;
        }
        await clock.sleep(calledAt + waitMilliseconds + answerTimeoutMilliseconds - clock.now(), signal);
        return true;
    };

    const sourceFor = (entry: number): RecordSource => {
        const call = async (
            waitMilliseconds: number,
            signal: AbortSignal,
            isDue: () => boolean,
            topic: FeedTopic,
            answer: () => Result<RecordBatch, FeedFailure>,
        ): Promise<Result<RecordBatch, FeedFailure>> => {
            const calledAt = clock.now();
            storeCalls += 1;
            await clock.sleep(callMilliseconds, signal);
            if (faults.get(entry) === "refuses") {
                return unavailable("refused");
            }
            if (waitMilliseconds > 0 && !isDue()) {
                await notifier.wait(topic, waitMilliseconds, signal);
            }
            if (signal.aborted) {
                return unavailable("aborted");
            }
            if (faults.get(entry) === "silent") {
                hungAt.set(entry, clock.now());
            }
            return await isLost(entry, calledAt, waitMilliseconds, signal, topic)
                ? unavailable("no answer in time")
                : answer();
        };
        return {
            readAll: (topic, signal) => call(0, signal, () => true, topic, () => ok(newestRecords(topic))),
            readNewer: (topic, from, waitMilliseconds, signal) =>
                call(waitMilliseconds, signal, () => topicOf(topic).records.length > from.offset, topic, () => {
                    const { firstOffset, records } = topicOf(topic);
                    const isKnown = from.era === era && from.offset >= firstOffset && from.offset <= records.length;
                    return isKnown
                        ? ok(recordsFrom(topic, from.offset))
                        : err({ kind: "truncated", reason: "no such offset", firstOffset });
                }),
        };
    };

    return {
        sourceFor,
        isLost,
        write: (name, key, record) => {
            topicOf(name).records.push({ key, record });
            notifier.notify(name);
        },
        storeCalls: () => storeCalls,
        setStoreFault: (entry, fault) => {
            if (fault === undefined) {
                faults.delete(entry);
            }
            else {
                faults.set(entry, fault);
            }
        },
        hangPolls: entry => void hungAt.set(entry, clock.now()),
        silenceTopic: (topic, isSilent) => {
            if (isSilent) {
                silentTopics.add(topic);
            }
            else {
                topicHungAt.set(topic, lastSilence(topic));
                silentTopics.delete(topic);
            }
        },
        dropHistory: name => {
            topicOf(name).firstOffset = topicOf(name).records.length;
        },
        restoreFromCopy: lost => {
            era += 1;
            for (const [name, topic] of topics) {
                topics.set(name, {
                    records: topic.records.slice(0, Math.max(0, topic.records.length - lost)),
                    firstOffset: 0,
                });
                notifier.notify(name);
            }
        },
    };
};
