/**
 * Selects the upstream for each non-streaming (unary) request: the one with the lowest expected response time.
 *
 * The expected time is the upstream's average response time, scaled by its outstanding requests from all entries
 * relative to its slots. An upstream in another availability zone has a fixed cost added. Ejected upstreams are skipped
 * while any other is usable.
 */
import type { DeploymentState, KnownUpstream } from "./deploymentState.js";
import type { UpstreamHealth } from "./upstreamHealth.js";
import type { UpstreamPauses } from "./upstreamPauses.js";

export type UnaryScheduler = {
    /** Selects the best upstream not in `excluded`; the request counts as outstanding there until `release`. */
    reserve: (
        service: string,
        excluded: ReadonlySet<string>,
    ) => { upstream: KnownUpstream; release: () => void; } | undefined;
    running: () => ReadonlyMap<string, number>;
    /** Time until the first upstream takes work again, if all usable ones have asked for a pause; else undefined. */
    pauseMilliseconds: (service: string) => number | undefined;
};

/**
 * Used for an upstream without any response yet; about the time that one request takes in the deployments in use.
 */
const assumedResponseMilliseconds = 60;
/** Covers the round trip to another zone and the price of the bytes sent there. */
const crossZoneCostMilliseconds = 5;

export const createUnaryScheduler = (
    state: Pick<DeploymentState, "usable">,
    health: Pick<UpstreamHealth, "isEjected" | "averageResponseMilliseconds">,
    pauses: Pick<UpstreamPauses, "isPaused" | "millisecondsUntilFirst">,
    availabilityZone: string,
    runningOnOtherEntries: (id: string) => number,
): UnaryScheduler => {
    const running = new Map<string, number>();

    const expectedMilliseconds = (upstream: KnownUpstream): number => {
        const outstanding = (running.get(upstream.id) ?? 0) + runningOnOtherEntries(upstream.id);
        const responseMilliseconds = health.averageResponseMilliseconds(upstream.id) ?? assumedResponseMilliseconds;
        const zoneCostMilliseconds = upstream.availabilityZone === availabilityZone ? 0 : crossZoneCostMilliseconds;
        return responseMilliseconds * (1 + outstanding / Math.max(1, upstream.slots)) + zoneCostMilliseconds;
    };

    return {
        reserve: (service, excluded) => {
            const usable = state.usable(service).filter(upstream =>
                !excluded.has(upstream.id) && !pauses.isPaused(upstream)
            );
            const healthy = usable.filter(({ id }) => !health.isEjected(id));
            const [best] = (healthy.length > 0 ? healthy : usable)
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
        pauseMilliseconds: service => pauses.millisecondsUntilFirst(state.usable(service)),
    };
};
