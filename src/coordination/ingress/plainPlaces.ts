/**
 * Which upstream of a plain service gets the next request: the one that would finish it first.
 *
 * The expected time is the upstream's average answer time times the requests that this entry already has there; an
 * upstream in another availability zone must be better by more than the way. Upstreams that lately failed are passed
 * over while any other is left.
 */
import type { DeploymentState, KnownUpstream } from "./deploymentState.js";
import type { UpstreamHealth } from "./upstreamHealth.js";

export type PlainPlaces = {
    /** The best upstream not in `avoided`; the request counts there until `release`. */
    take: (
        service: string,
        avoided: ReadonlySet<string>,
    ) => { upstream: KnownUpstream; release: () => void; } | undefined;
    running: () => ReadonlyMap<string, number>;
};

/** Assumed for an upstream that has answered nothing yet; about the work of one request of the sites. */
const unknownAnswerMilliseconds = 60;
/** Cost of another zone: a round trip and the price of its bytes. */
const otherZoneMilliseconds = 5;

export const createPlainPlaces = (
    state: Pick<DeploymentState, "usable">,
    health: Pick<UpstreamHealth, "isPaused" | "answerMilliseconds">,
    availabilityZone: string,
    runningElsewhere: (id: string) => number,
): PlainPlaces => {
    const running = new Map<string, number>();

    const expectedMilliseconds = (upstream: KnownUpstream): number => {
        const waiting = (running.get(upstream.id) ?? 0) + runningElsewhere(upstream.id);
        const work = health.answerMilliseconds(upstream.id) ?? unknownAnswerMilliseconds;
        const way = upstream.availabilityZone === availabilityZone ? 0 : otherZoneMilliseconds;
        return work * (1 + waiting / Math.max(1, upstream.slots)) + way;
    };

    return {
        take: (service, avoided) => {
            const usable = state.usable(service).filter(({ id }) => !avoided.has(id));
            const sound = usable.filter(({ id }) => !health.isPaused(id));
            const [best] = (sound.length > 0 ? sound : usable)
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
