/**
 * Places for streams: which group and rank the next stream of a service goes to, and whether one is free at all.
 *
 * Among groups with a free place the least loaded goes first; within a group the rank with the fewest streams, counting
 * those that the other entries say they run, since the group steps at the pace of its most loaded rank.
 */
import type { Clock } from "../../state/types.js";
import type { DeploymentState, KnownUpstream } from "./deploymentState.js";
import { createGroupLimit, type GroupLimit } from "./groupLimit.js";
import type { UpstreamHealth } from "./upstreamHealth.js";

export type Place = {
    upstream: KnownUpstream;
    recordPause: (milliseconds: number, gapTargetMilliseconds: number) => void;
    release: () => void;
};

export type StreamPlaces = {
    /** A place on an upstream not in `avoided`; undefined while none is free. `isOwed` takes one beyond the limit. */
    take: (service: string, avoided: ReadonlySet<string>, isOwed: boolean) => Place | undefined;
    /** Streams of this entry by upstream. */
    running: () => ReadonlyMap<string, number>;
    /** Limit and running streams of each group, for dump and logs. */
    groups: () => { group: string; limit: number; running: number; }[];
    /** Whether any upstream of the service may be given requests. */
    hasUpstream: (service: string) => boolean;
};

export type StreamPlacesOptions = {
    state: Pick<DeploymentState, "usable">;
    health: Pick<UpstreamHealth, "isPaused">;
    clock: Pick<Clock, "now">;
    /** Entries that share the groups, this one included. */
    entries: () => number;
    /** Streams that the other entries run on an upstream. */
    runningElsewhere: (id: string) => number;
    random: () => number;
};

/** A share of the group's slots to begin with, before any pause was seen. */
const startShare = 0.75;
/** Other entries may be idle, so a limit may grow to several times the even share. */
const largestShare = 4;

export const groupOf = ({ group, service }: KnownUpstream): string => group?.name ?? service;

export const createStreamPlaces = (options: StreamPlacesOptions): StreamPlaces => {
    const { state, health, clock, entries, runningElsewhere, random } = options;
    const limits = new Map<string, GroupLimit>();
    const running = new Map<string, number>();

    const limitOf = (group: string, upstreams: KnownUpstream[]): GroupLimit => {
        const known = limits.get(group);
        if (known !== undefined) {
            return known;
        }
        const evenShare = upstreams.reduce((sum, { slots }) => sum + slots, 0) / Math.max(1, entries());
        const created = createGroupLimit(clock, evenShare * startShare, evenShare * largestShare);
        limits.set(group, created);
        return created;
    };

    const candidates = (service: string, avoided: ReadonlySet<string>): KnownUpstream[] => {
        const usable = state.usable(service).filter(({ id }) => !avoided.has(id));
        const sound = usable.filter(({ id, group }) => !health.isPaused(id) && group?.isOpen !== false);
        return sound.length > 0 ? sound : usable;
    };

    const streamsOn = (id: string): number => (running.get(id) ?? 0) + runningElsewhere(id);

    const leastBusy = (upstreams: KnownUpstream[]): KnownUpstream | undefined => {
        // Starting at a random rank keeps entries that see the same counts from choosing the same one.
        const start = Math.floor(random() * upstreams.length);
        let best: KnownUpstream | undefined;
        for (let step = 0; step < upstreams.length; step += 1) {
            const upstream = upstreams[(start + step) % upstreams.length] as KnownUpstream;
            if (best === undefined || streamsOn(upstream.id) < streamsOn(best.id)) {
                best = upstream;
            }
        }
        return best;
    };

    return {
        take: (service, avoided, isOwed) => {
            const byGroup = new Map<string, KnownUpstream[]>();
            for (const upstream of candidates(service, avoided)) {
                const group = groupOf(upstream);
                byGroup.set(group, [...(byGroup.get(group) ?? []), upstream]);
            }
            const open = [...byGroup]
                .map(([group, upstreams]) => ({ upstreams, limit: limitOf(group, upstreams) }))
                .filter(({ limit }) => isOwed || limit.hasPlace())
                .sort((left, right) => left.limit.load() - right.limit.load());
            const upstream = open[0] === undefined ? undefined : leastBusy(open[0].upstreams);
            const limit = open[0]?.limit;
            if (upstream === undefined || limit === undefined) {
                return undefined;
            }
            limit.take();
            running.set(upstream.id, (running.get(upstream.id) ?? 0) + 1);
            return {
                upstream,
                recordPause: limit.recordPause,
                release: () => {
                    limit.release();
                    running.set(upstream.id, (running.get(upstream.id) ?? 1) - 1);
                },
            };
        },
        running: () => running,
        groups: () =>
            [...limits].map(([group, limit]) => ({
                group,
                limit: Math.round(limit.limit() * 10) / 10,
                running: limit.running(),
            })),
        hasUpstream: service => state.usable(service).length > 0,
    };
};
