/**
 * Places for streams: which group and rank the next stream of a service goes to, and whether one is free at all.
 *
 * Counts are those of all entries. Among groups with a free place the least loaded goes first; within a group the rank
 * with the fewest streams, since the group steps at the pace of its most loaded rank.
 */
import type { GroupMembership } from "../../state/ingressTypes.js";
import type { Clock } from "../../state/types.js";
import type { DeploymentState, KnownUpstream } from "./deploymentState.js";
import { createGroupLimit, type GroupLimit } from "./groupLimit.js";
import { createGroupWatch, type GroupProgress, type GroupWatch } from "./groupWatch.js";
import type { IngressLog } from "./ingressLog.js";
import type { PeerLoad } from "./peerLoad.js";
import type { UpstreamHealth } from "./upstreamHealth.js";

export type Place = {
    upstream: KnownUpstream;
    /** An event arrived, `pauseMilliseconds` after the one before it on the same sending. */
    recordEvent: (pauseMilliseconds: number | undefined, gapTargetMilliseconds: number) => void;
    /** The sending got no usable answer. */
    recordLoss: (reason: string) => void;
    release: () => void;
};

/** A stream that its caller has in part is owed a place, beyond what the group can pace but not beyond its slots. */
export type Standing = "new" | "owed";

const fullestLoad: Record<Standing, number> = { new: 1, owed: Infinity };

export type StreamPlaces = {
    /** A place on an upstream not in `avoided`; undefined while none is free for a stream of this standing. */
    take: (service: string, avoided: ReadonlySet<string>, standing: Standing) => Place | undefined;
    /** Streams of this entry by upstream. */
    running: () => ReadonlyMap<string, number>;
    /** Limit, and running streams of this entry and of all, for each group. */
    groups: () => { group: string; limit: number; running: number; overall: number; }[];
    /** Whether any upstream of the service, not in `avoided`, is in a group that runs. */
    hasUpstream: (service: string, avoided: ReadonlySet<string>) => boolean;
    /** Whether any group runs; true while no group is known. */
    anyGroupRuns: () => boolean;
};

export type StreamPlacesOptions = {
    state: Pick<DeploymentState, "usable" | "all">;
    health: Pick<UpstreamHealth, "isPaused">;
    clock: Clock;
    peers: Pick<PeerLoad, "runningOn" | "limitOf">;
    /** Asks one engine about its group; undefined if it doesn't answer. */
    askEngine: (upstream: KnownUpstream, signal: AbortSignal) => Promise<GroupProgress | undefined>;
    log: IngressLog;
    random: () => number;
    signal: AbortSignal;
};

/** A share of the group's slots to begin with, before any pause was seen. */
const startShare = 0.55;

export const groupOf = ({ group, service }: Pick<KnownUpstream, "group" | "service">): string => group?.name ?? service;

type OpenGroup = { group: string; limit: GroupLimit; ranks: KnownUpstream[]; load: number; };

export const createStreamPlaces = (options: StreamPlacesOptions): StreamPlaces => {
    const { state, health, clock, peers, askEngine, log, random, signal } = options;
    const limits = new Map<string, GroupLimit>();
    const watches = new Map<string, GroupWatch>();
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

    const watchOf = (group: string): GroupWatch => {
        const known = watches.get(group);
        if (known !== undefined) {
            return known;
        }
        const ask = async (askSignal: AbortSignal): Promise<GroupProgress | undefined> => {
            const ranks = ranksOf(group);
            const rank = ranks[Math.floor(random() * ranks.length)];
            return rank === undefined ? undefined : askEngine(rank, askSignal);
        };
        const created = createGroupWatch({ group, ask, clock, log, signal });
        watches.set(group, created);
        return created;
    };

    const isRunning = ({ name, isOpen, epoch }: GroupMembership): boolean => {
        const watch = watchOf(name);
        if (!isOpen) {
            watch.listedBroken(epoch);
        }
        return watch.isRunning();
    };

    const candidates = (service: string, avoided: ReadonlySet<string>): KnownUpstream[] => {
        const usable = state.usable(service).filter(({ id }) => !avoided.has(id));
        const running = usable.filter(({ group }) => group === undefined || isRunning(group));
        const sound = running.filter(({ id }) => !health.isPaused(id));
        return sound.length > 0 ? sound : running;
    };

    /** Groups that have a place, the least loaded first. */
    const openGroups = (upstreams: KnownUpstream[], standing: Standing): OpenGroup[] => {
        const byGroup = new Map<string, KnownUpstream[]>();
        for (const upstream of upstreams) {
            const group = groupOf(upstream);
            byGroup.set(group, [...(byGroup.get(group) ?? []), upstream]);
        }
        return [...byGroup]
            .map(([group, ranks]) => {
                const limit = limitOf(group);
                return { group, limit, ranks, load: (runningOverall(group) + 1) / limit.limit() };
            })
            .filter(({ load }) => load <= fullestLoad[standing])
            .sort((left, right) => left.load - right.load);
    };

    /** Ranks with a free slot; a rank that is full only queues what it gets. */
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
        take: (service, avoided, standing) => {
            const [open] = openGroups(candidates(service, avoided), standing);
            const upstream = open === undefined ? undefined : leastBusy(open.ranks);
            if (open === undefined || upstream === undefined || streamsOn(upstream.id) >= upstream.slots) {
                return undefined;
            }
            const { limit } = open;
            const watch = watchOf(open.group);
            let hasBegun = false;
            running.set(upstream.id, (running.get(upstream.id) ?? 0) + 1);
            limit.take();
            return {
                upstream,
                recordEvent: (pauseMilliseconds, gapTargetMilliseconds) => {
                    if (!hasBegun) {
                        hasBegun = true;
                        watch.streamBegan();
                    }
                    watch.recordEvent();
                    if (pauseMilliseconds !== undefined) {
                        limit.recordPause(pauseMilliseconds, gapTargetMilliseconds);
                    }
                },
                recordLoss: watch.suspect,
                release: () => {
                    limit.release();
                    if (hasBegun) {
                        watch.streamEnded();
                    }
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
        hasUpstream: (service, avoided) => candidates(service, avoided).length > 0,
        anyGroupRuns: () => watches.size === 0 || [...watches.values()].some(watch => watch.isRunning()),
    };
};
