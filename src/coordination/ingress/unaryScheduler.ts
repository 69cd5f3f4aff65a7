/**
 * Selects the upstream for each non-streaming (unary) request: of two drawn at random, the one with the lower expected
 * response time.
 *
 * Answers many entries that choose by counts of each other which are some tenths of a second old: if each took the best
 * of all, they would all take the same one until the next counts arrive. The expected time is the response time seen
 * lately (see `responseTimes.ts`), scaled by the upstream's outstanding requests from all entries relative to its slots.
 * An upstream in another availability zone has a fixed cost added. Ejected upstreams are skipped while any other is
 * usable.
 *
 * Where requests are routed by cost, the expected work of the request and of those outstanding takes the place of their
 * number, in units of the mean request of the service.
 */
import type { RandomNumber } from "../../state/types.js";
import type { DeploymentState, KnownUpstream } from "./deploymentState.js";
import type { OutstandingWorkTable } from "./outstandingWork.js";
import type { UnaryCost } from "./requestCosts.js";
import type { ResponseTimes } from "./responseTimes.js";
import type { UpstreamHealth } from "./upstreamHealth.js";
import { type LimitState, limitStateOf, type UpstreamLimits } from "./upstreamLimits.js";
import type { UpstreamPauses } from "./upstreamPauses.js";

export type UnaryReservation = { upstream: KnownUpstream; release: () => void; };

export type UnaryScheduler = {
    /**
     * Selects an upstream not in `excluded`; the request counts as outstanding there until `release`. With
     * `prefersUnlimited`, upstreams that state a limit on requests are chosen only if no other is usable.
     */
    reserve: (
        service: string,
        excluded: ReadonlySet<string>,
        prefersUnlimited?: boolean,
        cost?: UnaryCost,
    ) => UnaryReservation | undefined;
    running: () => ReadonlyMap<string, number>;
    /** Time until the first upstream takes work again, if all usable ones have asked for a pause; else undefined. */
    pauseMilliseconds: (service: string) => number | undefined;
    /** How far the limits on requests leave a choice of the usable upstreams that are not in `excluded`. */
    limitState: (service: string, excluded: ReadonlySet<string>) => LimitState;
};

export type UnarySchedulerOptions = {
    state: Pick<DeploymentState, "usable">;
    health: Pick<UpstreamHealth, "isEjected">;
    responseTimes: Pick<ResponseTimes, "estimate">;
    pauses: Pick<UpstreamPauses, "isPaused" | "millisecondsUntilFirst">;
    upstreamLimits: Pick<UpstreamLimits, "isLimited" | "millisecondsUntilOpen">;
    availabilityZone: string;
    /** Number of requests that the other entries run on an upstream. */
    runningOnOtherEntries: (id: string) => number;
    random: RandomNumber;
    /** Undefined if no service is routed by cost. */
    work?: OutstandingWorkTable;
};

/** Covers the round trip to another zone and the price of the bytes sent there. */
const crossZoneCostMilliseconds = 5;

type Candidate = { upstream: KnownUpstream; expected: number; };

export const createUnaryScheduler = (options: UnarySchedulerOptions): UnaryScheduler => {
    const {
        state,
        health,
        responseTimes,
        pauses,
        upstreamLimits,
        availabilityZone,
        runningOnOtherEntries,
        random,
        work,
    } = options;
    const running = new Map<string, number>();

    const withLoad = (upstream: KnownUpstream, responseMilliseconds: number, cost: UnaryCost | undefined): number => {
        const own = running.get(upstream.id) ?? 0;
        const zoneCostMilliseconds = upstream.availabilityZone === availabilityZone ? 0 : crossZoneCostMilliseconds;
        const slots = Math.max(1, upstream.slots);
        if (cost === undefined || work === undefined) {
            const outstanding = own + runningOnOtherEntries(upstream.id);
            return responseMilliseconds * (1 + outstanding / slots) + zoneCostMilliseconds;
        }
        const { remaining, unestimated } = work.on(upstream.id, own);
        const outstanding = remaining / cost.meanMilliseconds + unestimated;
        const request = cost.workMilliseconds / cost.meanMilliseconds;
        return responseMilliseconds * (request + outstanding / slots) + zoneCostMilliseconds;
    };

    const choose = (upstreams: KnownUpstream[], cost: UnaryCost | undefined): Candidate | undefined => {
        const estimates = responseTimes.estimate(upstreams);
        const candidates = upstreams.map((upstream, index) => ({ upstream, estimate: estimates[index] ?? 0 }));
        const draw = (): Candidate | undefined => {
            const [drawn] = candidates.splice(Math.floor(random() * candidates.length), 1);
            return drawn && { upstream: drawn.upstream, expected: withLoad(drawn.upstream, drawn.estimate, cost) };
        };
        const first = draw();
        const second = draw();
        return second !== undefined && second.expected < (first?.expected ?? 0) ? second : first;
    };

    const candidates = (service: string, excluded: ReadonlySet<string>): KnownUpstream[] => {
        const usable = state.usable(service).filter(upstream =>
            !excluded.has(upstream.id) && !pauses.isPaused(upstream)
        );
        const healthy = usable.filter(({ id }) => !health.isEjected(id));
        return healthy.length > 0 ? healthy : usable;
    };

    return {
        reserve: (service, excluded, prefersUnlimited = false, cost) => {
            const open = candidates(service, excluded).filter(upstream =>
                upstreamLimits.millisecondsUntilOpen(upstream) <= 0
            );
            const unlimited = prefersUnlimited ? open.filter(upstream => !upstreamLimits.isLimited(upstream)) : [];
            const chosen = choose(unlimited.length > 0 ? unlimited : open, cost);
            if (chosen === undefined) {
                return undefined;
            }
            const { upstream, expected } = chosen;
            const { id } = upstream;
            const endWork = cost && work?.beginUnary(id, cost.workMilliseconds, expected);
            running.set(id, (running.get(id) ?? 0) + 1);
            return {
                upstream,
                release: () => {
                    running.set(id, (running.get(id) ?? 1) - 1);
                    endWork?.();
                },
            };
        },
        running: () => running,
        limitState: (service, excluded) => limitStateOf(candidates(service, excluded), upstreamLimits),
        pauseMilliseconds: service => pauses.millisecondsUntilFirst(state.usable(service)),
    };
};
