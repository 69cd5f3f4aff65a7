/**
 * Places for streams: which group and rank the next stream of a service goes to, and whether one is free at all.
 *
 * Counts are those of all entries. Among groups with a free place the least loaded goes first; within a group the rank
 * with the fewest streams, since the group steps at the pace of its most loaded rank.
 */
import type { Clock } from "../../state/types.js";
import type { DeploymentState, KnownUpstream } from "./deploymentState.js";
import { createGroupLimit, type GroupLimit } from "./groupLimit.js";
import type { PeerLoad } from "./peerLoad.js";
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
    /** Limit, and running streams of this entry and of all, for each group. */
    groups: () => { group: string; limit: number; running: number; overall: number; }[];
    /** Whether any upstream of the service may be given requests. */
    hasUpstream: (service: string) => boolean;
};

export type StreamPlacesOptions = {
    state: Pick<DeploymentState, "usable" | "all">;
    health: Pick<UpstreamHealth, "isPaused">;
    clock: Pick<Clock, "now">;
    peers: Pick<PeerLoad, "runningOn" | "limitOf">;
    random: () => number;
};

/** A share of the group's slots to begin with, before any pause was seen. */
const startShare = 0.7;

export const groupOf = ({ group, service }: Pick<KnownUpstream, "group" | "service">): string => group?.name ?? service;

type OpenGroup = { limit: GroupLimit; ranks: KnownUpstream[]; load: number; };

export const createStreamPlaces = (options: StreamPlacesOptions): StreamPlaces => {
    const { state, health, clock, peers, random } = options;
    const limits = new Map<string, GroupLimit>();
    const running = new Map<string, number>();

    const streamsOn = (id: string): number => (running.get(id) ?? 0) + peers.runningOn(id);

    const ranksOf = (group: string): KnownUpstream[] => state.all().filter(upstream => groupOf(upstream) === group);

    const sum = (upstreams: KnownUpstream[], value: (upstream: KnownUpstream) => number): number =>
        upstreams.reduce((total, upstream) => total + value(upstream), 0);

    const runningOverall = (group: string): number => sum(ranksOf(group), ({ id }) => streamsOn(id));

    const limitOf = (group: string): GroupLimit => {
        const known = limits.get(group);
        if (known !== undefined) {
            return known;
        }
        const slots = (): number => sum(ranksOf(group), upstream => upstream.slots);
        const created = createGroupLimit({
            clock,
            startLimit: peers.limitOf(group) ?? slots() * startShare,
            runningOverall: () => runningOverall(group),
            limitElsewhere: () => peers.limitOf(group),
            largestLimit: slots,
        });
        limits.set(group, created);
        return created;
    };

    const candidates = (service: string, avoided: ReadonlySet<string>): KnownUpstream[] => {
        const usable = state.usable(service).filter(({ id }) => !avoided.has(id));
        const sound = usable.filter(({ id, group }) => !health.isPaused(id) && group?.isOpen !== false);
        return sound.length > 0 ? sound : usable;
    };

    /** Groups that have a place, the least loaded first. */
    const openGroups = (upstreams: KnownUpstream[], isOwed: boolean): OpenGroup[] => {
        const byGroup = new Map<string, KnownUpstream[]>();
        for (const upstream of upstreams) {
            const group = groupOf(upstream);
            byGroup.set(group, [...(byGroup.get(group) ?? []), upstream]);
        }
        return [...byGroup]
            .map(([group, ranks]) => {
                const limit = limitOf(group);
                return { limit, ranks, load: (runningOverall(group) + 1) / limit.limit() };
            })
            .filter(({ load }) => isOwed || load <= 1)
            .sort((left, right) => left.load - right.load);
    };

    const leastBusy = (ranks: KnownUpstream[]): KnownUpstream | undefined => {
        // Starting at a random rank keeps entries that see the same counts from choosing the same one.
        const start = Math.floor(random() * ranks.length);
        let best: KnownUpstream | undefined;
        for (let step = 0; step < ranks.length; step += 1) {
            const upstream = ranks[(start + step) % ranks.length] as KnownUpstream;
            if (best === undefined || streamsOn(upstream.id) < streamsOn(best.id)) {
                best = upstream;
            }
        }
        return best;
    };

    return {
        take: (service, avoided, isOwed) => {
            const [open] = openGroups(candidates(service, avoided), isOwed);
            const upstream = open === undefined ? undefined : leastBusy(open.ranks);
            if (open === undefined || upstream === undefined || !isOwed && streamsOn(upstream.id) >= upstream.slots) {
                return undefined;
            }
            const { limit } = open;
            running.set(upstream.id, (running.get(upstream.id) ?? 0) + 1);
            limit.take();
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
                overall: runningOverall(group),
            })),
        hasUpstream: service => state.usable(service).length > 0,
    };
};
