/**
 * Which upstream of a plain service gets the next request: the one that would finish it first.
 *
 * The expected time is the upstream's average answer time times the requests that this entry already has there; an
 * upstream in another availability zone must be better by more than the way. Upstreams that lately failed are passed
 * over while any other is left.
 */
import type { DeploymentState, KnownUpstream } from "./deploymentState.js";
import type { UpstreamHealth } from "./upstreamHealth.js";

export type UnaryScheduler = {
    /** The best upstream not in `avoided`; the request counts there until `release`. */
    reserve: (
        service: string,
        excluded: ReadonlySet<string>,
    ) => { upstream: KnownUpstream; release: () => void; } | undefined;
    running: () => ReadonlyMap<string, number>;
};

/** Assumed for an upstream that has answered nothing yet; about the work of one request of the sites. */
const assumedResponseMilliseconds = 60;
/** Cost of another zone: a round trip and the price of its bytes. */
const crossZoneCostMilliseconds = 5;

export const createUnaryScheduler = (
    state: Pick<DeploymentState, "usable">,
    health: Pick<UpstreamHealth, "isPaused" | "answerMilliseconds">,
    availabilityZone: string,
    runningOnOtherEntries: (id: string) => number,
): UnaryScheduler => {
    const running = new Map<string, number>();

    const expectedMilliseconds = (upstream: KnownUpstream): number => {
        const outstanding = (running.get(upstream.id) ?? 0) + runningOnOtherEntries(upstream.id);
        const responseMilliseconds = health.answerMilliseconds(upstream.id) ?? assumedResponseMilliseconds;
        const zoneCostMilliseconds = upstream.availabilityZone === availabilityZone ? 0 : crossZoneCostMilliseconds;
        return responseMilliseconds * (1 + outstanding / Math.max(1, upstream.slots)) + zoneCostMilliseconds;
    };

    return {
        reserve: (service, excluded) => {
            const usable = state.usable(service).filter(({ id }) => !excluded.has(id));
            const healthy = usable.filter(({ id }) => !health.isPaused(id));
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
    };
};
