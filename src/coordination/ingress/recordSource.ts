/**
 * Topics of the platform's store that entries follow, and the interface by which they are read: from the store itself
 * or from another entry (see `sharedRecords.ts`).
 *
 * A topic holds the newest record of each key. Values are opaque here; the platform's adapter decodes them.
 */
import type { Result } from "neverthrow";

/**
 * `operator`: the configuration and evacuated zones; `upstreams`: the list of servers; `entries`: the list of entries;
 * `crashes`: the entries' reports of crashes.
 */
export type FeedTopic = "operator" | "upstreams" | "entries" | "crashes";

/** The topics that describe the deployment; entries report to each other how far they have read these. */
export type DeploymentTopic = "operator" | "upstreams";

export const deploymentTopics: readonly DeploymentTopic[] = ["operator", "upstreams"];

export const isDeploymentTopic = (topic: FeedTopic): topic is DeploymentTopic =>
    (deploymentTopics as readonly FeedTopic[]).includes(topic);

export const feedTopics: readonly FeedTopic[] = ["operator", "upstreams", "entries", "crashes"];

/**
 * A place in a topic, before the record with that offset.
 *
 * The store's era rises each time it comes back from an older copy of its data. It then assigns the offsets after that
 * copy again, so offsets of different eras can't be compared.
 */
export type FeedPosition = { era: number; offset: number; };

/** Negative if `left` comes before `right`. */
export const comparePositions = (left: FeedPosition, right: FeedPosition): number =>
    left.era === right.era ? left.offset - right.offset : left.era - right.era;

/** An empty value removes the key. */
export type StoredRecord = { key: string; value: Buffer; offset: number; };

/** A record as it was known in an era of the store. */
export type DatedRecord = StoredRecord & {
    era: number;
    /** For a removal: the value that it removed, if it was known. */
    removedValue?: Buffer | undefined;
};

export type RecordBatch = {
    records: StoredRecord[];
    next: FeedPosition;
    /**
     * Records of earlier eras that hold rather than what `records` has of their keys, as the store came back from a copy
     * without them; only in complete reads (see `recordOrder.ts`).
     */
    forgotten?: DatedRecord[];
    /** By era, the position from which on records were written in that era or later; only in complete reads. */
    eraStarts?: FeedPosition[];
    /** Digests of the topic's log by offset, also of records that are no longer the newest of their key. */
    digests?: [number, string][];
};

/**
 * `truncated`: the topic can't be read on from that position, since its records were deleted or belong to an earlier
 * era; it must be read again as a whole.
 */
export type FeedFailure = {
    kind: "truncated" | "unavailable";
    reason: string;
    /** For `truncated`: the first offset that can be read, if the store says so. */
    firstOffset?: number | undefined;
};

export type RecordSource = {
    /** The newest record of each key. */
    readAll: (topic: FeedTopic, signal: AbortSignal) => Promise<Result<RecordBatch, FeedFailure>>;
    /** All records from `from` on; if there are none, waits up to `waitMilliseconds` for the first. */
    readNewer: (
        topic: FeedTopic,
        from: FeedPosition,
        waitMilliseconds: number,
        signal: AbortSignal,
    ) => Promise<Result<RecordBatch, FeedFailure>>;
};
