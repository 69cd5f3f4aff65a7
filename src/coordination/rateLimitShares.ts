/**
 * Divides the rate limits of client accounts among the entries of one availability zone, by demand.
 *
 * Each entry may use its share of a limit without asking anyone. It publishes, for each account active in the zone, the
 * demand it sees and the share it holds, and moves its share towards a max-min fair division of the limit:
 *
 * - it lowers its share at once;
 * - it raises its share only by what the others have visibly given up, and only in proportion to its part of all that
 *   is wanted, so that two entries don't both take the same rest;
 * - it raises nothing while it hears fewer than half of the zone's entries. An entry that is cut off so keeps its last
 *   share, which the others leave to it.
 *
 * Without any word each entry holds an equal part. On top, every entry has a small part as its own at all times, so that
 * an account's first requests at it need not wait for an exchange.
 */
import type { Clock } from "../state/types.js";

/** Demand and share of one account at one entry, in units (requests or tokens) a second. */
export type RateLimitUsage = { demand: number; share: number; };

/** What one entry publishes; a later `sequence` replaces an earlier one, also across its restarts. */
export type EntryDemandRecord = { host: string; sequence: number; accounts: Record<string, RateLimitUsage>; };

export type RateLimitShares = {
    /** Counts `units` asked of `account`, whether granted or not. */
    recordDemand: (key: string, units: number) => void;
    /** Units a second that this entry may grant; undefined for an account without a limit. */
    share: (key: string) => number | undefined;
    /** Takes another entry's record; one that is not newer is passed over. */
    observe: (record: EntryDemandRecord) => void;
    /** This entry's record and the newest known ones of the others. */
    records: () => EntryDemandRecord[];
    /** Measures demand, moves the shares and renews the record; called every `shareIntervalMilliseconds`. */
    update: () => void;
};

/** Time between two moves of the shares, in milliseconds. */
export const rebalanceIntervalMilliseconds = 1_000;

/** Part of a limit that the entries together may use beyond it, so that each can always start. */
const overcommitFraction = 0.02;
const peerFreshnessMilliseconds = 5_000;

/** An account without demand for so many updates is no longer published. */
const updatesUntilInactive = 30;

/** Weight of the last interval in the measured demand: it rises faster than it falls. */
const risingDemandWeight = 0.7;
const fallingDemandWeight = 0.5;

/** Below this demand, in units a second, an account counts as idle. */
const idleDemand = 0.01;

type LocalRateLimit = {
    demand: number;
    /** Units asked since the last update. */
    requestedUnits: number;
    /** Undefined stands for an equal part. */
    share: number | undefined;
    /** The limit that `share` is a part of. */
    limit: number;
    idleUpdates: number;
};

type PeerRecord = { record: EntryDemandRecord; receivedAt: number; };

/** Max-min fair division of `limit` by `demands`; what is left over is split evenly. */
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
    /** Name of this entry's host. */
    host: string;
    /** Hosts of all live entries of the zone, this one included. */
    members: () => readonly string[];
    /** Limit of an account in units a second, if it has one. */
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

    /** A changed limit takes the share with it. */
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
            // Beyond the limit, as after a restart or a change of it, all give back in proportion.
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

    /** Accounts that another entry has demand for, whose idle share here is wanted there. */
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
