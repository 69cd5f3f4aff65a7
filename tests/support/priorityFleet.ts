/**
 * Simulated entries that compete for the slots of lock-step groups, on a stepped clock.
 *
 * The entries run the product's own admission, scheduler, concurrency limits and gossip messages; the network, the
 * callers and the engines are simulated. An engine starts streams in the order of their queue priority.
 */
import { setMaxListeners } from "node:events";
import type { KnownUpstream } from "../../src/coordination/ingress/deploymentState.js";
import { startGossipSchedule } from "../../src/coordination/ingress/gossipSchedule.js";
import { createIngressLog } from "../../src/coordination/ingress/ingressLog.js";
import { createPeerStatusTable, type EntryStatus } from "../../src/coordination/ingress/peerStatusTable.js";
import type { RequestContext, RequestDependencies } from "../../src/coordination/ingress/requestContext.js";
import { createStreamAdmission } from "../../src/coordination/ingress/streamAdmission.js";
import { createStreamScheduler, type StreamReservation } from "../../src/coordination/ingress/streamScheduler.js";
import { createUpstreamHealth } from "../../src/coordination/ingress/upstreamHealth.js";
import { createUpstreamPauses } from "../../src/coordination/ingress/upstreamPauses.js";
import { createUrgencyShares } from "../../src/coordination/ingress/urgencyShares.js";
import { createMetrics } from "../../src/coordination/metrics.js";
import { createRetryBudget } from "../../src/coordination/retryBudget.js";
import { decodeEntryGossip, encodeEntryGossip } from "../../src/protocol/entryGossipMessages.js";
import type { Clock } from "../../src/state/types.js";
import { noCrashEvidence, unusedCrashObserver } from "./crashes.js";
import { noUpstreamLimits } from "./noUpstreamLimits.js";
import { seededRandom } from "./random.js";
import { steppedClock } from "./steppedClock.js";
import { listedUpstream } from "./upstreams.js";

/** Streams of one kind that callers send, with the figures of the deployment's sheet. */
export type StreamClass = {
    priority: number;
    /** Share of all arrivals. */
    share: number;
    objectiveMilliseconds: number;
    worth: number;
};

export const classes: StreamClass[] = [
    { priority: 0, share: 64 / 176, objectiveMilliseconds: 400, worth: 3.5 },
    { priority: 1, share: 28 / 176, objectiveMilliseconds: 400, worth: 1.8 },
    { priority: 2, share: 84 / 176, objectiveMilliseconds: 1_000, worth: 0.92 },
];

export type Fault = "cut-off" | "frozen" | "restarted" | "earlier-build" | "one-way";

export type PriorityPlay = {
    entries: number;
    /** Streams a second of each class, in the order of `classes`, at a time. */
    arrivals: (now: number) => number[];
    seconds: number;
    seed: number;
    /** Entries with a fault, the first ones; they are spread over the zones. */
    faulty?: { kind: Fault; entries: number; from: number; until: number; };
    /** Whether the entries decide as builds without shared priority do. */
    isPartOff?: boolean;
    /** Gives all streams this priority. */
    onlyPriority?: number;
    accountOf?: (random: () => number) => string;
    entryOf?: (account: string, random: () => number) => number;
};

export type ClassOutcome = { offered: number; inTime: number; late: number; refused: number; retryAfter: number[]; };

export type PriorityOutcome = {
    byClass: ClassOutcome[];
    /** Served in time over offered, by account, of the streams of the lowest class. */
    byAccount: Map<string, { offered: number; inTime: number; }>;
    worth: number;
    startsPerSecond: number;
    /** Mean free share of the limit over the moments at which a stream waited or was refused in the last 0.1 s. */
    idle: number;
    /** The most streams that ran at once over the entries' mean limit. */
    overrun: number;
    codes: Map<string, number>;
    longestRefusal: number;
    shareInTime: (priority: number) => number;
};

const groupCount = 3;
const ranksPerGroup = 24;
const slots = 7;
const gapTargetMilliseconds = 120;
const patienceMilliseconds = 8_000;
const warmUpMilliseconds = 4_000;
const datagramMilliseconds = 1;
const zones = ["kuopio", "varkaus", "iisalmi"];

/** A pass of six steps; a rank with all slots taken stays just below the pauses at which limits decrease. */
const passMilliseconds = (streamsOfBusiestRank: number): number => 6 * (5 + 1.55 * streamsOfBusiestRank);

type Stream = {
    reservation: StreamReservation;
    queuePriority: number;
    eventsLeft: number;
    lastAt: number | undefined;
    isFirst: boolean;
    onFirst: () => void;
    onEnd: () => void;
};

const upstreams: KnownUpstream[] = [...Array(groupCount * ranksPerGroup).keys()].map(index => ({
    ...listedUpstream({
        id: `u${index}`,
        slots,
        group: { name: `g${index % groupCount}`, epoch: 1, rank: Math.floor(index / groupCount), isOpen: true },
    }),
    goneAt: undefined,
}));

export const playPriorities = async (play: PriorityPlay): Promise<PriorityOutcome> => {
    const { entries: entryCount, arrivals, seconds, seed, faulty, isPartOff = false } = play;
    const random = seededRandom(seed);
    const clock = steppedClock(0);
    const end = new AbortController();
    setMaxListeners(0, end.signal);
    const queued = new Map<string, Stream[]>(upstreams.map(({ id }) => [id, []]));
    const running = new Map<string, Stream[]>(upstreams.map(({ id }) => [id, []]));

    const hasFault = (entry: number, ...kinds: Fault[]): boolean =>
        faulty !== undefined && kinds.includes(faulty.kind) && entry < faulty.entries && clock.now() >= faulty.from
        && clock.now() < faulty.until;
    const isCut = (from: number, to: number): boolean =>
        hasFault(from, "cut-off") !== hasFault(to, "cut-off") || hasFault(from, "frozen") || hasFault(to, "frozen")
        || hasFault(to, "one-way");

    const startEntry = (index: number, incarnation: string) => {
        const lifetime = new AbortController();
        end.signal.addEventListener("abort", () => lifetime.abort());
        const ownClock: Clock = clock;
        const log = createIngressLog(() => undefined, ownClock);
        const peerStatuses = createPeerStatusTable(ownClock, log);
        const health = createUpstreamHealth(ownClock, log);
        const metrics = createMetrics();
        const dependencies: RequestDependencies = {
            clock: ownClock,
            log,
            metrics,
            health,
            retryBudget: createRetryBudget(ownClock, () => 0),
            crashObserver: unusedCrashObserver,
            crashEvidence: noCrashEvidence,
            upstreamLimits: noUpstreamLimits,
            random,
        };
        const scheduler = createStreamScheduler({
            state: { usable: () => upstreams, all: () => upstreams },
            health,
            pauses: createUpstreamPauses(ownClock, log),
            upstreamLimits: noUpstreamLimits,
            clock: ownClock,
            peerStatuses,
            queryEngine: async () => undefined,
            log,
            random,
            signal: end.signal,
        });
        const urgencyShares = createUrgencyShares({ ...dependencies, peerStatuses, load: scheduler.loadOf });
        const admission = createStreamAdmission(scheduler, dependencies, isPartOff ? {} : { urgencyShares });
        const host = `entry-${String(index).padStart(2, "0")}`;
        const availabilityZone = zones[index % zones.length] as string;
        let sequence = 0;
        startGossipSchedule({
            host,
            availabilityZone,
            others: () => peers.filter(peer => peer.host !== host),
            peerStatuses,
            ownStatus: () => ({
                host,
                availabilityZone,
                incarnation,
                sequence: sequence += 1,
                running: Object.fromEntries([...scheduler.running()].filter(([, count]) => count > 0)),
                limits: Object.fromEntries(scheduler.groups().map(({ group, limit }) => [group, limit])),
                demand: hasFault(index, "earlier-build") ? undefined : urgencyShares.demand.all(),
                work: {},
                store: undefined,
                unserved: [],
                hasRead: false,
                leaving: {},
                statedLimits: {},
                crashEvidence: undefined,
            }),
            send: (addresses, statuses) => deliver(index, addresses, statuses),
            clock: ownClock,
            signal: lifetime.signal,
        });
        return {
            lifetime,
            scheduler,
            admission,
            receive: (statuses: EntryStatus[]): void => {
                statuses.filter(status => status.host !== host).forEach(status => peerStatuses.record(status, ""));
                admission.retryQueued();
            },
        };
    };

    const peers = [...Array(entryCount).keys()].map(index => ({
        host: `entry-${String(index).padStart(2, "0")}`,
        availabilityZone: zones[index % zones.length] as string,
        address: String(index),
    }));

    const deliver = (from: number, addresses: string[], statuses: EntryStatus[]): void => {
        const message = encodeEntryGossip({ from: String(from), news: statuses });
        const { news } = decodeEntryGossip(message)._unsafeUnwrap();
        void clock.sleep(datagramMilliseconds, end.signal).then(() =>
            addresses.map(Number).filter(to => !isCut(from, to)).forEach(to => entries[to]?.receive(news))
        );
    };

    const entries: ReturnType<typeof startEntry>[] = [...peers.keys()].map(index => startEntry(index, "1"));

    const outcome = {
        byClass: classes.map((): ClassOutcome => ({ offered: 0, inTime: 0, late: 0, refused: 0, retryAfter: [] })),
        byAccount: new Map<string, { offered: number; inTime: number; }>(),
        codes: new Map<string, number>(),
        longestRefusal: 0,
        starts: 0,
        idle: [] as number[],
        overrun: 0,
    };
    let waiting = 0;
    let refusedAt = -Infinity;

    const arrive = async (position: number, entry: number, account: string): Promise<void> => {
        const streamClass = classes[position]!;
        const counts = outcome.byClass[position]!;
        const isCounted = clock.now() >= warmUpMilliseconds;
        const arrivedAt = clock.now();
        const ofAccount = outcome.byAccount.get(account) ?? { offered: 0, inTime: 0 };
        outcome.byAccount.set(account, ofAccount);
        if (isCounted) {
            counts.offered += 1;
            ofAccount.offered += position === classes.length - 1 ? 1 : 0;
        }
        const context = {
            envelope: { requestId: "r", promptTokens: 800, maximumAnswerTokens: 160 },
            route: { objectiveMilliseconds: streamClass.objectiveMilliseconds },
            traits: { content: "request", parts: [] },
            service: "model",
            clientAccount: account,
            priority: play.onlyPriority ?? streamClass.priority,
            urgency: isPartOff ? undefined : play.onlyPriority ?? streamClass.priority,
            arrivedAt,
            callerDeadlineAt: arrivedAt + patienceMilliseconds,
            responseDueAt: arrivedAt + patienceMilliseconds,
            signal: end.signal,
        } as unknown as RequestContext;
        const { admission } = entries[entry]!;
        waiting += 1;
        const entered = await admission.enter(context);
        waiting -= 1;
        if (entered.isErr()) {
            const { kind, retryAfterMilliseconds = 0 } = entered.error;
            refusedAt = clock.now();
            outcome.codes.set(kind, (outcome.codes.get(kind) ?? 0) + 1);
            if (isCounted) {
                counts.refused += 1;
                counts.retryAfter.push(retryAfterMilliseconds);
                outcome.longestRefusal = Math.max(outcome.longestRefusal, clock.now() - arrivedAt);
            }
            return;
        }
        const reservation = entered.value;
        outcome.starts += clock.now() >= warmUpMilliseconds ? 1 : 0;
        const queue = queued.get(reservation.upstream.id)!;
        const stream: Stream = {
            reservation,
            queuePriority: admission.queuePriority(context) ?? 5,
            // Streams last 1.9 s in the mean at the pace of a full group.
            eventsLeft: 10 + Math.floor(random() * 21),
            lastAt: undefined,
            isFirst: true,
            onFirst: () => {
                const isInTime = clock.now() - arrivedAt <= streamClass.objectiveMilliseconds;
                if (isCounted) {
                    counts[isInTime ? "inTime" : "late"] += 1;
                    ofAccount.inTime += isInTime && position === classes.length - 1 ? 1 : 0;
                }
            },
            onEnd: () => {
                reservation.release();
                admission.retryQueued();
            },
        };
        queue.push(stream);
        queue.sort((left, right) => left.queuePriority - right.queuePriority);
    };

    const runGroup = async (group: number): Promise<void> => {
        const ids = upstreams.filter(upstream => upstream.group?.name === `g${group}`).map(({ id }) => id);
        while (!end.signal.aborted) {
            for (const id of ids) {
                const streams = running.get(id)!;
                streams.push(...queued.get(id)!.splice(0, slots - streams.length));
            }
            await clock.sleep(passMilliseconds(Math.max(...ids.map(id => running.get(id)!.length))), end.signal);
            for (const id of ids) {
                const streams = running.get(id)!;
                for (const stream of streams) {
                    const pause = stream.lastAt === undefined ? undefined : clock.now() - stream.lastAt;
                    stream.reservation.recordEvent(pause, gapTargetMilliseconds);
                    if (stream.lastAt === undefined) {
                        stream.onFirst();
                    }
                    stream.lastAt = clock.now();
                    stream.eventsLeft -= 1;
                }
                running.set(id, streams.filter(({ eventsLeft }) => eventsLeft > 0));
                streams.filter(({ eventsLeft }) => eventsLeft <= 0).forEach(stream => stream.onEnd());
            }
        }
    };

    const sendClass = async (position: number): Promise<void> => {
        while (clock.now() < seconds * 1_000) {
            const rate = arrivals(clock.now())[position]!;
            await clock.sleep(rate <= 0 ? 100 : -Math.log(1 - random()) * 1_000 / rate, end.signal);
            const account = play.accountOf?.(random) ?? "council";
            const entry = play.entryOf?.(account, random) ?? Math.floor(random() * entryCount);
            if (rate > 0 && !hasFault(entry, "frozen")) {
                void arrive(position, entry, account);
            }
        }
    };

    const observe = async (): Promise<void> => {
        while (clock.now() < seconds * 1_000) {
            await clock.sleep(20, end.signal);
            if (clock.now() < warmUpMilliseconds) {
                continue;
            }
            const limits = entries.map(({ scheduler }) =>
                scheduler.groups().reduce((sum, { limit }) => sum + limit, 0)
            );
            const limit = limits.reduce((sum, value) => sum + value, 0) / entryCount;
            const count = [...running.values(), ...queued.values()].reduce((sum, streams) => sum + streams.length, 0);
            outcome.overrun = Math.max(outcome.overrun, count - limit);
            if (waiting > 0 || clock.now() - refusedAt < 100) {
                outcome.idle.push(Math.max(0, limit - count) / limit);
            }
        }
    };

    [...Array(groupCount).keys()].forEach(group => void runGroup(group));
    [...classes.keys()].forEach(position => void sendClass(position));
    void observe();
    if (faulty?.kind === "restarted") {
        void clock.sleep(faulty.from, end.signal).then(() => {
            for (let index = 0; index < faulty.entries; index += 1) {
                entries[index]?.lifetime.abort();
                entries[index] = startEntry(index, "2");
            }
        });
    }
    await clock.advance(seconds * 1_000 + 1_500);
    end.abort();
    await clock.advance(0);

    return {
        ...outcome,
        startsPerSecond: outcome.starts * 1_000 / (seconds * 1_000 - warmUpMilliseconds),
        worth: outcome.byClass.reduce((sum, { inTime }, position) => sum + inTime * classes[position]!.worth, 0),
        idle: outcome.idle.reduce((sum, share) => sum + share, 0) / Math.max(1, outcome.idle.length),
        shareInTime: priority => {
            const { inTime, offered } = outcome.byClass[priority]!;
            return inTime / offered;
        },
    };
};

/** Arrivals of all classes in the proportions of the sheet. */
export const mixOf = (perSecond: number): number[] => classes.map(({ share }) => share * perSecond);
