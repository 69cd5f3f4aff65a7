/**
 * What one entry knows of the upstreams that it may choose.
 *
 * It combines four sources: the platform's host list, which lags; the settings, which take availability zones out of
 * service; the load reports of the agents; and the entry's own requests and their failures. An upstream receives no new
 * work as soon as one of these sources rules it out, until the same source clears it.
 *
 * An entry monitors the upstreams of its own availability zone and a small subset of the others, chosen by rendezvous
 * hashing, so that its monitoring cost does not grow with the whole system.
 */
import { rendezvousOrder } from "../state/rendezvousHash.js";
import type { Clock, HostRecord, LoadReport, Serves } from "../state/types.js";

/**
 * Why an upstream accepts work or not. Only `available` upstreams are chosen or, if none of these has free capacity,
 * `unheard` ones, which have sent no report yet.
 */
export type UpstreamCondition =
    | "available"
    | "unheard"
    | "suspected"
    | "down"
    | "draining"
    | "leaving"
    | "zone-out";

/** One upstream with its currently estimated load. */
export type UpstreamView = {
    record: HostRecord;
    condition: UpstreamCondition;
    ownZone: boolean;
    running: number;
    limit: number;
    outstandingTokens: number;
    /** Throughput at the full limit, in tokens per second. */
    tokensPerSecond: number;
};

/** A request that this entry has in flight on one upstream. */
export type InFlightRequest = {
    /** Aborts when the upstream becomes unresponsive. */
    readonly lostSignal: AbortSignal;
    /** Subtracts received tokens from the outstanding ones. */
    recordTokens: (tokens: number) => void;
    /** Ends the request; `load` is a report that no longer includes it. Further calls have no effect. */
    end: (load?: LoadReport) => void;
};

export type UpstreamDirectory = {
    /** Applies the platform's host list; ignores a list that is not newer than the last one. */
    replaceHosts: (version: number, hosts: readonly HostRecord[]) => void;
    /** Records an agent's load report; ignores one that is older than the last. */
    observeLoad: (host: string, load: LoadReport) => void;
    /** Records a failed call to `host`, which gets no new work until its next load report. */
    observeFailure: (host: string) => void;
    /** Records that `host` no longer answers probes: its requests in flight are lost. */
    observeUnresponsive: (host: string) => void;
    /** Counts a request of at most `tokens` tokens as in flight on `host`. */
    beginRequest: (host: string, tokens: number) => InFlightRequest;
    /** The monitored upstreams that serve `target`. */
    upstreams: (target: string) => UpstreamView[];
    /** All monitored upstreams, for the state dump. */
    views: () => UpstreamView[];
    /** Records of the monitored upstreams, for the tasks that probe them. */
    monitored: () => HostRecord[];
    /** When `host` last reported its load, in milliseconds by the clock, and whether a call to it has failed since. */
    lastContact: (host: string) => { lastHeardAt: number; suspected: boolean; };
    /** Calls `listener` with the host whose load or condition changed, or without one when the host list changed. */
    onChange: (listener: (host?: string) => void) => void;
};

/** Key of what an upstream serves, equal for all upstreams that are interchangeable for a request. */
export const targetOf = (serves: Serves): string =>
    serves.kind === "group" ? `groups/${serves.group}` : `services/${serves.service}`;

type TrackedUpstream = {
    record: HostRecord;
    load?: LoadReport;
    lastHeardAt: number;
    suspected: boolean;
    ownRunning: number;
    ownTokens: number;
    otherEntriesRunning: number;
    otherEntriesTokens: number;
    lostControllers: Set<AbortController>;
};

const maximumMonitoredInOwnZone = 64;
const maximumMonitoredInOtherZones = 8;

/** After this time a report on other entries' requests has half the weight; the mean of the peers has the rest. */
const loadHalfLifeMilliseconds = 2_000;

/**
 * A report older than the last is ignored, unless none was accepted for this long, since the agent's clock may have
 * been set back.
 */
const reorderWindowMilliseconds = 5_000;

const defaultTokensPerSecond = 100;

const unavailableConditions: Partial<Record<LoadReport["state"], UpstreamCondition>> = {
    draining: "draining",
    down: "down",
};

const mean = (values: number[]): number =>
    values.length === 0 ? 0 : values.reduce((sum, value) => sum + value, 0) / values.length;

export const createUpstreamDirectory = (
    { clock, host: ownHost, availabilityZone, isZoneOutOfService }: {
        clock: Pick<Clock, "now">;
        /** The entry's own host, which determines the subset of upstreams that it monitors. */
        host: string;
        availabilityZone: string;
        isZoneOutOfService: (availabilityZone: string) => boolean;
    },
): UpstreamDirectory => {
    let hostListVersion = -1;
    let trackedByHost = new Map<string, TrackedUpstream>();
    let trackedByTarget = new Map<string, TrackedUpstream[]>();
    const listeners: ((host?: string) => void)[] = [];
    const notifyListeners = (host?: string): void => listeners.forEach(listener => listener(host));

    const chooseMonitored = (hosts: readonly HostRecord[]): HostRecord[] => {
        const groups = new Map<string, HostRecord[]>();
        for (const record of hosts) {
            if (record.role === "upstream" && record.serves !== undefined) {
                const zone = record.availabilityZone === availabilityZone ? "own" : "other";
                const key = `${targetOf(record.serves)} ${zone}`;
                groups.set(key, [...groups.get(key) ?? [], record]);
            }
        }
        return [...groups.values()].flatMap(group => {
            const maximum = group[0]?.availabilityZone === availabilityZone
                ? maximumMonitoredInOwnZone
                : maximumMonitoredInOtherZones;
            const chosenHosts = new Set(rendezvousOrder(ownHost, group.map(record => record.host)).slice(0, maximum));
            return group.filter(record => chosenHosts.has(record.host));
        });
    };

    const conditionOf = (tracked: TrackedUpstream): UpstreamCondition => {
        if (isZoneOutOfService(tracked.record.availabilityZone)) {
            return "zone-out";
        }
        if (tracked.record.state === "leaving") {
            return "leaving";
        }
        if (tracked.suspected) {
            return "suspected";
        }
        return tracked.load === undefined ? "unheard" : unavailableConditions[tracked.load.state] ?? "available";
    };

    const estimateViews = (trackedUpstreams: TrackedUpstream[]): UpstreamView[] => {
        const now = clock.now();
        const reporting = trackedUpstreams.filter(tracked => tracked.load !== undefined);
        const meanRunning = mean(reporting.map(tracked => tracked.otherEntriesRunning));
        const meanTokens = mean(reporting.map(tracked => tracked.otherEntriesTokens));
        const meanSpeed = mean(reporting.map(tracked => tracked.load?.tokensPerSecond ?? 0)) || defaultTokensPerSecond;
        return trackedUpstreams.map(tracked => {
            const weight = tracked.load === undefined
                ? 0
                : 2 ** ((tracked.lastHeardAt - now) / loadHalfLifeMilliseconds);
            const blend = (reported: number, peers: number): number => weight * reported + (1 - weight) * peers;
            return {
                record: tracked.record,
                condition: conditionOf(tracked),
                ownZone: tracked.record.availabilityZone === availabilityZone,
                running: tracked.ownRunning + blend(tracked.otherEntriesRunning, meanRunning),
                limit: tracked.load?.limit ?? 1,
                outstandingTokens: tracked.ownTokens + blend(tracked.otherEntriesTokens, meanTokens),
                tokensPerSecond: tracked.load?.tokensPerSecond ?? meanSpeed,
            };
        });
    };

    const createTracked = (record: HostRecord): TrackedUpstream => ({
        record,
        lastHeardAt: -Infinity,
        suspected: false,
        ownRunning: 0,
        ownTokens: 0,
        otherEntriesRunning: 0,
        otherEntriesTokens: 0,
        lostControllers: new Set(),
    });

    const observeLoad = (host: string, load: LoadReport): void => {
        const tracked = trackedByHost.get(host);
        if (tracked === undefined) {
            return;
        }
        const now = clock.now();
        const isOlder = tracked.load !== undefined && load.takenAt < tracked.load.takenAt;
        if (isOlder && now - tracked.lastHeardAt < reorderWindowMilliseconds) {
            return;
        }
        tracked.load = load;
        tracked.lastHeardAt = now;
        tracked.suspected = false;
        tracked.otherEntriesRunning = Math.max(0, load.running - tracked.ownRunning);
        tracked.otherEntriesTokens = Math.max(0, load.outstandingTokens - tracked.ownTokens);
        notifyListeners(host);
    };

    return {
        replaceHosts: (version, hosts) => {
            if (version <= hostListVersion) {
                return;
            }
            hostListVersion = version;
            const previouslyTracked = trackedByHost;
            trackedByHost = new Map();
            trackedByTarget = new Map();
            for (const record of chooseMonitored(hosts)) {
                const existing = previouslyTracked.get(record.host);
                // A different address means a different process, of which nothing is known yet.
                const tracked = existing?.record.address === record.address ? existing : createTracked(record);
                tracked.record = record;
                trackedByHost.set(record.host, tracked);
                const target = record.serves === undefined ? "" : targetOf(record.serves);
                trackedByTarget.set(target, [...trackedByTarget.get(target) ?? [], tracked]);
            }
            notifyListeners();
        },
        observeLoad,
        observeFailure: host => {
            const tracked = trackedByHost.get(host);
            if (tracked !== undefined && !tracked.suspected) {
                tracked.suspected = true;
                notifyListeners(host);
            }
        },
        observeUnresponsive: host => {
            trackedByHost.get(host)?.lostControllers.forEach(controller => controller.abort());
        },
        beginRequest: (host, tokens) => {
            const tracked = trackedByHost.get(host);
            const lostController = new AbortController();
            let remainingTokens = tokens;
            let hasEnded = false;
            const recordTokens = (received: number): void => {
                const counted = hasEnded ? 0 : Math.min(remainingTokens, received);
                remainingTokens -= counted;
                if (tracked !== undefined) {
                    tracked.ownTokens -= counted;
                }
            };
            if (tracked !== undefined) {
                tracked.ownRunning += 1;
                tracked.ownTokens += tokens;
                tracked.lostControllers.add(lostController);
            }
            return {
                lostSignal: lostController.signal,
                recordTokens,
                end: load => {
                    if (hasEnded) {
                        return;
                    }
                    recordTokens(remainingTokens);
                    hasEnded = true;
                    if (tracked !== undefined) {
                        tracked.ownRunning -= 1;
                        tracked.lostControllers.delete(lostController);
                    }
                    // The report no longer includes this request, so it is applied after the own count was reduced.
                    if (load === undefined) {
                        notifyListeners(host);
                    }
                    else {
                        observeLoad(host, load);
                    }
                },
            };
        },
        upstreams: target => estimateViews(trackedByTarget.get(target) ?? []),
        views: () => [...trackedByTarget.values()].flatMap(estimateViews),
        monitored: () => [...trackedByHost.values()].map(tracked => tracked.record),
        lastContact: host => {
            const tracked = trackedByHost.get(host);
            return { lastHeardAt: tracked?.lastHeardAt ?? -Infinity, suspected: tracked?.suspected ?? false };
        },
        onChange: listener => {
            listeners.push(listener);
        },
    };
};
