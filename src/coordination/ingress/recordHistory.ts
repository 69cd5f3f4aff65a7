/**
 * Reads what the store still has of a topic's log, at the start and after the store came back from an older copy.
 *
 * A complete read shows no removals: an evacuation that it lacks may have been lost with the copy, or taken back since. The
 * log tells, as long as the store keeps it, by its removals and by the offsets that were given out again. Only the
 * operator's records are read so; for the others nothing depends on it.
 */
import type { FeedPosition, FeedTopic, RecordSource, StoredRecord } from "./recordSource.js";

/** One read is enough for a megabyte. */
const maximumReads = 8;

/** Unless `end` is of the same era as `known`: the records before it that the store still has, as far as it answers. */
export const readHistory = async (
    store: RecordSource,
    topic: FeedTopic,
    known: FeedPosition | undefined,
    end: FeedPosition,
    signal: AbortSignal,
): Promise<StoredRecord[]> => {
    const isNeeded = topic === "operator" && known?.era !== end.era;
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
