/**
 * Tracks whether the store is reachable, and whether this entry has read everything that was written there.
 *
 * Each of many entries must detect within a second or two that the store is unavailable, or that one of its long polls
 * hangs on a dead connection, without each probing the store all the time. Entries therefore tell each other when the
 * store last responded to them and up to which offset they have read. While the store responds to an entry that has
 * read no further than this one, this one has missed nothing and makes no call. If no such report arrives for a while,
 * the entries probe the store one after the other, in the order of their host names, so that the first probe spares the
 * rest. An entry that has read less than another restarts its poll. Entries exchange only this status, never records.
 */
import type { Clock } from "../../state/types.js";
import type { FeedTopic } from "./deploymentFeed.js";

/** What an entry reports about its reads from the store. */
export type StoreReadStatus = {
    /** Milliseconds since the store last responded to it. */
    contactAge: number;
    /** By topic, the offset after the last record that it has read. */
    offsets: Record<FeedTopic, number>;
};

export type StoreMonitor = {
    /** Records a response of the store to this entry. */
    recordContact: () => void;
    /** Records that this entry has read all records of the topic before `nextOffset`. */
    recordRead: (topic: FeedTopic, nextOffset: number) => void;
    recordPeerStatus: (status: StoreReadStatus) => void;
    /** Time until this entry should probe the store; zero or negative if it is due. */
    millisecondsUntilProbe: () => number;
    /** Whether another entry has read records of the topic that this one has not. */
    isBehind: (topic: FeedTopic) => boolean;
    /** When the store last responded to this entry, or to one that has read no further than this one. */
    lastContact: () => number | undefined;
    /** The status to report to other entries; undefined until both topics have been read once. */
    readStatus: () => StoreReadStatus | undefined;
};

/** Leaves time for a second probe within the shortest drain time of the deployments, 2 s. */
const probeAfterMilliseconds = 750;
/** The result of a probe reaches the other entries within a few milliseconds, or 0.1 s if a datagram is lost. */
const probeStaggerMilliseconds = 60;
/** Entries further back in the order probe at the same time as the entry at this position. */
const maximumProbeOrder = 6;

/** `probeOrder` gives this entry's zero-based position among the live entries, ordered by host name. */
export const createStoreMonitor = (clock: Pick<Clock, "now">, probeOrder: () => number): StoreMonitor => {
    const ownOffsets = new Map<FeedTopic, number>();
    const peerOffsets = new Map<FeedTopic, number>();
    let ownContactAt: number | undefined;
    let lastContact: number | undefined;

    const isBehind = (topic: FeedTopic): boolean => (peerOffsets.get(topic) ?? 0) > (ownOffsets.get(topic) ?? Infinity);
    const isAhead = ({ operator, upstreams }: StoreReadStatus["offsets"]): boolean =>
        operator > (ownOffsets.get("operator") ?? -1) || upstreams > (ownOffsets.get("upstreams") ?? -1);

    return {
        recordContact: () => {
            ownContactAt = clock.now();
            lastContact = ownContactAt;
        },
        recordRead: (topic, nextOffset) => void ownOffsets.set(topic, nextOffset),
        recordPeerStatus: ({ contactAge, offsets }) => {
            peerOffsets.set("operator", Math.max(peerOffsets.get("operator") ?? 0, offsets.operator));
            peerOffsets.set("upstreams", Math.max(peerOffsets.get("upstreams") ?? 0, offsets.upstreams));
            if (!isAhead(offsets)) {
                lastContact = Math.max(lastContact ?? -Infinity, clock.now() - contactAge);
            }
        },
        millisecondsUntilProbe: () =>
            (lastContact ?? -Infinity) + probeAfterMilliseconds
            + Math.min(probeOrder(), maximumProbeOrder) * probeStaggerMilliseconds
            - clock.now(),
        isBehind,
        lastContact: () => lastContact,
        readStatus: () => {
            const operator = ownOffsets.get("operator");
            const upstreams = ownOffsets.get("upstreams");
            return ownContactAt === undefined || operator === undefined || upstreams === undefined
                ? undefined
                : { contactAge: Math.round(clock.now() - ownContactAt), offsets: { operator, upstreams } };
        },
    };
};
