/**
 * What the other entries said they run, as far as it is fresh.
 *
 * Entries choose ranks and admit streams on the sum of all entries' counts, so each tells the others several times a
 * second. What an entry said last is dropped when it falls silent: its streams then end or time out by themselves.
 */
import type { Clock } from "../../state/types.js";
import type { IngressLog } from "./ingressLog.js";
import type { StoreReadStatus } from "./storeMonitor.js";

/** What one entry says of itself. */
export type EntryStatus = {
    host: string;
    availabilityZone: string;
    /** Changes with each start of the entry. */
    incarnation: string;
    /** Grows with each message of one incarnation. */
    sequence: number;
    /** Requests that it runs, by upstream. */
    running: Record<string, number>;
    /** Its estimate of the streams that each group can pace. */
    limits: Record<string, number>;
    /** Undefined until it has read everything once. */
    store: StoreReadStatus | undefined;
};

export type PeerStatusTable = {
    /** Takes news that the entry `teller` passed on, mostly its own; older news than known are ignored. */
    record: (status: EntryStatus, sender: string) => void;
    /** Requests that the other entries run on an upstream. */
    runningOn: (id: string) => number;
    /** The other entries' mean estimate for a group; undefined if none has one. */
    limitOf: (group: string) => number | undefined;
    /** Entries that are heard, this one included. */
    entries: () => number;
    /** The most entries that were heard at once, this one included. */
    maximumEntriesSeen: () => number;
    /** What the entries of a zone said last, and how many milliseconds ago it came. */
    heardIn: (availabilityZone: string) => { status: EntryStatus; age: number; }[];
    /** This entry's place, from 0, among those that are heard, in the order of their names. */
    orderOf: (host: string) => number;
    /** Whether entries of other availability zones were heard before and all are silent now. */
    isZoneIsolated: (availabilityZone: string) => boolean;
};

/** Several messages may be lost or late before an entry counts as silent. */
const entryTimeoutMilliseconds = 1_500;
/** Seven messages in a row of all zones but this one. */
const zoneIsolationMilliseconds = 750;

type ReceivedStatus = { status: EntryStatus; receivedAt: number; };

export const createPeerStatusTable = (clock: Pick<Clock, "now">, log: IngressLog): PeerStatusTable => {
    const received = new Map<string, ReceivedStatus>();
    let runningByUpstream = new Map<string, number>();
    let totalsComputedAt = -Infinity;
    let otherZonesReceivedAt: number | undefined;
    let maximumPeersSeen = 0;
    /** Sums are made anew this often at most, as every admitted request reads them. */
    const totalsMaximumAgeMilliseconds = 10;

    const freshStatuses = (): ReceivedStatus[] => {
        for (const [host, { receivedAt: receivedAt, status: status }] of received) {
            if (clock.now() - receivedAt > entryTimeoutMilliseconds) {
                received.delete(host);
                log.dependency(`entry ${host}`, "lost", {
                    silentFor: Math.round(clock.now() - receivedAt),
                    sequence: status.sequence,
                });
            }
        }
        return [...received.values()];
    };

    const currentTotals = (): Map<string, number> => {
        if (clock.now() - totalsComputedAt >= totalsMaximumAgeMilliseconds) {
            runningByUpstream = new Map();
            totalsComputedAt = clock.now();
            for (const { status: status } of freshStatuses()) {
                for (const [id, count] of Object.entries(status.running)) {
                    runningByUpstream.set(id, (runningByUpstream.get(id) ?? 0) + count);
                }
            }
        }
        return runningByUpstream;
    };

    return {
        record: (status, sender) => {
            const known = received.get(status.host);
            if (known === undefined) {
                log.dependency(`entry ${status.host}`, "regained", { teller: sender, incarnation: status.incarnation });
            }
            else if (known.status.incarnation === status.incarnation && known.status.sequence >= status.sequence) {
                return;
            }
            received.set(status.host, { status: status, receivedAt: clock.now() });
            maximumPeersSeen = Math.max(maximumPeersSeen, received.size);
        },
        isZoneIsolated: availabilityZone => {
            const others = [...received.values()].filter(({ status: status }) =>
                status.availabilityZone !== availabilityZone
            );
            otherZonesReceivedAt = others.reduce<number | undefined>(
                (latest, { receivedAt: receivedAt }) => Math.max(latest ?? receivedAt, receivedAt),
                otherZonesReceivedAt,
            );
            return otherZonesReceivedAt !== undefined && clock.now() - otherZonesReceivedAt > zoneIsolationMilliseconds;
        },
        runningOn: id => currentTotals().get(id) ?? 0,
        limitOf: group => {
            const limits = freshStatuses().flatMap(({ status: status }) => status.limits[group] ?? []);
            return limits.length === 0 ? undefined : limits.reduce((total, limit) => total + limit, 0) / limits.length;
        },
        entries: () => freshStatuses().length + 1,
        orderOf: host => freshStatuses().filter(({ status: status }) => status.host < host).length,
        maximumEntriesSeen: () => maximumPeersSeen + 1,
        heardIn: availabilityZone =>
            freshStatuses().filter(({ status: status }) => status.availabilityZone === availabilityZone)
                .map(({ status: status, receivedAt: receivedAt }) => ({
                    status: status,
                    age: clock.now() - receivedAt,
                })),
    };
};
