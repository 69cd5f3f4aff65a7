/**
 * The followed topics as this entry has read them, to serve entries that read from it rather than from the store.
 *
 * A reader that continues from a position gets the newest record of each key that changed since then; intermediate
 * records of a key are left out, as the topics are read for their newest state only.
 *
 * When the store comes back from an older copy, `recordOrder.ts` decides for each key whether what the store lists or what
 * was known before holds. What was known before is kept beside the store's list until its key is written again, and is
 * passed on, so that an entry which starts meanwhile learns of it.
 */
import { err, ok, type Result } from "neverthrow";
import type { Clock } from "../../state/types.js";
import { createNotifier } from "../notifier.js";
import { digestOf, findEraStart, isRemoval, type RevisionOf, supersedes } from "./recordOrder.js";
import {
    comparePositions,
    type DatedRecord,
    type FeedFailure,
    type FeedPosition,
    type FeedTopic,
    type RecordBatch,
    type RecordSource,
    type StoredRecord,
} from "./recordSource.js";

export type RecordCache = RecordSource & {
    /**
     * Takes over the result of a complete read. `history`: records that were read beside it and are older than its end,
     * with removals, which a complete read of the store doesn't show.
     */
    replace: (topic: FeedTopic, batch: RecordBatch, history?: StoredRecord[]) => void;
    /** Keeps the digests of earlier records of the same era. */
    addHistory: (topic: FeedTopic, era: number, history: StoredRecord[]) => void;
    /** Adds records that follow those known. */
    append: (topic: FeedTopic, batch: RecordBatch) => void;
    positionOf: (topic: FeedTopic) => FeedPosition | undefined;
    /** Records of earlier eras that hold rather than what the store lists. */
    forgotten: (topic: FeedTopic) => DatedRecord[];
};

/** Removals carry what they removed. */
type CachedRecord = Omit<DatedRecord, "era">;

type CachedTopic = {
    /** The newest record of each key in the store's log; removals too. */
    newest: Map<string, CachedRecord>;
    next: FeedPosition;
    /** The topic can be continued from offsets of this era that are not below this one. */
    completeSince: number;
    digests: Map<number, string>;
    forgotten: Map<string, DatedRecord>;
    eraStarts: FeedPosition[];
    eraBeganAt: number;
};

/**
 * How long records that the store's list lacks are served. Servers that are alive register again within two seconds; the
 * operator and the entries may write theirs later.
 */
const unlistedMilliseconds: Record<FeedTopic, number> = {
    operator: Infinity,
    upstreams: 5_000,
    entries: Infinity,
    crashes: Infinity,
};

/** Removals that are remembered by topic; who continues from before the oldest of them reads the topic as a whole. */
const maximumRemovals = 2_000;
/** Records whose digests are kept by topic; several times what is written within the age of a copy. */
const maximumDigests = 500;
/** Starts of eras that are kept; records of still earlier eras count as older than the first of them. */
const maximumEraStarts = 8;

const dropOldestRemovals = (topic: CachedTopic): void => {
    const removals = [...topic.newest.values()].filter(isRemoval).sort((left, right) => left.offset - right.offset);
    for (const { key, offset } of removals.slice(0, Math.max(0, removals.length - maximumRemovals))) {
        topic.newest.delete(key);
        topic.completeSince = Math.max(topic.completeSince, offset + 1);
    }
};

const digestsOf = (records: StoredRecord[]): [number, string][] =>
    records.map(record => [record.offset, digestOf(record)]);

const rememberDigests = (digests: Map<number, string>, added: [number, string][]): void => {
    added.forEach(([offset, digest]) => digests.set(offset, digest));
    for (const offset of digests.keys()) {
        if (digests.size <= maximumDigests) {
            break;
        }
        digests.delete(offset);
    }
};

/** The newest record of each key among those listed, or its removal if the history ends with one. */
const newestOf = (records: StoredRecord[], history: StoredRecord[]): Map<string, CachedRecord> => {
    const newest = new Map<string, CachedRecord>(records.map(record => [record.key, record]));
    const ends = new Map(history.map(record => [record.key, record]));
    [...ends.values()].filter(record => isRemoval(record) && !newest.has(record.key)).forEach(record =>
        newest.set(record.key, record)
    );
    return newest;
};

const mergeEraStarts = (starts: FeedPosition[]): FeedPosition[] => {
    const offsets = new Map<number, number>();
    starts.forEach(({ era, offset }) => offsets.set(era, Math.min(offset, offsets.get(era) ?? Infinity)));
    return [...offsets].map(([era, offset]) => ({ era, offset })).sort(comparePositions).slice(-maximumEraStarts);
};

export const createRecordCache = (clock: Clock, revisionOf: RevisionOf): RecordCache => {
    const topics = new Map<FeedTopic, CachedTopic>();
    const notifier = createNotifier(clock);

    /** The records of the store's log that hold, as those of its era. */
    const holding = ({ newest, forgotten, next }: CachedTopic): DatedRecord[] =>
        [...newest.values()].filter(({ key }) => !forgotten.has(key)).map(record => ({ ...record, era: next.era }));

    const forgottenOf = (topic: FeedTopic, { forgotten, newest, eraBeganAt }: CachedTopic): DatedRecord[] => {
        const isUnlistedServed = clock.now() - eraBeganAt <= unlistedMilliseconds[topic];
        return [...forgotten.values()].filter(({ key }) => isUnlistedServed || newest.has(key));
    };

    /** Records of earlier eras that hold rather than those of `newest`. */
    const selectForgotten = (
        topic: FeedTopic,
        earlier: DatedRecord[],
        newest: ReadonlyMap<string, StoredRecord>,
        { era }: FeedPosition,
        eraStarts: FeedPosition[],
    ): Map<string, DatedRecord> => {
        const newerOf = (left: DatedRecord, right: DatedRecord): DatedRecord => {
            const [before, after] = left.era <= right.era ? [left, right] : [right, left];
            return supersedes(topic, after, before, eraStarts, revisionOf) ? after : before;
        };
        const latest = new Map<string, DatedRecord>();
        for (const record of earlier) {
            const known = latest.get(record.key);
            latest.set(record.key, known === undefined ? record : newerOf(known, record));
        }
        const holds = (known: DatedRecord): boolean => {
            const listed = newest.get(known.key);
            return listed === undefined
                ? !isRemoval(known)
                : !listed.value.equals(known.value)
                    && !supersedes(topic, { ...listed, era }, known, eraStarts, revisionOf);
        };
        return new Map([...latest].filter(([, record]) => holds(record)));
    };

    const replace: RecordCache["replace"] = (
        topic,
        { records, next, forgotten = [], eraStarts = [], digests: batchDigests = [] },
        history = [],
    ) => {
        const known = topics.get(topic);
        const isContinued = known?.next.era === next.era && comparePositions(known.next, next) <= 0;
        const newest = newestOf(records, history);
        const observed = [...history, ...records];
        const ownStart = known === undefined || isContinued
            ? next
            : findEraStart(topic, observed, next, known, revisionOf);
        const starts = mergeEraStarts([...known?.eraStarts ?? [], ...eraStarts, ownStart]);
        const earlier = known === undefined ? [] : [...forgottenOf(topic, known), ...isContinued ? [] : holding(known)];
        if (isContinued) {
            // A key that is missing now was removed since; readers that continue from before must learn of it.
            const removedAt = next.offset - 1;
            [...known.newest].filter(([key]) => !newest.has(key)).forEach(([key, { value, removedValue }]) =>
                newest.set(key, {
                    key,
                    value: Buffer.alloc(0),
                    offset: removedAt,
                    removedValue: value.length === 0 ? removedValue : value,
                })
            );
        }
        // Of the earlier log, nothing is certain at offsets that were not read again.
        const digests = isContinued ? known.digests : new Map<number, string>();
        rememberDigests(digests, [...batchDigests, ...digestsOf(observed)]);
        topics.set(topic, {
            newest,
            next,
            completeSince: isContinued ? known.completeSince : next.offset,
            digests,
            forgotten: selectForgotten(topic, [...earlier, ...forgotten], newest, next, starts),
            eraStarts: starts,
            eraBeganAt: isContinued ? known.eraBeganAt : clock.now(),
        });
        notifier.notify(topic);
    };

    const append = (topic: FeedTopic, { records, next }: RecordBatch): void => {
        const known = topics.get(topic);
        if (known === undefined || known.next.era !== next.era || next.offset <= known.next.offset) {
            return;
        }
        // Calls overlap: the batch may begin with records that another one brought before.
        const newer = records.filter(({ offset }) => offset >= known.next.offset);
        for (const record of newer) {
            const before = known.newest.get(record.key);
            const removedValue = isRemoval(record) && before !== undefined
                ? isRemoval(before) ? before.removedValue : before.value
                : undefined;
            known.newest.set(record.key, { ...record, removedValue });
            known.forgotten.delete(record.key);
        }
        rememberDigests(known.digests, digestsOf(newer));
        known.next = next;
        if (known.newest.size > maximumRemovals) {
            dropOldestRemovals(known);
        }
        notifier.notify(topic);
    };

    const readAll = (topic: FeedTopic): Result<RecordBatch, FeedFailure> => {
        const known = topics.get(topic);
        if (known === undefined) {
            return err({ kind: "unavailable", reason: "the topic has not been read yet" });
        }
        return ok({
            // A removal by the operator also ends what a reader may know from an earlier era.
            records: [...known.newest.values()].filter(record => topic === "operator" || !isRemoval(record)),
            next: known.next,
            forgotten: forgottenOf(topic, known),
            eraStarts: known.eraStarts,
            ...topic === "operator" ? { digests: [...known.digests] } : {},
        });
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
        const records = [...known.newest.values()].filter(({ offset }) => offset >= from.offset);
        return ok({ records: records.sort((left, right) => left.offset - right.offset), next: known.next });
    };

    return {
        replace,
        addHistory: (topic, era, history) => {
            const known = topics.get(topic);
            if (known?.next.era === era) {
                rememberDigests(known.digests, digestsOf(history));
            }
        },
        append,
        positionOf: topic => topics.get(topic)?.next,
        forgotten: topic => {
            const known = topics.get(topic);
            return known === undefined ? [] : forgottenOf(topic, known);
        },
        readAll: async topic => readAll(topic),
        readNewer,
    };
};
