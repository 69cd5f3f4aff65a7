/**
 * The latest status of each other entry, as far as it is recent.
 *
 * Entries select ranks and admit streams by the sum of all entries' counts, so each reports its counts to the others
 * several times a second. The status of an entry that goes silent is dropped, as its streams end or time out.
 */
import type { CrashEvidence } from "../../state/crashEvidence.js";
import type { Clock } from "../../state/types.js";
import type { IngressLog } from "./ingressLog.js";
import type { FeedTopic } from "./recordSource.js";
import type { LimitStatement } from "./statedLimits.js";
import type { TopicReadStatus } from "./topicFreshness.js";

/** Streams of one priority that one entry sees for one service. */
export type PriorityDemand = {
    /** 0 is the highest. */
    priority: number;
    /** Streams a second that arrived lately. */
    arrivalsPerSecond: number;
    /** Streams a second that got a place lately. */
    startsPerSecond: number;
    /** Streams that wait for a place now. */
    waiting: number;
};

/** The demand of the other entries for one service. */
export type PeerDemand = {
    /** One for each entry and priority. */
    rows: PriorityDemand[];
    /** Mean time since the counts were received; 0 without any. */
    meanAgeSeconds: number;
    /** Whether all live entries state their demand. */
    isComplete: boolean;
};

/** Work that one entry's requests still have to do on one upstream. */
export type OutstandingWork = {
    /** Prompt tokens of streams without an event so far. */
    promptTokens: number;
    /** Tokens that are expected to be written; for unary requests, milliseconds of work. */
    remaining: number;
    /** Tokens of prompts and answers that may be in the upstream's memory. */
    heldTokens: number;
};

/** Work of several entries on one upstream. */
export type PeerWork = OutstandingWork & {
    /** Requests there of entries that tell no work for this upstream. */
    unestimated: number;
};

/** What one entry reports about itself. */
export type EntryStatus = {
    host: string;
    availabilityZone: string;
    /** Unique to each start of the entry. */
    incarnation: string;
    /** Increases with each message of one incarnation. */
    sequence: number;
    /** Number of requests that it runs, by upstream id. */
    running: Record<string, number>;
    /** Its concurrency limit for each group. */
    limits: Record<string, number>;
    /**
     * Its demand by service with recent streams, in the order of priorities; undefined from an entry of an earlier
     * build.
     */
    demand: Record<string, PriorityDemand[]> | undefined;
    /** Its outstanding work by upstream id; only for services that are routed by cost. */
    work: Record<string, OutstandingWork>;
    /** Undefined until it has read both topics of the store once. */
    store: TopicReadStatus | undefined;
    /** Topics for which the store left its latest call without an answer. */
    unserved: FeedTopic[];
    /** Whether other entries can read all followed topics from it. */
    hasRead: boolean;
    /** Upstreams whose responses said that they are leaving, with the start times of those runs. */
    leaving: Record<string, number>;
    /** Limits that upstreams stated, as far as the other entries need to hear of them, by upstream id. */
    statedLimits: Record<string, LimitStatement>;
    /** Undefined if there is none. */
    crashEvidence: CrashEvidence | undefined;
};

export type PeerStatusTable = {
    /**
     * Records a status received from the entry `sender`, either its own or one that it relays; older ones are ignored.
     */
    record: (status: EntryStatus, sender: string) => void;
    /** Number of requests that the other entries run on an upstream. */
    runningOn: (id: string) => number;
    /** Work that the other entries have on an upstream. */
    workOn: (id: string) => PeerWork;
    /** Sum of the ages of the other entries' counts: how much time of one entry the counts don't show. */
    countAgeSeconds: () => number;
    /** The other entries' demand for a service. */
    demandOf: (service: string) => PeerDemand;
    /** Mean of the other entries' concurrency limits for a group; undefined if none has one. */
    limitOf: (group: string) => number | undefined;
    /** Number of live entries, including this one. */
    entries: () => number;
    /** The highest number of entries that were live at once, including this one. */
    maximumEntriesSeen: () => number;
    /** The latest status of each live entry, and the milliseconds since it was received. */
    live: () => { status: EntryStatus; age: number; }[];
    /** The latest status of each live entry of a zone, and the milliseconds since it was received. */
    statusesInZone: (availabilityZone: string) => { status: EntryStatus; age: number; }[];
    /** Zero-based position of this entry, `host`, among the live entries ordered by host name. */
    orderOf: (host: string) => number;
    /** Whether entries of other availability zones were live before and all are silent now. */
    isZoneIsolated: (availabilityZone: string) => boolean;
};

/** Several messages in a row may be lost or late before an entry counts as lost. */
const entryTimeoutMilliseconds = 1_500;
/** Seven messages in a row of all other zones. */
const zoneIsolationMilliseconds = 750;

const millisecondsPerSecond = 1_000;

const noWork: PeerWork = { promptTokens: 0, remaining: 0, heldTokens: 0, unestimated: 0 };

type ReceivedStatus = { status: EntryStatus; receivedAt: number; };

export const createPeerStatusTable = (clock: Pick<Clock, "now">, log: IngressLog): PeerStatusTable => {
    const received = new Map<string, ReceivedStatus>();
    let runningByUpstream = new Map<string, number>();
    let workByUpstream = new Map<string, PeerWork>();
    let totalsComputedAt = -Infinity;
    let countAgeSeconds = 0;
    let otherZonesReceivedAt: number | undefined;
    let maximumPeersSeen = 0;
    /** Totals are cached for this long, as every admitted request reads them. */
    const totalsMaximumAgeMilliseconds = 10;

    const freshStatuses = (): ReceivedStatus[] => {
        for (const [host, { receivedAt, status }] of received) {
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

    const addWork = (id: string, work: OutstandingWork | undefined, requests: number): void => {
        const total = workByUpstream.get(id) ?? { ...noWork };
        workByUpstream.set(id, total);
        if (work === undefined) {
            total.unestimated += requests;
            return;
        }
        total.promptTokens += work.promptTokens;
        total.remaining += work.remaining;
        total.heldTokens += work.heldTokens;
    };

    const currentTotals = (): Map<string, number> => {
        if (clock.now() - totalsComputedAt >= totalsMaximumAgeMilliseconds) {
            runningByUpstream = new Map();
            workByUpstream = new Map();
            totalsComputedAt = clock.now();
            const fresh = freshStatuses();
            countAgeSeconds = fresh.reduce((total, { receivedAt }) => total + clock.now() - receivedAt, 0)
                / millisecondsPerSecond;
            for (const { status } of fresh) {
                for (const [id, count] of Object.entries(status.running)) {
                    runningByUpstream.set(id, (runningByUpstream.get(id) ?? 0) + count);
                    addWork(id, status.work[id], count);
                }
            }
        }
        return runningByUpstream;
    };

    const live = (): { status: EntryStatus; age: number; }[] =>
        freshStatuses().map(({ status, receivedAt }) => ({ status, age: clock.now() - receivedAt }));

    return {
        live,
        record: (status, sender) => {
            const known = received.get(status.host);
            if (known === undefined) {
                log.dependency(`entry ${status.host}`, "regained", { teller: sender, incarnation: status.incarnation });
            }
            else if (known.status.incarnation === status.incarnation && known.status.sequence >= status.sequence) {
                return;
            }
            received.set(status.host, { status, receivedAt: clock.now() });
            maximumPeersSeen = Math.max(maximumPeersSeen, received.size);
        },
        isZoneIsolated: availabilityZone => {
            const others = [...received.values()].filter(({ status }) => status.availabilityZone !== availabilityZone);
            otherZonesReceivedAt = others.reduce<number | undefined>(
                (latest, { receivedAt }) => Math.max(latest ?? receivedAt, receivedAt),
                otherZonesReceivedAt,
            );
            return otherZonesReceivedAt !== undefined && clock.now() - otherZonesReceivedAt > zoneIsolationMilliseconds;
        },
        runningOn: id => currentTotals().get(id) ?? 0,
        workOn: id => {
            currentTotals();
            return workByUpstream.get(id) ?? noWork;
        },
        countAgeSeconds: () => {
            currentTotals();
            return countAgeSeconds;
        },
        demandOf: service => {
            const fresh = freshStatuses();
            const ages = fresh.reduce((total, { receivedAt }) => total + clock.now() - receivedAt, 0);
            return {
                rows: fresh.flatMap(({ status }) => status.demand?.[service] ?? []),
                meanAgeSeconds: fresh.length === 0 ? 0 : ages / fresh.length / millisecondsPerSecond,
                isComplete: fresh.every(({ status }) => status.demand !== undefined),
            };
        },
        limitOf: group => {
            const limits = freshStatuses().flatMap(({ status }) => status.limits[group] ?? []);
            return limits.length === 0 ? undefined : limits.reduce((total, limit) => total + limit, 0) / limits.length;
        },
        entries: () => freshStatuses().length + 1,
        orderOf: host => freshStatuses().filter(({ status }) => status.host < host).length,
        maximumEntriesSeen: () => maximumPeersSeen + 1,
        statusesInZone: availabilityZone => live().filter(({ status }) => status.availabilityZone === availabilityZone),
    };
};
