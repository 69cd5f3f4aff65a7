/**
 * Decides which daemons long-poll the log for new settings, so that the others need not.
 *
 * A few hosts in each availability zone, chosen by rendezvous hash, read the stream on behalf of all; gossip
 * distributes what they read. A daemon that has had no gossip exchange for a while reads the log itself, since its
 * zone's readers may be down.
 */
import type { Clock, HostRecord } from "../state/types.js";
import type { GossipStatus } from "./gossip.js";
import { rendezvousRank } from "./snapshotTask.js";

const readersPerZone = 4;
const gossipTimeoutMilliseconds = 3_000;

export type LogReaderOptions = {
    host: string;
    availabilityZone: string;
    hosts: () => readonly HostRecord[];
    /** Status of this daemon's gossip; undefined before it has started. */
    gossip: () => GossipStatus | undefined;
    clock: Pick<Clock, "now">;
};

/** Returns a function that tells, at each call, whether this daemon long-polls the log for new records. */
export const createLogReaderCheck = (options: LogReaderOptions): () => boolean => {
    const { host, availabilityZone, hosts, gossip, clock } = options;
    let cachedRank: { hosts: readonly HostRecord[]; rank: number; } | undefined;

    const ownRank = (): number => {
        const listed = hosts();
        // Cached per host list, because hashing a zone's hosts at each call would cost more than the reads that it
        // saves.
        if (cachedRank?.hosts !== listed) {
            const live = listed.filter(record =>
                record.availabilityZone === availabilityZone && record.state === "live"
            );
            const rank = rendezvousRank(host, live.map(record => record.host), "settings readers");
            cachedRank = { hosts: listed, rank };
        }
        return cachedRank.rank;
    };

    return () => {
        const lastExchangeAt = gossip()?.lastExchangeAt ?? -Infinity;
        if (clock.now() - lastExchangeAt > gossipTimeoutMilliseconds) {
            return true;
        }
        return ownRank() < readersPerZone;
    };
};
