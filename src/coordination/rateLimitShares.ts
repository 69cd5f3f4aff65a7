/**
 * Divides the rate limits of client accounts among the entries of one availability zone by demand.
 *
 * Each entry spends its share of a limit without asking any other entry. For each active limit it publishes its
 * measured demand and its current share, and it moves the share towards a max-min fair division of the limit:
 *
 * - A share that is too large is lowered at once.
 * - A share is raised only by what the records of the other entries show as unallocated, and only in proportion to this
 *   entry's part of the total unmet demand, so that two entries do not both claim the same capacity.
 * - No share is raised without recent records from a majority of the zone's entries, this one included. An entry that
 *   is partitioned off therefore keeps its last share, which the others leave to it.
 *
 * Until records arrive, each entry holds an equal share. In addition, every entry may always use a small fraction of
 * the limit, so that the first requests of an account need not wait for an exchange of records.
 */
import type { Clock } from "../state/types.js";

/** Demand for one limit and share of it at one entry, in units (requests or tokens) per second. */
export type RateLimitUsage = { demand: number; share: number; };

/** What one entry publishes, by rate limit key; a higher `sequence` replaces a lower one, also across restarts. */
export type EntryDemandRecord = { host: string; sequence: number; accounts: Record<string, RateLimitUsage>; };

export type RateLimitShares = {
    /** Counts a demand of `units` on the limit `key`, whether granted or not. */
    recordDemand: (key: string, units: number) => void;
    /** Units per second that this entry may grant; undefined if there is no such limit. */
    share: (key: string) => number | undefined;
    /** Stores another entry's record unless a record at least as new is known. */
    observe: (record: EntryDemandRecord) => void;
    /** This entry's record, followed by the newest known record of each other entry. */
    records: () => EntryDemandRecord[];
    /** Measures demand, rebalances shares and renews the record; to be called every `rebalanceIntervalMilliseconds`. */
    update: () => void;
};

export const rebalanceIntervalMilliseconds = 1_000;

/** Fraction of a limit that the entries together may use on top of it, so that each can always admit requests. */
const overcommitFraction = 0.02;
const peerFreshnessMilliseconds = 5_000;

/** A limit without demand anywhere for this many updates is no longer published. */
const updatesUntilInactive = 30;

/** Weights of the latest interval in the smoothed demand, which rises faster than it falls. */
const risingDemandWeight = 0.7;
const fallingDemandWeight = 0.5;

/** Demand in units per second below which a limit counts as idle. */
const idleDemand = 0.01;

type LocalRateLimit = {
    demand: number;
    /** Units requested since the last update. */
    requestedUnits: number;
    /** Undefined means an equal share. */
    share: number | undefined;
    /** The limit from which `share` was computed. */
    limit: number;
    idleUpdates: number;
};

type PeerRecord = { record: EntryDemandRecord; receivedAt: number; };

/** Max-min fair division of `limit` by `demands`; any remainder is split evenly. */
export const divideByDemand = (limit: number, demands: readonly number[]): number[] => {
    const total = demands.reduce((sum, demand) => sum + demand, 0);
    if (total <= limit) {
        return demands.map(demand => demand + (limit - total) / demands.length);
    }
    let remainingLimit = limit;
    let remainingDemands = demands.length;
    const shares = new Map<number, number>();
    const ascending = demands.map((demand, position) => ({ demand, position })).sort((a, b) => a.demand - b.demand);
    for (const { demand, position } of ascending) {
        const share = Math.min(demand, remainingLimit / remainingDemands);
        shares.set(position, share);
        remainingLimit -= share;
        remainingDemands -= 1;
    }
    return demands.map((demand, position) => shares.get(position) ?? 0);
};

export const createRateLimitShares = ({ clock, host, members, limitOf }: {
    clock: Pick<Clock, "now">;
    host: string;
    /** Hosts of all live entries of the zone, this one included. */
    members: () => readonly string[];
    /** Limit of `key` in units per second, if there is one. */
    limitOf: (key: string) => number | undefined;
}): RateLimitShares => {
    const localLimits = new Map<string, LocalRateLimit>();
    const peers = new Map<string, PeerRecord>();
    let ownRecord: EntryDemandRecord = { host, sequence: -1, accounts: {} };

    const localLimitOf = (key: string): LocalRateLimit => {
        const existing = localLimits.get(key);
        if (existing !== undefined) {
            return existing;
        }
        const created = { demand: 0, requestedUnits: 0, share: undefined, limit: 0, idleUpdates: 0 };
        localLimits.set(key, created);
        return created;
    };

    const otherEntries = (): string[] => members().filter(member => member !== host);

    const usageAt = (member: string, key: string, equalShare: number): RateLimitUsage =>
        peers.get(member)?.record.accounts[key] ?? { demand: 0, share: equalShare };

    const hasMajority = (): boolean => {
        const reachable = otherEntries().filter(member =>
            clock.now() - (peers.get(member)?.receivedAt ?? -Infinity) < peerFreshnessMilliseconds
        );
        return reachable.length + 1 > members().length / 2;
    };

    /** Scales the share in proportion when the limit has changed. */
    const applyLimit = (local: LocalRateLimit, limit: number): void => {
        local.share = local.share === undefined || local.limit === 0 ? local.share : local.share * limit / local.limit;
        local.limit = limit;
    };

    const rebalanceShare = (key: string, local: LocalRateLimit, limit: number): void => {
        applyLimit(local, limit);
        const usages = otherEntries().map(member => usageAt(member, key, limit / (otherEntries().length + 1)));
        const equalShare = limit / (usages.length + 1);
        const share = local.share ?? equalShare;
        const [target = equalShare, ...targets] = divideByDemand(limit, [
            local.demand,
            ...usages.map(({ demand }) => demand),
        ]);
        const heldByOthers = usages.reduce((sum, usage) => sum + usage.share, 0);
        if (target <= share || heldByOthers + share > limit) {
            // Shares can exceed the limit after a restart or a limit change; then every entry gives back in proportion.
            local.share = Math.min(target, share, share * limit / Math.max(limit, heldByOthers + share));
            return;
        }
        const wantedByOthers = usages.reduce(
            (sum, usage, position) => sum + Math.max(0, (targets[position] ?? 0) - usage.share),
            0,
        );
        const unallocated = limit - heldByOthers - share;
        const fraction = (target - share) / (wantedByOthers + target - share);
        local.share = hasMajority() ? share + Math.min(target - share, unallocated * fraction) : share;
    };

    const updateDemand = (local: LocalRateLimit): void => {
        const unitsPerSecond = local.requestedUnits * 1_000 / rebalanceIntervalMilliseconds;
        const weight = unitsPerSecond > local.demand ? risingDemandWeight : fallingDemandWeight;
        local.demand += (unitsPerSecond - local.demand) * weight;
        local.requestedUnits = 0;
        local.demand = local.demand < idleDemand ? 0 : local.demand;
    };

    /** Keeps limits published that other entries have demand for, since they may claim the idle share here. */
    const keepLimitsActiveElsewhere = (): void => {
        for (const { record } of peers.values()) {
            for (const [key, { demand }] of Object.entries(record.accounts)) {
                if (demand > 0) {
                    localLimitOf(key).idleUpdates = 0;
                }
            }
        }
    };

    return {
        recordDemand: (key, units) => {
            const local = localLimitOf(key);
            local.requestedUnits += units;
            local.idleUpdates = 0;
        },
        share: key => {
            const limit = limitOf(key);
            if (limit === undefined) {
                return undefined;
            }
            const local = localLimitOf(key);
            applyLimit(local, limit);
            const entryCount = otherEntries().length + 1;
            return (local.share ?? limit / entryCount) + overcommitFraction * limit / entryCount;
        },
        observe: record => {
            const existing = peers.get(record.host);
            if (record.host !== host && (existing === undefined || record.sequence > existing.record.sequence)) {
                peers.set(record.host, { record, receivedAt: clock.now() });
            }
        },
        records: () => [ownRecord, ...[...peers.values()].map(({ record }) => record)],
        update: () => {
            const liveMembers = new Set(members());
            [...peers.keys()].filter(member => !liveMembers.has(member)).forEach(member => peers.delete(member));
            localLimits.forEach(local => {
                updateDemand(local);
                local.idleUpdates += local.demand > 0 ? 0 : 1;
            });
            keepLimitsActiveElsewhere();
            const published: EntryDemandRecord["accounts"] = {};
            for (const [key, local] of localLimits) {
                const limit = limitOf(key);
                if (limit === undefined || local.idleUpdates > updatesUntilInactive) {
                    localLimits.delete(key);
                    continue;
                }
                rebalanceShare(key, local, limit);
                published[key] = { demand: local.demand, share: local.share ?? limit / members().length };
            }
            ownRecord = { host, sequence: clock.now(), accounts: published };
        },
    };
};
