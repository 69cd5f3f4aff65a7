/**
 * The followed topics as this entry has read them, to serve entries that read from it rather than from the store.
 *
 * A reader that continues from a position gets the newest record of each key that changed since then; intermediate
 * records of a key are left out, as the topics are read for their newest state only.
 *
 * When the store comes back from an older copy, it has forgotten records that were read before. Those are kept beside
 * the records of the copy until their key is written again, so that an entry which starts meanwhile learns of them.
 */
import { err, ok, type Result } from "neverthrow";
import type { Clock } from "../../state/types.js";
import { createNotifier } from "../notifier.js";
import {
    comparePositions,
    type FeedFailure,
    type FeedPosition,
    type FeedTopic,
    type RecordBatch,
    type RecordSource,
    type StoredRecord,
} from "./recordSource.js";

export type RecordCache = RecordSource & {
    /** Replaces a topic by the result of a complete read. */
    replace: (topic: FeedTopic, batch: RecordBatch) => void;
    /** Adds records that follow those known. */
    append: (topic: FeedTopic, batch: RecordBatch) => void;
    positionOf: (topic: FeedTopic) => FeedPosition | undefined;
};

type CachedTopic = {
    records: Map<string, StoredRecord>;
    next: FeedPosition;
    /** The topic can be continued from offsets of this era that are not below this one. */
    completeSince: number;
    /** Records of earlier eras whose keys have not been written since the era began. */
    forgotten: Map<string, StoredRecord>;
    eraBeganAt: number;
};

/**
 * How long forgotten records are served. Servers that are alive register again within two seconds; the operator and the
 * entries may write theirs later.
 */
const forgottenMilliseconds: Record<FeedTopic, number> = {
    operator: Infinity,
    upstreams: 5_000,
    entries: Infinity,
    crashes: Infinity,
};

/** Removals that are remembered by topic; who continues from before the oldest of them reads the topic as a whole. */
const maximumRemovals = 2_000;

const isRemoval = ({ value }: StoredRecord): boolean => value.length === 0;

const dropOldestRemovals = (topic: CachedTopic): void => {
    const removals = [...topic.records.values()].filter(isRemoval).sort((left, right) => left.offset - right.offset);
    for (const { key, offset } of removals.slice(0, Math.max(0, removals.length - maximumRemovals))) {
        topic.records.delete(key);
        topic.completeSince = Math.max(topic.completeSince, offset + 1);
    }
};

export const createRecordCache = (clock: Clock): RecordCache => {
    const topics = new Map<FeedTopic, CachedTopic>();
    const notifier = createNotifier(clock);

    const forgottenBy = (known: CachedTopic | undefined, era: number): Map<string, StoredRecord> =>
        known === undefined || known.next.era === era
            ? known?.forgotten ?? new Map<string, StoredRecord>()
            : new Map([...known.forgotten, ...known.records]);

    const replace = (topic: FeedTopic, { records, next, forgotten = [] }: RecordBatch): void => {
        const known = topics.get(topic);
        const isSameEra = known?.next.era === next.era;
        const replaced = new Map(records.map(record => [record.key, record]));
        if (isSameEra) {
            // A key that is missing now was removed since; readers that continue from before must learn of it.
            const removedAt = next.offset - 1;
            [...known.records.keys()].filter(key => !replaced.has(key)).forEach(key =>
                replaced.set(key, { key, value: Buffer.alloc(0), offset: removedAt })
            );
        }
        topics.set(topic, {
            records: replaced,
            next,
            completeSince: isSameEra ? known.completeSince : next.offset,
            forgotten: new Map([
                ...forgottenBy(known, next.era),
                ...forgotten.map(record => [record.key, record] as const),
            ]),
            eraBeganAt: isSameEra ? known.eraBeganAt : clock.now(),
        });
        notifier.notify(topic);
    };

    const append = (topic: FeedTopic, { records, next }: RecordBatch): void => {
        const known = topics.get(topic);
        if (known === undefined || known.next.era !== next.era || next.offset <= known.next.offset) {
            return;
        }
        // Calls overlap: the batch may begin with records that another one brought before.
        for (const record of records.filter(({ offset }) => offset >= known.next.offset)) {
            known.records.set(record.key, record);
            known.forgotten.delete(record.key);
        }
        known.next = next;
        if (known.records.size > maximumRemovals) {
            dropOldestRemovals(known);
        }
        notifier.notify(topic);
    };

    const forgottenRecords = (topic: FeedTopic, { forgotten, eraBeganAt }: CachedTopic): StoredRecord[] =>
        clock.now() - eraBeganAt > forgottenMilliseconds[topic]
            ? []
            : [...forgotten.values()].filter(record => topic === "operator" || !isRemoval(record));

    const readAll = (topic: FeedTopic): Result<RecordBatch, FeedFailure> => {
        const known = topics.get(topic);
        if (known === undefined) {
            return err({ kind: "unavailable", reason: "the topic has not been read yet" });
        }
        const current = [...known.records.values()].filter(record => !isRemoval(record));
        return ok({ records: current, next: known.next, forgotten: forgottenRecords(topic, known) });
    };

    const readNewer = async (
        topic: FeedTopic,
        from: FeedPosition,
        waitMilliseconds: number,
        signal: AbortSignal,
    ): Promise<Result<RecordBatch, FeedFailure>> => {
        const known = topics.get(topic);
        if (known === undefined || comparePositions(from, known.next) > 0) {
            return err({ kind: "unavailable", reason: "the records at that position have not been read yet" });
        }
        if (from.era !== known.next.era || from.offset < known.completeSince) {
            return err({ kind: "truncated", reason: `records from offset ${from.offset} are not known` });
        }
        if (from.offset === known.next.offset && waitMilliseconds > 0) {
            await notifier.wait(topic, waitMilliseconds, signal);
            return signal.aborted
                ? err({ kind: "unavailable", reason: "the read was aborted" })
                : readNewer(topic, from, 0, signal);
        }
        const records = [...known.records.values()].filter(({ offset }) => offset >= from.offset);
        return ok({ records: records.sort((left, right) => left.offset - right.offset), next: known.next });
    };

    return {
        replace,
        append,
        positionOf: topic => topics.get(topic)?.next,
        readAll: async topic => readAll(topic),
        readNewer,
    };
};
