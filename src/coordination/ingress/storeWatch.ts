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
export type StoreNews = {
    /** Milliseconds since the store answered it. */
    contactAge: number;
    /** The offset after the last record that it has, by topic. */
    offsets: Record<FeedTopic, number>;
};

export type StoreWatch = {
    /** The store answered this entry. */
    contact: () => void;
    /** This entry has all records of the topic before `nextOffset`. */
    haveRead: (topic: FeedTopic, nextOffset: number) => void;
    hear: (news: StoreNews) => void;
    /** Milliseconds until this entry is to probe the store itself. */
    probeDueIn: () => number;
    /** Whether another entry has records of the topic that this one lacks. */
    isBehind: (topic: FeedTopic) => boolean;
    /** When the store last answered somebody who has read no more than this entry. */
    lastContact: () => number | undefined;
    /** Undefined until everything was read once. */
    news: () => StoreNews | undefined;
};

/** Leaves time for a second probe within the shortest drain bound of the deployments, 2 s. */
const probeMilliseconds = 750;
/** A word reaches the others within a few milliseconds, or 0.1 s if a datagram is lost. */
const turnMilliseconds = 60;
/** Beyond this turn entries don't wait longer for those before them. */
const largestTurn = 6;

/** `turn` is this entry's place among those that are heard, in the order of their names, from 0. */
export const createStoreWatch = (clock: Pick<Clock, "now">, turn: () => number): StoreWatch => {
    const read = new Map<FeedTopic, number>();
    const told = new Map<FeedTopic, number>();
    let ownContactAt: number | undefined;
    let lastContact: number | undefined;

    const isBehind = (topic: FeedTopic): boolean => (told.get(topic) ?? 0) > (read.get(topic) ?? Infinity);
    const isAhead = ({ operator, upstreams }: StoreNews["offsets"]): boolean =>
        operator > (read.get("operator") ?? -1) || upstreams > (read.get("upstreams") ?? -1);

    return {
        contact: () => {
            ownContactAt = clock.now();
            lastContact = ownContactAt;
        },
        haveRead: (topic, nextOffset) => void read.set(topic, nextOffset),
        hear: ({ contactAge, offsets }) => {
            told.set("operator", Math.max(told.get("operator") ?? 0, offsets.operator));
            told.set("upstreams", Math.max(told.get("upstreams") ?? 0, offsets.upstreams));
            if (!isAhead(offsets)) {
                lastContact = Math.max(lastContact ?? -Infinity, clock.now() - contactAge);
            }
        },
        probeDueIn: () =>
            (lastContact ?? -Infinity) + probeMilliseconds + Math.min(turn(), largestTurn) * turnMilliseconds
            - clock.now(),
        isBehind,
        lastContact: () => lastContact,
        news: () => {
            const operator = read.get("operator");
            const upstreams = read.get("upstreams");
            return ownContactAt === undefined || operator === undefined || upstreams === undefined
                ? undefined
                : { contactAge: Math.round(clock.now() - ownContactAt), offsets: { operator, upstreams } };
        },
    };
};
