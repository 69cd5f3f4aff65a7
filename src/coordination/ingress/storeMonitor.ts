/**
 * Tracks whether the store is reachable, and whether this entry has read everything that was written there.
 *
 * Each of many entries must detect within a second or two that the store is unavailable, or that one of its long polls
 * hangs on a dead connection, without each probing the store all the time. Entries therefore tell each other when the
 * store last responded to them and up to which offset they have read. While the store responds to an entry that has
 * read no further than this one, this one has missed nothing and makes no call. If no such report arrives for a while,
 * the entries probe the store one after the other, those that read for their zones first, so that one probe spares the
 * rest. An entry that has read less than another restarts its poll.
 */
import type { Clock } from "../../state/types.js";
import { type DeploymentTopic, deploymentTopics } from "./deploymentFeed.js";
import { comparePositions, type FeedPosition } from "./recordSource.js";

/** What an entry reports about its reads from the store. */
export type StoreReadStatus = {
    /** Milliseconds since the store last responded to it. */
    contactAge: number;
    /** By topic, the position after the last record that it has read. */
    positions: Record<DeploymentTopic, FeedPosition>;
};

export type StoreMonitor = {
    /** Records a response of the store to this entry. */
    recordContact: () => void;
    /** Records that this entry has read all records of the topic before `next`. */
    recordRead: (topic: DeploymentTopic, next: FeedPosition) => void;
    recordPeerStatus: (status: StoreReadStatus) => void;
    /** Time until this entry should probe the store; zero or negative if it is due. */
    millisecondsUntilProbe: () => number;
    /** Whether another entry has read records of the topic that this one has not. */
    isBehind: (topic: DeploymentTopic) => boolean;
    /** Whether another entry has read records of a later era of the store. */
    isInOlderEra: (topic: DeploymentTopic) => boolean;
    /** When the store last responded to this entry, or to one that has read no further than this one. */
    lastContact: () => number | undefined;
    /** The status to report to other entries; undefined until both topics have been read once. */
    readStatus: () => StoreReadStatus | undefined;
};

/** Leaves time for a second probe within the shortest drain time of the deployments, 2 s. */
const probeAfterMilliseconds = 750;
/** The result of a probe reaches the other entries within a few milliseconds, or 0.1 s if a datagram is lost. */
const probeStaggerMilliseconds = 60;
/** Entries with later turns probe together with this one, by when several probes in a row have found no answer. */
const maximumProbeOrder = 20;

/** Reported by an entry that has read everything from other entries. */
const unknownContactAge = 1_000_000_000;

/** `probeOrder` gives this entry's zero-based turn among the live entries. */
export const createStoreMonitor = (clock: Pick<Clock, "now">, probeOrder: () => number): StoreMonitor => {
    const ownPositions = new Map<DeploymentTopic, FeedPosition>();
    const peerPositions = new Map<DeploymentTopic, FeedPosition>();
    let ownContactAt: number | undefined;
    let lastContact: number | undefined;

    const isNewer = (position: FeedPosition | undefined, reference: FeedPosition | undefined): boolean =>
        position !== undefined && (reference === undefined || comparePositions(position, reference) > 0);

    const isBehind = (topic: DeploymentTopic): boolean =>
        ownPositions.has(topic) && isNewer(peerPositions.get(topic), ownPositions.get(topic));

    return {
        recordContact: () => {
            ownContactAt = clock.now();
            lastContact = ownContactAt;
        },
        recordRead: (topic, next) => void ownPositions.set(topic, next),
        recordPeerStatus: ({ contactAge, positions }) => {
            for (const topic of deploymentTopics) {
                if (isNewer(positions[topic], peerPositions.get(topic))) {
                    peerPositions.set(topic, positions[topic]);
                }
            }
            if (!deploymentTopics.some(topic => isNewer(positions[topic], ownPositions.get(topic)))) {
                lastContact = Math.max(lastContact ?? -Infinity, clock.now() - contactAge);
            }
        },
        millisecondsUntilProbe: () => {
            const firstProbeIn = (lastContact ?? -Infinity) + probeAfterMilliseconds - clock.now();
            // The turn is costly to find among many entries, and matters only once the first probe is due.
            return firstProbeIn > 0
                ? firstProbeIn
                : firstProbeIn + Math.min(probeOrder(), maximumProbeOrder) * probeStaggerMilliseconds;
        },
        isBehind,
        isInOlderEra: topic => (peerPositions.get(topic)?.era ?? 0) > (ownPositions.get(topic)?.era ?? Infinity),
        lastContact: () => lastContact,
        readStatus: () => {
            const operator = ownPositions.get("operator");
            const upstreams = ownPositions.get("upstreams");
            if (operator === undefined || upstreams === undefined) {
                return undefined;
            }
            const contactAge = ownContactAt === undefined ? unknownContactAge : Math.round(clock.now() - ownContactAt);
            return { contactAge, positions: { operator, upstreams } };
        },
    };
};
