/**
 * Selects the lock-step group and the rank for each stream, and reserves capacity there.
 *
 * Stream counts include those of all entries. A group below its concurrency limit is chosen, and then one of its ranks,
 * by their free places (see `chooseByFreePlaces.ts`).
 */
import type { EngineProfile, GroupMembership } from "../../state/ingressTypes.js";
import type { Clock } from "../../state/types.js";
import { chooseGroup, chooseRank, chooseRankByCost } from "./chooseByFreePlaces.js";
import type { DeploymentState, KnownUpstream } from "./deploymentState.js";
import { createGroupConcurrencyLimit, type GroupConcurrencyLimit } from "./groupConcurrencyLimit.js";
import { createGroupStallDetector, type GroupProgress, type GroupStallDetector } from "./groupStallDetector.js";
import type { IngressLog } from "./ingressLog.js";
import type { OutstandingWorkTable } from "./outstandingWork.js";
import type { PeerStatusTable } from "./peerStatusTable.js";
import { type RankLoad, rankLoad } from "./rankLoad.js";
import type { StreamCost } from "./streamCost.js";
import type { UpstreamHealth } from "./upstreamHealth.js";
import { type LimitState, limitStateOf, type UpstreamLimits } from "./upstreamLimits.js";
import type { UpstreamPauses } from "./upstreamPauses.js";

export type StreamReservation = {
    upstream: KnownUpstream;
    /** Records an event, `pauseMilliseconds` after the previous one of the same attempt; undefined for the first. */
    recordEvent: (pauseMilliseconds: number | undefined, gapTargetMilliseconds: number) => void;
    /** States whether the stream waits for its caller; its silence then says nothing about its group. */
    setHeldBack: (isHeldBack: boolean) => void;
    /** Records that the attempt got no usable response. */
    recordFailure: (reason: string) => void;
    release: () => void;
};

/**
 * `admitted`: a stream that was admitted before and needs another attempt; its caller may have received a part of it.
 * It is started even above the group's concurrency limit, but not beyond the slots of its rank.
 */
export type StreamAdmissionClass = "new" | "admitted";

/** What a stream asks of a place. */
export type PlaceRequest = {
    admissionClass: StreamAdmissionClass;
    /** Upstreams that state a limit on requests are chosen only if no other has capacity. */
    prefersUnlimited?: boolean;
    /**
     * Free places of the service, over all of its groups, that are left to more urgent streams. Negative for the most
     * urgent ones: places beyond the groups' limits that they may take.
     */
    heldBackPlaces?: number;
    /** What the stream is expected to cost; undefined if its service is not routed by cost. */
    cost?: StreamCost | undefined;
};

export type StreamScheduler = {
    /** Reserves capacity on an upstream not in `excluded`; undefined while none is available to this request. */
    reserve: (service: string, excluded: ReadonlySet<string>, request: PlaceRequest) => StreamReservation | undefined;
    /** Reserves capacity for a stream of `upstream` on another one, of another group if they are in groups. */
    reserveElsewhere: (
        upstream: KnownUpstream,
        excluded: ReadonlySet<string>,
        cost?: StreamCost,
    ) => StreamReservation | undefined;
    /** This entry's streams by upstream id. */
    running: () => ReadonlyMap<string, number>;
    /** For each group its concurrency limit, and the running streams of this entry and of all entries. */
    groups: () => { group: string; limit: number; running: number; overall: number; }[];
    /** Sums over the service's running groups: their limits and the running streams of all entries. */
    loadOf: (service: string) => { limit: number; running: number; };
    /** Whether any upstream of the service, not in `excluded`, is in a running group. */
    hasUpstream: (service: string, excluded: ReadonlySet<string>) => boolean;
    /** Whether the service has usable upstreams, all of them in groups that are stalled. */
    isRecovering: (service: string) => boolean;
    /** Time until the first upstream takes work again, if all usable ones have asked for a pause; else undefined. */
    pauseMilliseconds: (service: string) => number | undefined;
    /** How far the limits on requests leave a choice of the usable upstreams that are not in `excluded`. */
    limitState: (service: string, excluded: ReadonlySet<string>) => LimitState;
    /** Whether any known group is running; true while no group is known. */
    hasRunningGroup: () => boolean;
};

export type StreamSchedulerOptions = {
    state: Pick<DeploymentState, "usable" | "all">;
    health: Pick<UpstreamHealth, "isEjected">;
    pauses: Pick<UpstreamPauses, "isPaused" | "millisecondsUntilFirst">;
    upstreamLimits: Pick<UpstreamLimits, "isLimited" | "millisecondsUntilOpen">;
    clock: Clock;
    peerStatuses: Pick<PeerStatusTable, "runningOn" | "limitOf" | "countAgeSeconds">;
    /** Queries one engine for the state of its group; undefined if it doesn't respond. */
    queryEngine: (upstream: KnownUpstream, signal: AbortSignal) => Promise<GroupProgress | undefined>;
    log: IngressLog;
    random: () => number;
    signal: AbortSignal;
    /** Undefined if no service is routed by cost. */
    costRouting?: { work: OutstandingWorkTable; profileOf: (service: string) => EngineProfile | undefined; };
};

/** Share of the group's slots that is used as its limit until pauses between events are observed. */
const initialLimitShare = 0.55;

const rateWindowMilliseconds = 1_000;

/** Counts this entry's starts of streams over the last second. */
const createStartRate = (clock: Pick<Clock, "now">) => {
    let starts: number[] = [];
    return {
        record: (): void => void starts.push(clock.now()),
        perSecond: (): number => {
            const since = clock.now() - rateWindowMilliseconds;
            starts = starts.filter(at => at > since);
            return starts.length;
        },
    };
};

export const groupOf = ({ group, service }: Pick<KnownUpstream, "group" | "service">): string => group?.name ?? service;

type GroupCandidate = {
    group: string;
    concurrencyLimit: GroupConcurrencyLimit;
    ranks: KnownUpstream[];
    freePlaces: number;
};

export const createStreamScheduler = (options: StreamSchedulerOptions): StreamScheduler => {
    const { state, health, pauses, upstreamLimits, clock, peerStatuses, queryEngine, log, random, signal } = options;
    const { costRouting } = options;
    const concurrencyLimits = new Map<string, GroupConcurrencyLimit>();
    const stallDetectors = new Map<string, GroupStallDetector>();
    const runningByUpstream = new Map<string, number>();
    const startRate = createStartRate(clock);

    const streamCountOn = (id: string): number => (runningByUpstream.get(id) ?? 0) + peerStatuses.runningOn(id);

    const ranksOf = (group: string): KnownUpstream[] => state.all().filter(upstream => groupOf(upstream) === group);

    const sum = (upstreams: KnownUpstream[], value: (upstream: KnownUpstream) => number): number =>
        upstreams.reduce((total, upstream) => total + value(upstream), 0);

    const runningOnAllEntries = (group: string): number => sum(ranksOf(group), ({ id }) => streamCountOn(id));

    const concurrencyLimitOf = (group: string): GroupConcurrencyLimit => {
        const known = concurrencyLimits.get(group);
        if (known !== undefined) {
            return known;
        }
        const slots = (): number => sum(ranksOf(group), upstream => upstream.slots);
        const created = createGroupConcurrencyLimit({
            clock,
            initialLimit: peerStatuses.limitOf(group) ?? slots() * initialLimitShare,
            runningOnAllEntries: () => runningOnAllEntries(group),
            peerLimit: () => peerStatuses.limitOf(group),
            maximumLimit: slots,
        });
        concurrencyLimits.set(group, created);
        return created;
    };

    const stallDetectorOf = (group: string): GroupStallDetector => {
        const known = stallDetectors.get(group);
        if (known !== undefined) {
            return known;
        }
        const queryRandomRank = async (querySignal: AbortSignal): Promise<GroupProgress | undefined> => {
            const ranks = ranksOf(group);
            const rank = ranks[Math.floor(random() * ranks.length)];
            return rank === undefined ? undefined : queryEngine(rank, querySignal);
        };
        const created = createGroupStallDetector({ group, queryEngine: queryRandomRank, clock, log, signal });
        stallDetectors.set(group, created);
        return created;
    };

    const isRunning = ({ name, isOpen, epoch }: GroupMembership): boolean => {
        const stallDetector = stallDetectorOf(name);
        if (!isOpen) {
            stallDetector.reportListedBroken(epoch);
        }
        return stallDetector.isRunning();
    };

    const candidates = (service: string, excluded: ReadonlySet<string>): KnownUpstream[] => {
        const usable = state.usable(service).filter(upstream =>
            !excluded.has(upstream.id) && !pauses.isPaused(upstream)
        );
        const runningUpstreams = usable.filter(({ group }) => group === undefined || isRunning(group));
        const healthy = runningUpstreams.filter(({ id }) => !health.isEjected(id));
        return healthy.length > 0 ? healthy : runningUpstreams;
    };

    const freeSlotsOf = (upstream: KnownUpstream): number => upstream.slots - streamCountOn(upstream.id);

    /** Groups of the upstreams that accept another stream. */
    const groupsWithCapacity = (
        upstreams: KnownUpstream[],
        admissionClass: StreamAdmissionClass,
        placesAboveLimits: number,
    ): GroupCandidate[] => {
        const byGroup = new Map<string, KnownUpstream[]>();
        for (const upstream of upstreams) {
            const group = groupOf(upstream);
            const ranks = byGroup.get(group) ?? [];
            ranks.push(upstream);
            byGroup.set(group, ranks);
        }
        return [...byGroup]
            .map(([group, ranks]) => {
                const concurrencyLimit = concurrencyLimitOf(group);
                const limit = concurrencyLimit.limit() + placesAboveLimits / byGroup.size;
                const freeUnderLimit = Math.floor(limit - runningOnAllEntries(group));
                const freeSlots = sum(ranks, upstream => Math.max(0, freeSlotsOf(upstream)));
                const admitted = admissionClass === "admitted" ? Math.max(1, freeUnderLimit) : freeUnderLimit;
                return { group, concurrencyLimit, ranks, freePlaces: Math.min(admitted, freeSlots) };
            })
            .filter(({ freePlaces }) => freePlaces > 0);
    };

    /** The load of a rank with one more stream; undefined if the service isn't routed by cost. */
    const loadWith = (
        cost: StreamCost | undefined,
        service: string,
    ): ((rank: KnownUpstream) => RankLoad) | undefined => {
        const profile = costRouting?.profileOf(service);
        if (costRouting === undefined || profile === undefined || cost === undefined) {
            return undefined;
        }
        return ({ id }) => {
            const work = costRouting.work.on(id, runningByUpstream.get(id) ?? 0);
            return rankLoad(work, streamCountOn(id), cost, profile);
        };
    };

    const reserveAmong = (
        candidateUpstreams: KnownUpstream[],
        { admissionClass, cost, heldBackPlaces = 0 }: PlaceRequest,
    ): StreamReservation | undefined => {
        const open = candidateUpstreams.filter(upstream => upstreamLimits.millisecondsUntilOpen(upstream) <= 0);
        const load = loadWith(cost, open[0]?.service ?? "");
        const upstreams = load === undefined ? open : open.filter(upstream => load(upstream).fitsMemory);
        const unseenStarts = startRate.perSecond() * peerStatuses.countAgeSeconds();
        const groups = groupsWithCapacity(upstreams, admissionClass, Math.max(0, -heldBackPlaces));
        if (heldBackPlaces > 0 && groups.reduce((total, group) => total + group.freePlaces, 0) <= heldBackPlaces) {
            return undefined;
        }
        const candidate = chooseGroup(
            groups,
            { freePlaces: group => group.freePlaces, unseenStarts, random },
        );
        const rankChoice = { freePlaces: freeSlotsOf, unseenStarts, random };
        const upstream = load === undefined
            ? chooseRank(candidate?.ranks ?? [], rankChoice)
            : chooseRankByCost(candidate?.ranks ?? [], {
                ...rankChoice,
                lengthening: rank => load(rank).lengtheningMilliseconds,
                remaining: rank => load(rank).remainingTokens,
            });
        if (candidate === undefined || upstream === undefined) {
            return undefined;
        }
        const streamWork = cost && costRouting?.work.beginStream(upstream.id, cost);
        const eventTokens = costRouting?.profileOf(upstream.service)?.stepsPerPass ?? 0;
        startRate.record();
        const { concurrencyLimit } = candidate;
        const stallDetector = stallDetectorOf(candidate.group);
        let hasStarted = false;
        let isHeldBack = false;
        runningByUpstream.set(upstream.id, (runningByUpstream.get(upstream.id) ?? 0) + 1);
        concurrencyLimit.acquire();
        return {
            upstream,
            recordEvent: (pauseMilliseconds, gapTargetMilliseconds) => {
                if (!hasStarted) {
                    hasStarted = true;
                    stallDetector.recordStreamStart();
                }
                stallDetector.recordEvent();
                streamWork?.recordEvent(eventTokens);
                if (pauseMilliseconds !== undefined) {
                    concurrencyLimit.recordPause(pauseMilliseconds, gapTargetMilliseconds);
                }
            },
            setHeldBack: isHeldBackNow => {
                if (hasStarted && isHeldBackNow !== isHeldBack) {
                    isHeldBack = isHeldBackNow;
                    (isHeldBack ? stallDetector.recordStreamEnd : stallDetector.recordStreamStart)();
                }
            },
            recordFailure: stallDetector.reportLoss,
            release: () => {
                concurrencyLimit.release();
                streamWork?.end();
                if (hasStarted && !isHeldBack) {
                    stallDetector.recordStreamEnd();
                }
                runningByUpstream.set(upstream.id, (runningByUpstream.get(upstream.id) ?? 1) - 1);
            },
        };
    };

    return {
        reserve: (service, excluded, request) => {
            const upstreams = candidates(service, excluded);
            const unlimited = request.prefersUnlimited === true
                ? upstreams.filter(upstream => !upstreamLimits.isLimited(upstream))
                : [];
            return reserveAmong(unlimited, request) ?? reserveAmong(upstreams, request);
        },
        reserveElsewhere: (upstream, excluded, cost) => {
            const others = candidates(upstream.service, excluded).filter(other =>
                upstream.group === undefined ? other.id !== upstream.id : groupOf(other) !== groupOf(upstream)
            );
            return reserveAmong(others, { admissionClass: "new", cost });
        },
        running: () => runningByUpstream,
        groups: () =>
            [...concurrencyLimits].map(([group, concurrencyLimit]) => ({
                group,
                limit: Math.round(concurrencyLimit.limit() * 10) / 10,
                running: concurrencyLimit.running(),
                overall: runningOnAllEntries(group),
            })),
        loadOf: service => {
            const groups = [...new Set(candidates(service, new Set()).map(groupOf))];
            return {
                limit: groups.reduce((total, group) => total + Math.floor(concurrencyLimitOf(group).limit()), 0),
                running: groups.reduce((total, group) => total + runningOnAllEntries(group), 0),
            };
        },
        pauseMilliseconds: service => pauses.millisecondsUntilFirst(state.usable(service)),
        limitState: (service, excluded) => limitStateOf(candidates(service, excluded), upstreamLimits),
        isRecovering: service => {
            const usable = state.usable(service);
            return usable.length > 0 && usable.every(({ group }) => group !== undefined && !isRunning(group));
        },
        hasUpstream: (service, excluded) => candidates(service, excluded).length > 0,
        hasRunningGroup: () =>
            stallDetectors.size === 0 || [...stallDetectors.values()].some(stallDetector => stallDetector.isRunning()),
    };
};
