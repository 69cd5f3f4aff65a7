/**
 * What one entry knows of the upstreams that it may choose.
 *
 * Four words come together: the platform's host list, which lags; the settings, which take availability zones out; each
 * agent's own reports; and what the entry itself has sent and lost. An upstream gets no new work from the first word
 * that speaks against it, whichever that is, and until that same source takes its word back.
 *
 * An entry watches the upstreams of its own availability zone and a small part of the others', picked by rendezvous
 * hash, so that its work for control does not grow with the whole system.
 */
import { rendezvousOrder } from "../state/rendezvousHash.js";
import type { Clock, HostRecord, LoadReport, Serves } from "../state/types.js";

/** Why an upstream takes work or not; only `available` upstreams are chosen, then `unheard` ones. */
export type UpstreamCondition =
    | "available"
    | "unheard"
    | "suspected"
    | "down"
    | "draining"
    | "leaving"
    | "zone-out";

/** One upstream with its load as estimated now. */
export type UpstreamView = {
    record: HostRecord;
    condition: UpstreamCondition;
    ownZone: boolean;
    running: number;
    limit: number;
    outstandingTokens: number;
    /** Speed with all places taken, in tokens a second. */
    tokensPerSecond: number;
};

/** A request that this entry has in flight on one upstream. */
export type InFlight = {
    /** Aborts when the upstream falls silent. */
    readonly lost: AbortSignal;
    /** Counts `tokens` received tokens off the outstanding ones. */
    progress: (tokens: number) => void;
    /** Ends the request; `load` is what the agent reported without it. Further calls have no effect. */
    end: (load?: LoadReport) => void;
};

export type UpstreamDirectory = {
    /** Takes the platform's host list; a list older than the newest one known is passed over. */
    replaceHosts: (version: number, hosts: readonly HostRecord[]) => void;
    /** Takes an agent's report; one older than the last is passed over. */
    observeLoad: (host: string, load: LoadReport) => void;
    /** Takes the failure of a call to `host`, which gets no new work until it is heard of again. */
    observeFailure: (host: string) => void;
    /** Takes the word that `host` answers no probe any more: what is in flight there is lost. */
    observeSilence: (host: string) => void;
    /** Counts a request of `tokens` tokens as sent to `host`. */
    begin: (host: string, tokens: number) => InFlight;
    /** The watched upstreams that serve `target`. */
    upstreams: (target: string) => UpstreamView[];
    /** All watched upstreams, for the dump. */
    views: () => UpstreamView[];
    /** Hosts of the watched upstreams, for the tasks that probe them. */
    watched: () => HostRecord[];
    /** When `host` was last heard of, in milliseconds since the epoch, and whether it is suspected. */
    lastWord: (host: string) => { heardAt: number; suspected: boolean; };
    /** Calls `listener` with the host whose load or condition changed, or none for a change of the list. */
    onChange: (listener: (host?: string) => void) => void;
};

/** Name of what an upstream serves, equal for all upstreams among which a request may choose. */
export const targetOf = (serves: Serves): string =>
    serves.kind === "group" ? `groups/${serves.group}` : `services/${serves.service}`;

type Entry = {
    record: HostRecord;
    load?: LoadReport;
    heardAt: number;
    suspected: boolean;
    ownRunning: number;
    ownTokens: number;
    othersRunning: number;
    othersTokens: number;
    inFlight: Set<AbortController>;
};

const watchedInOwnZone = 64;
const watchedInOtherZones = 8;

/** After this long a report about other entries' work counts half, and the mean of its peers the other half. */
const loadHalfLifeMilliseconds = 2_000;

/** An older report is passed over, unless nothing else was heard for this long: the agent's clock may have been set. */
const reorderWindowMilliseconds = 5_000;

const assumedTokensPerSecond = 100;

const lostConditions: Partial<Record<LoadReport["state"], UpstreamCondition>> = { draining: "draining", down: "down" };

const mean = (values: number[]): number =>
    values.length === 0 ? 0 : values.reduce((sum, value) => sum + value, 0) / values.length;

export const createUpstreamDirectory = ({ clock, host: ownHost, availabilityZone, isZoneOut }: {
    clock: Pick<Clock, "now">;
    /** Name of the entry's own host, which decides the part of other zones that it watches. */
    host: string;
    availabilityZone: string;
    isZoneOut: (availabilityZone: string) => boolean;
}): UpstreamDirectory => {
    let listVersion = -1;
    let entries = new Map<string, Entry>();
    let byTarget = new Map<string, Entry[]>();
    const listeners: ((host?: string) => void)[] = [];
    const changed = (host?: string): void => listeners.forEach(listener => listener(host));

    const pickWatched = (hosts: readonly HostRecord[]): HostRecord[] => {
        const groups = new Map<string, HostRecord[]>();
        for (const record of hosts) {
            if (record.role === "upstream" && record.serves !== undefined) {
                const zone = record.availabilityZone === availabilityZone ? "own" : "other";
                const key = `${targetOf(record.serves)} ${zone}`;
                groups.set(key, [...groups.get(key) ?? [], record]);
            }
        }
        return [...groups.values()].flatMap(group => {
            const most = group[0]?.availabilityZone === availabilityZone ? watchedInOwnZone : watchedInOtherZones;
            const picked = new Set(rendezvousOrder(ownHost, group.map(record => record.host)).slice(0, most));
            return group.filter(record => picked.has(record.host));
        });
    };

    const condition = (entry: Entry): UpstreamCondition => {
        if (isZoneOut(entry.record.availabilityZone)) {
            return "zone-out";
        }
        if (entry.record.state === "leaving") {
            return "leaving";
        }
        if (entry.suspected) {
            return "suspected";
        }
        return entry.load === undefined ? "unheard" : lostConditions[entry.load.state] ?? "available";
    };

    const viewAll = (target: Entry[]): UpstreamView[] => {
        const now = clock.now();
        const heard = target.filter(entry => entry.load !== undefined);
        const meanRunning = mean(heard.map(entry => entry.othersRunning));
        const meanTokens = mean(heard.map(entry => entry.othersTokens));
        const meanSpeed = mean(heard.map(entry => entry.load?.tokensPerSecond ?? 0)) || assumedTokensPerSecond;
        return target.map(entry => {
            const weight = entry.load === undefined ? 0 : 2 ** ((entry.heardAt - now) / loadHalfLifeMilliseconds);
            const blend = (reported: number, peers: number): number => weight * reported + (1 - weight) * peers;
            return {
                record: entry.record,
                condition: condition(entry),
                ownZone: entry.record.availabilityZone === availabilityZone,
                running: entry.ownRunning + blend(entry.othersRunning, meanRunning),
                limit: entry.load?.limit ?? 1,
                outstandingTokens: entry.ownTokens + blend(entry.othersTokens, meanTokens),
                tokensPerSecond: entry.load?.tokensPerSecond ?? meanSpeed,
            };
        });
    };

    const newEntry = (record: HostRecord): Entry => ({
        record,
        heardAt: -Infinity,
        suspected: false,
        ownRunning: 0,
        ownTokens: 0,
        othersRunning: 0,
        othersTokens: 0,
        inFlight: new Set(),
    });

    const observeLoad = (host: string, load: LoadReport): void => {
        const entry = entries.get(host);
        if (entry === undefined) {
            return;
        }
        const now = clock.now();
        const older = entry.load !== undefined && load.takenAt < entry.load.takenAt;
        if (older && now - entry.heardAt < reorderWindowMilliseconds) {
            return;
        }
        entry.load = load;
        entry.heardAt = now;
        entry.suspected = false;
        entry.othersRunning = Math.max(0, load.running - entry.ownRunning);
        entry.othersTokens = Math.max(0, load.outstandingTokens - entry.ownTokens);
        changed(host);
    };

    return {
        replaceHosts: (version, hosts) => {
            if (version <= listVersion) {
                return;
            }
            listVersion = version;
            const known = entries;
            entries = new Map();
            byTarget = new Map();
            for (const record of pickWatched(hosts)) {
                const before = known.get(record.host);
                // Another address is another process, of which nothing is known yet.
                const entry = before?.record.address === record.address ? before : newEntry(record);
                entry.record = record;
                entries.set(record.host, entry);
                const target = record.serves === undefined ? "" : targetOf(record.serves);
                byTarget.set(target, [...byTarget.get(target) ?? [], entry]);
            }
            changed();
        },
        observeLoad,
        observeFailure: host => {
            const entry = entries.get(host);
            if (entry !== undefined && !entry.suspected) {
                entry.suspected = true;
                changed(host);
            }
        },
        observeSilence: host => {
            entries.get(host)?.inFlight.forEach(lost => lost.abort());
        },
        begin: (host, tokens) => {
            const entry = entries.get(host);
            const lost = new AbortController();
            let left = tokens;
            let ended = false;
            const progress = (received: number): void => {
                const counted = ended ? 0 : Math.min(left, received);
                left -= counted;
                if (entry !== undefined) {
                    entry.ownTokens -= counted;
                }
            };
            if (entry !== undefined) {
                entry.ownRunning += 1;
                entry.ownTokens += tokens;
                entry.inFlight.add(lost);
            }
            return {
                lost: lost.signal,
                progress,
                end: load => {
                    if (ended) {
                        return;
                    }
                    progress(left);
                    ended = true;
                    if (entry !== undefined) {
                        entry.ownRunning -= 1;
                        entry.inFlight.delete(lost);
                    }
                    // The report counts this request no more, so it must be taken after the own count has fallen.
                    if (load === undefined) {
                        changed(host);
                    }
                    else {
                        observeLoad(host, load);
                    }
                },
            };
        },
        upstreams: target => viewAll(byTarget.get(target) ?? []),
        views: () => [...byTarget.values()].flatMap(viewAll),
        watched: () => [...entries.values()].map(entry => entry.record),
        lastWord: host => {
            const entry = entries.get(host);
            return { heardAt: entry?.heardAt ?? -Infinity, suspected: entry?.suspected ?? false };
        },
        onChange: listener => {
            listeners.push(listener);
        },
    };
};
