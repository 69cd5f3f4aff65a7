/**
 * Takes over complete reads of a topic, with what the store still has of the topic's log.
 *
 * A complete read shows no removals: an evacuation that it lacks may have been lost with the copy, or taken back since. The
 * log tells, as long as the store keeps it, by its removals and by the offsets that were given out again. Only the
 * operator's records are read so; for the others nothing depends on it.
 */
import type { RecordCache } from "./recordCache.js";
import type { FeedTopic, RecordBatch, RecordSource, StoredRecord } from "./recordSource.js";

/** One read is enough for a megabyte. */
const maximumReads = 8;

/** The records before the end of a complete read that the store still has, as far as it answers. */
const readHistory = async (
    store: RecordSource,
    topic: FeedTopic,
    { records, next: end }: RecordBatch,
    signal: AbortSignal,
): Promise<StoredRecord[]> => {
    const isNeeded = topic === "operator" && records.length < end.offset;
    const history: StoredRecord[] = [];
    let offset = 0;
    for (let reads = 0; isNeeded && reads < maximumReads && offset < end.offset; reads += 1) {
        const slice = await store.readNewer(topic, { era: end.era, offset }, 0, signal);
        const next = slice.isOk() ? slice.value.next.offset : slice.error.firstOffset;
        if (next === undefined || next <= offset) {
            break;
        }
        history.push(...slice.isOk() ? slice.value.records : []);
        offset = next;
    }
    return history.filter(record => record.offset < end.offset);
};

/**
 * Puts a complete read into the cache. `store`: absent if another entry was read. In a new era what holds depends on the
 * history, so it is read first; at the start it is only kept for the next era.
 */
export const takeCompleteRead = async (
    cache: RecordCache,
    store: RecordSource | undefined,
    topic: FeedTopic,
    batch: RecordBatch,
    signal: AbortSignal,
): Promise<void> => {
    const known = cache.positionOf(topic);
    const history = store === undefined || known?.era === batch.next.era
        ? Promise.resolve([])
        : readHistory(store, topic, batch, signal);
    cache.replace(topic, batch, known === undefined ? [] : await history);
    if (known === undefined) {
        void history.then(records => cache.addHistory(topic, batch.next.era, records));
    }
};
