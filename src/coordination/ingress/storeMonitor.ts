/**
 * Whether the store can be reached, and whether this entry has all that was written there.
 *
 * Load it answers: many entries, each of which must notice within a second or two that the store is gone or that one of
 * its long polls hangs on a connection that fell silent. Each tells the others when the store last answered it and how
 * far it has read. While the store answers somebody who has read no more than this entry, nothing was missed and no call
 * is needed; when nobody tells so for a while, entries probe the store in the order of their names, so that one of them
 * spares the rest; and an entry that has read less than another asks anew. Entries take only this word from each other,
 * no content.
 */
import type { Clock } from "../../state/types.js";
import type { FeedTopic } from "./deploymentFeed.js";

/** What an entry says of its reads. */
export type StoreReadStatus = {
    /** Milliseconds since the store answered it. */
    contactAge: number;
    /** The offset after the last record that it has, by topic. */
    offsets: Record<FeedTopic, number>;
};

export type StoreMonitor = {
    /** The store answered this entry. */
    recordContact: () => void;
    /** This entry has all records of the topic before `nextOffset`. */
    recordRead: (topic: FeedTopic, nextOffset: number) => void;
    recordPeerStatus: (news: StoreReadStatus) => void;
    /** Milliseconds until this entry is to probe the store itself. */
    millisecondsUntilProbe: () => number;
    /** Whether another entry has records of the topic that this one lacks. */
    isBehind: (topic: FeedTopic) => boolean;
    /** When the store last answered somebody who has read no more than this entry. */
    lastContact: () => number | undefined;
    /** Undefined until everything was read once. */
    readStatus: () => StoreReadStatus | undefined;
};

/** Leaves time for a second probe within the shortest drain bound of the deployments, 2 s. */
const probeAfterMilliseconds = 750;
/** A word reaches the others within a few milliseconds, or 0.1 s if a datagram is lost. */
const probeStaggerMilliseconds = 60;
/** Beyond this turn entries don't wait longer for those before them. */
const maximumProbeOrder = 6;

/** `turn` is this entry's place among those that are heard, in the order of their names, from 0. */
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
