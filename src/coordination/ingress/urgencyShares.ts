/**
 * Divides the capacity of a service among streams of different priority, whichever entries they reach.
 *
 * Answers bursts of some seconds in which callers ask for up to 2.3 times the capacity. Each entry knows the demand of
 * all entries by priority, 0.1 to 0.5 s old. While capacity is short, it admits only a share of its own arrivals of a
 * priority: what the more urgent ones leave of the rate at which places become free. Since each entry applies the same
 * share, the result doesn't depend on who sees a free place first, and an account gets the same share at any entry. A
 * stream that was admitted still starts only if it leaves enough places free for more urgent ones that wait elsewhere.
 *
 * The rate at which places become free follows from Little's law: starts a second over running streams, times the
 * limit on running streams. Both counts are equally old and miss the same entries, so an entry that is cut off from
 * others finds the rate of the part that it sees.
 *
 * Nothing is decided here unless all entries that are heard state their demand and two or more priorities are seen.
 */
import type { Clock } from "../../state/types.js";
import type { Metrics } from "../metrics.js";
import type { IngressLog } from "./ingressLog.js";
import type { PeerStatusTable, PriorityDemand } from "./peerStatusTable.js";
import { createPriorityDemandTracker, type PriorityDemandTracker } from "./priorityDemand.js";

/** What the entry knows of the running streams of a service. */
export type ServiceLoad = {
    /** Sum of the concurrency limits of its running groups. */
    limit: number;
    /** Streams that all entries run there. */
    running: number;
};

/** The decision about one stream when it arrives. */
export type UrgencyDecision =
    /** To be refused; `details` are the inputs of the decision. */
    | { kind: "outranked"; details: Record<string, unknown>; }
    | { kind: "admitted"; };

export type UrgencyShares = {
    demand: PriorityDemandTracker;
    /** Undefined if the part is not in effect for the service. */
    decide: (service: string, priority: number) => UrgencyDecision | undefined;
    /** Places that a stream of this priority must leave free now. */
    heldBackPlaces: (service: string, priority: number) => number;
    /** Position in the queues of engines; undefined if the part is not in effect for the service. */
    queuePriority: (service: string, priority: number) => number | undefined;
    /** When a caller should come again that is refused now; undefined if the part has no say in it. */
    retryAfterMilliseconds: (service: string, callerDeadlineAt: number) => number | undefined;
};

export type UrgencySharesOptions = {
    peerStatuses: Pick<PeerStatusTable, "demandOf">;
    load: (service: string) => ServiceLoad;
    clock: Pick<Clock, "now">;
    random: () => number;
    log: IngressLog;
    metrics: Metrics;
};

/** The share of the capacity that each priority keeps if it wants that much. */
const largestMinimumShare = 0.1;
/** Many priorities keep equal parts of this share instead, so that the most urgent are left most of the capacity. */
const sumOfMinimumShares = 0.3;
/** Below this share of the capacity, demand that fluctuates hardly ever lacks a place. */
const shortAboveLoad = 0.9;
/** The measured rate of one stream's places is averaged over this time, about the length of a stream. */
const rateAveragingMilliseconds = 2_000;
/** Below this share of the limit, starts say more about a rising load than about the length of streams. */
const measuredAboveUse = 0.5;
const planMaximumAgeMilliseconds = 20;
/** Counts are at least this old: half of the interval of messages, and the way through a relay. */
const minimumCountAgeSeconds = 0.1;
/**
 * Share of the more urgent arrivals within the age of the counts for which places are left free: the others start in
 * places that end meanwhile. With 1, over 3% of the limit was idle while streams waited.
 */
const expectedNeedShare = 0.5;
/** More is admitted than the capacity, since some streams don't get a place within their wait. */
const admittedShareOfCapacity = 1.1;
const highestQueuePriority = 9;
/** Callers wait for a stated time only if it is at most this share of the time that they have left. */
const honouredShareOfTimeLeft = 1 / 3;
const minimumRetryAfterMilliseconds = 800;
/** Refused callers come again over at least this time, so that they don't arrive together. */
const retrySpreadMilliseconds = 1_000;

type PlannedPriority = { priority: number; share: number; heldBackPlaces: number; arrivalsPerSecond: number; };

type Plan = {
    madeAt: number;
    isInEffect: boolean;
    isShort: boolean;
    hasFreePlace: boolean;
    capacityPerSecond: number | undefined;
    priorities: Map<number, PlannedPriority>;
};

type ServiceState = {
    plan: Plan | undefined;
    /** Starts a second for each running stream. */
    startsPerRunning: number | undefined;
    measuredAt: number;
    /** When capacity became short; undefined while it is not. */
    shortSince: number | undefined;
};

/** Adds up rows of several entries by priority, in the order of priorities. */
const addUp = (rows: readonly PriorityDemand[]): PriorityDemand[] => {
    const totals = new Map<number, PriorityDemand>();
    for (const { priority, arrivalsPerSecond, startsPerSecond, waiting } of rows) {
        const total = totals.get(priority);
        totals.set(priority, {
            priority,
            arrivalsPerSecond: (total?.arrivalsPerSecond ?? 0) + arrivalsPerSecond,
            startsPerSecond: (total?.startsPerSecond ?? 0) + startsPerSecond,
            waiting: (total?.waiting ?? 0) + waiting,
        });
    }
    return [...totals.values()].sort((left, right) => left.priority - right.priority);
};

const sumOf = <Row>(rows: readonly Row[], value: (row: Row) => number): number =>
    rows.reduce((sum, row) => sum + value(row), 0);

const minimumShareOf = (priorities: number): number => Math.min(largestMinimumShare, sumOfMinimumShares / priorities);

/**
 * Streams a second of each priority that are admitted: what the more urgent ones leave, but at least its minimum
 * share of the capacity, which those before it leave to it.
 */
export const divideCapacity = (arrivals: readonly number[], capacityPerSecond: number): number[] => {
    const minimumPerSecond = capacityPerSecond * minimumShareOf(arrivals.length);
    const minima = arrivals.map(rate => Math.min(rate, minimumPerSecond));
    let keptForLater = sumOf(minima, minimum => minimum);
    let left = capacityPerSecond;
    return arrivals.map((rate, position) => {
        const minimum = minima[position] ?? 0;
        keptForLater -= minimum;
        const admitted = Math.max(minimum, Math.min(rate, left - keptForLater));
        left -= admitted;
        return admitted;
    });
};

export const createUrgencyShares = (options: UrgencySharesOptions): UrgencyShares => {
    const { peerStatuses, load, clock, random, log, metrics } = options;
    const demand = createPriorityDemandTracker(clock);
    const services = new Map<string, ServiceState>();

    const stateOf = (service: string): ServiceState => {
        const state = services.get(service)
            ?? { plan: undefined, startsPerRunning: undefined, measuredAt: clock.now(), shortSince: undefined };
        services.set(service, state);
        return state;
    };

    /** Starts a second that the service can bear; undefined until it has been in use. */
    const measureCapacity = (state: ServiceState, starts: number, { limit, running }: ServiceLoad) => {
        if (running > limit * measuredAboveUse && starts > 0) {
            const weight = 1 - Math.exp((state.measuredAt - clock.now()) / rateAveragingMilliseconds);
            const measured = starts / running;
            state.startsPerRunning = (state.startsPerRunning ?? measured)
                + (measured - (state.startsPerRunning ?? measured)) * weight;
        }
        state.measuredAt = clock.now();
        return state.startsPerRunning === undefined ? undefined : state.startsPerRunning * limit;
    };

    const recordShortage = (service: string, state: ServiceState, plan: Plan): void => {
        if (plan.isShort === (state.shortSince !== undefined)) {
            return;
        }
        const priorities = [...plan.priorities.values()].map(({ priority, share, arrivalsPerSecond }) => ({
            priority,
            arrivalsPerSecond: Math.round(arrivalsPerSecond),
            share: Math.round(share * 100) / 100,
        }));
        log.stateChange(plan.isShort ? "capacity divided by priority" : "capacity no longer divided", {
            service,
            capacityPerSecond: Math.round(plan.capacityPerSecond ?? 0),
            priorities,
            afterMilliseconds: state.shortSince === undefined ? undefined : Math.round(clock.now() - state.shortSince),
        });
        state.shortSince = plan.isShort ? clock.now() : undefined;
    };

    const makePlan = (service: string, state: ServiceState): Plan => {
        const others = peerStatuses.demandOf(service);
        const own = demand.own(service);
        const totals = addUp([...own, ...others.rows]);
        const plan: Plan = {
            madeAt: clock.now(),
            isInEffect: others.isComplete && totals.length > 1,
            isShort: false,
            hasFreePlace: true,
            capacityPerSecond: undefined,
            priorities: new Map(),
        };
        if (!plan.isInEffect) {
            return plan;
        }
        const serviceLoad = load(service);
        const starts = sumOf(totals, ({ startsPerSecond }) => startsPerSecond);
        const arrivals = sumOf(totals, ({ arrivalsPerSecond }) => arrivalsPerSecond);
        const capacity = measureCapacity(state, starts, serviceLoad);
        plan.capacityPerSecond = capacity;
        const countAge = others.rows.length === 0 ? 0 : Math.max(minimumCountAgeSeconds, others.meanAgeSeconds);
        const free = serviceLoad.limit - serviceLoad.running;
        plan.hasFreePlace = free >= 1;
        const unseenStarts = sumOf(others.rows, ({ startsPerSecond }) => startsPerSecond) * countAge;
        const hasWaiting = totals.some(({ waiting }) => waiting > 0);
        plan.isShort = capacity !== undefined && free <= unseenStarts
            && (hasWaiting || arrivals > capacity * shortAboveLoad);
        const admitted = divideCapacity(
            totals.map(({ arrivalsPerSecond }) => arrivalsPerSecond),
            (capacity ?? Infinity) * admittedShareOfCapacity,
        );
        let heldBackPlaces = 0;
        // So many of the running streams have ended since the counts. The most urgent may start in their places: the others
        // wait until the counts show these, so the limit is exceeded for the age of the counts only.
        const endedPlaces = (capacity ?? 0) * countAge;
        totals.forEach(({ priority, arrivalsPerSecond, startsPerSecond, waiting }, position) => {
            const hasMinimum = startsPerSecond
                >= Math.min(arrivalsPerSecond, (capacity ?? 0) * minimumShareOf(totals.length));
            plan.priorities.set(priority, {
                priority,
                arrivalsPerSecond,
                share: arrivalsPerSecond > 0 ? Math.min(1, (admitted[position] ?? 0) / arrivalsPerSecond) : 1,
                heldBackPlaces: !plan.isShort ? 0 : position === 0 || !hasMinimum ? -endedPlaces : heldBackPlaces,
            });
            const ownWaiting = own.find(row => row.priority === priority)?.waiting ?? 0;
            heldBackPlaces += waiting - ownWaiting + arrivalsPerSecond * countAge * expectedNeedShare;
        });
        return plan;
    };

    const planOf = (service: string): Plan => {
        const state = stateOf(service);
        if (state.plan === undefined || clock.now() - state.plan.madeAt >= planMaximumAgeMilliseconds) {
            state.plan = makePlan(service, state);
            recordShortage(service, state, state.plan);
        }
        return state.plan;
    };

    return {
        demand,
        decide: (service, priority) => {
            demand.recordArrival(service, priority);
            const plan = planOf(service);
            if (!plan.isInEffect) {
                return undefined;
            }
            const planned = plan.priorities.get(priority);
            if (!plan.isShort || planned === undefined || random() < planned.share) {
                return { kind: "admitted" };
            }
            // The most urgent streams start wherever they did without this part.
            if (plan.hasFreePlace && Math.min(...plan.priorities.keys()) === priority) {
                return { kind: "admitted" };
            }
            metrics.count(`ingress_outranked_total{priority="${priority}"}`);
            return {
                kind: "outranked",
                details: {
                    priority,
                    share: Math.round(planned.share * 100) / 100,
                    capacityPerSecond: Math.round(plan.capacityPerSecond ?? 0),
                    arrivalsPerSecond: Math.round(planned.arrivalsPerSecond),
                },
            };
        },
        heldBackPlaces: (service, priority) => planOf(service).priorities.get(priority)?.heldBackPlaces ?? 0,
        queuePriority: (service, priority) =>
            planOf(service).isInEffect ? Math.max(0, Math.min(highestQueuePriority, priority)) : undefined,
        retryAfterMilliseconds: (service, callerDeadlineAt) => {
            const plan = planOf(service);
            const { shortSince } = stateOf(service);
            if (!plan.isInEffect || shortSince === undefined) {
                return undefined;
            }
            // A shortage that has lasted for some time can be expected to last as long again.
            const longest = (callerDeadlineAt - clock.now()) * honouredShareOfTimeLeft;
            const latestStart = Math.max(minimumRetryAfterMilliseconds, longest - retrySpreadMilliseconds);
            const earliest = Math.min(Math.max(minimumRetryAfterMilliseconds, clock.now() - shortSince), latestStart);
            return earliest + random() * Math.max(retrySpreadMilliseconds, longest - earliest);
        },
    };
};
