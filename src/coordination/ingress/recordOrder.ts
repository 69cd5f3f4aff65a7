/**
 * Decides which of two copies of a record holds: the one known from an earlier era of the store, or the one that the store
 * lists now.
 *
 * When the store comes back from an older copy, its log is a first part of the log that was known, followed by what has been
 * written since, at offsets that were given out before. A record of that second part is newer than all that is known from
 * earlier eras. Where the second part starts is not stated, but an answer of the new era shows it to lie no later than the
 * end of the topic then, nor than the first offset that holds another record than before.
 *
 * Copies that this leaves undecided lie before that: the earlier log had both, or the same records were written again at the
 * same offsets. Revisions that writers give their records decide then. Evacuations have none; between an evacuation and its
 * removal the evacuation holds, as sending to an evacuated zone is the graver mistake, until the operator writes again.
 */
import { createHash } from "node:crypto";
import type { DatedRecord, FeedPosition, FeedTopic, StoredRecord } from "./recordSource.js";

/** Numbers that rise with each write of a record, most significant first; undefined for records that have none. */
export type RevisionOf = (topic: FeedTopic, record: StoredRecord) => readonly number[] | undefined;

/** What is known of a topic's log in one era of the store. */
export type KnownLog = {
    next: FeedPosition;
    /** The newest record of each key; removals too. */
    newest: ReadonlyMap<string, StoredRecord>;
    /** From this offset on, every key that was written is among `newest`. */
    completeSince: number;
    /** Digests of the records that were read, by offset; also of those that are no longer the newest of their key. */
    digests: ReadonlyMap<number, string>;
};

export const isRemoval = ({ value }: Pick<StoredRecord, "value">): boolean => value.length === 0;

const digestLength = 16;

export const digestOf = ({ key, value }: Pick<StoredRecord, "key" | "value">): string =>
    createHash("sha1").update(key).update("\0").update(value).digest("base64").slice(0, digestLength);

const compareRevisions = (left: readonly number[], right: readonly number[]): number =>
    left.map((number, index) => number - (right[index] ?? 0)).find(difference => difference !== 0) ?? 0;

const hasHigherRevision = (left: readonly number[] | undefined, right: readonly number[] | undefined): boolean =>
    left !== undefined && right !== undefined && compareRevisions(left, right) > 0;

/**
 * The position from which on the topic was written after the store had come back, as far as its records show; `next` is the
 * end of the topic when they were read.
 */
export const findEraStart = (
    topic: FeedTopic,
    records: StoredRecord[],
    next: FeedPosition,
    known: KnownLog,
    revisionOf: RevisionOf,
): FeedPosition => {
    const isAtReusedOffset = (record: StoredRecord): boolean => {
        const { key, offset } = record;
        if (offset >= known.next.offset) {
            return false;
        }
        const digest = known.digests.get(offset);
        if (digest !== undefined) {
            return digest !== digestOf(record);
        }
        const newest = known.newest.get(key);
        return newest === undefined
            ? offset >= known.completeSince
            : newest.offset < offset || hasHigherRevision(revisionOf(topic, record), revisionOf(topic, newest));
    };
    return {
        era: next.era,
        offset: Math.min(next.offset, ...records.filter(isAtReusedOffset).map(({ offset }) => offset)),
    };
};

/** For a removal, the record that it removed. */
const lastWritten = (record: DatedRecord): StoredRecord =>
    isRemoval(record) && record.removedValue !== undefined ? { ...record, value: record.removedValue } : record;

/** Whether the record that the store lists holds rather than `known`; `listed.era` is the era in which it was read. */
export const supersedes = (
    topic: FeedTopic,
    listed: DatedRecord,
    known: DatedRecord,
    eraStarts: readonly FeedPosition[],
    revisionOf: RevisionOf,
): boolean => {
    if (listed.era < known.era) {
        return false;
    }
    const isOfLaterEra = eraStarts.some(({ era, offset }) =>
        era > known.era && era <= listed.era && listed.offset >= offset
    );
    if (isOfLaterEra || listed.offset > known.offset) {
        return true;
    }
    const [listedRevision, knownRevision] = [revisionOf(topic, listed), revisionOf(topic, lastWritten(known))];
    if (listedRevision !== undefined && knownRevision !== undefined) {
        return hasHigherRevision(listedRevision, knownRevision);
    }
    return isRemoval(known) && !isRemoval(listed);
};
