/**
 * Selects the upstream for each non-streaming (unary) request: the one with the lowest expected response time.
 *
 * The expected time is the upstream's average response time, scaled by its outstanding requests from all entries
 * relative to its slots. An upstream in another availability zone has a fixed cost added. Ejected upstreams are skipped
 * while any other is usable.
 */
import type { DeploymentState, KnownUpstream } from "./deploymentState.js";
import type { UpstreamHealth } from "./upstreamHealth.js";
import { type LimitState, limitStateOf, type UpstreamLimits } from "./upstreamLimits.js";
import type { UpstreamPauses } from "./upstreamPauses.js";

export type UnaryReservation = { upstream: KnownUpstream; release: () => void; };

export type UnaryScheduler = {
    /**
     * Selects the best upstream not in `excluded`; the request counts as outstanding there until `release`. With
     * `prefersUnlimited`, upstreams that state a limit on requests are chosen only if no other is usable.
     */
    reserve: (
        service: string,
        excluded: ReadonlySet<string>,
        prefersUnlimited?: boolean,
    ) => UnaryReservation | undefined;
    running: () => ReadonlyMap<string, number>;
    /** Time until the first upstream takes work again, if all usable ones have asked for a pause; else undefined. */
    pauseMilliseconds: (service: string) => number | undefined;
    /** How far the limits on requests leave a choice of the usable upstreams that are not in `excluded`. */
    limitState: (service: string, excluded: ReadonlySet<string>) => LimitState;
};

export type UnarySchedulerOptions = {
    state: Pick<DeploymentState, "usable">;
    health: Pick<UpstreamHealth, "isEjected" | "averageResponseMilliseconds">;
    pauses: Pick<UpstreamPauses, "isPaused" | "millisecondsUntilFirst">;
    requestLimits: Pick<UpstreamLimits, "isLimited" | "millisecondsUntilOpen">;
    availabilityZone: string;
    /** Number of requests that the other entries run on an upstream. */
    runningOnOtherEntries: (id: string) => number;
};

/**
 * Used for an upstream without any response yet; about the time that one request takes in the deployments in use.
 */
const assumedResponseMilliseconds = 60;
/** Covers the round trip to another zone and the price of the bytes sent there. */
const crossZoneCostMilliseconds = 5;

export const createUnaryScheduler = (options: UnarySchedulerOptions): UnaryScheduler => {
    const { state, health, pauses, requestLimits, availabilityZone, runningOnOtherEntries } = options;
    const running = new Map<string, number>();

    const expectedMilliseconds = (upstream: KnownUpstream): number => {
        const outstanding = (running.get(upstream.id) ?? 0) + runningOnOtherEntries(upstream.id);
        const responseMilliseconds = health.averageResponseMilliseconds(upstream.id) ?? assumedResponseMilliseconds;
        const zoneCostMilliseconds = upstream.availabilityZone === availabilityZone ? 0 : crossZoneCostMilliseconds;
        return responseMilliseconds * (1 + outstanding / Math.max(1, upstream.slots)) + zoneCostMilliseconds;
    };

    const candidates = (service: string, excluded: ReadonlySet<string>): KnownUpstream[] => {
        const usable = state.usable(service).filter(upstream =>
            !excluded.has(upstream.id) && !pauses.isPaused(upstream)
        );
        const healthy = usable.filter(({ id }) => !health.isEjected(id));
        return healthy.length > 0 ? healthy : usable;
    };

    return {
        reserve: (service, excluded, prefersUnlimited = false) => {
            const open = candidates(service, excluded).filter(upstream =>
                requestLimits.millisecondsUntilOpen(upstream) <= 0
            );
            const unlimited = prefersUnlimited ? open.filter(upstream => !requestLimits.isLimited(upstream)) : [];
            const [best] = (unlimited.length > 0 ? unlimited : open)
                .map(upstream => ({ upstream, expected: expectedMilliseconds(upstream) }))
                .sort((left, right) => left.expected - right.expected);
            if (best === undefined) {
                return undefined;
            }
            const { id } = best.upstream;
            running.set(id, (running.get(id) ?? 0) + 1);
            return {
                upstream: best.upstream,
                release: () => void running.set(id, (running.get(id) ?? 1) - 1),
            };
        },
        running: () => running,
        limitState: (service, excluded) => limitStateOf(candidates(service, excluded), requestLimits),
        pauseMilliseconds: service => pauses.millisecondsUntilFirst(state.usable(service)),
    };
};
