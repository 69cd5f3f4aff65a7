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
export type AccountUse = { demand: number; share: number; };

/** What one entry publishes; a later `sequence` replaces an earlier one, also across its restarts. */
export type EntryRecord = { host: string; sequence: number; accounts: Record<string, AccountUse>; };

export type AccountShares = {
    /** Counts `units` asked of `account`, whether granted or not. */
    recordDemand: (account: string, units: number) => void;
    /** Units a second that this entry may grant; undefined for an account without a limit. */
    share: (account: string) => number | undefined;
    /** Takes another entry's record; one that is not newer is passed over. */
    observe: (record: EntryRecord) => void;
    /** This entry's record and the newest known ones of the others. */
    records: () => EntryRecord[];
    /** Measures demand, moves the shares and renews the record; called every `shareIntervalMilliseconds`. */
    update: () => void;
};

/** Time between two moves of the shares, in milliseconds. */
export const shareIntervalMilliseconds = 1_000;

/** Part of a limit that the entries together may use beyond it, so that each can always start. */
const startingPart = 0.02;
const freshMilliseconds = 5_000;

/** An account without demand for so many updates is no longer published. */
const updatesUntilInactive = 30;

/** Weight of the last interval in the measured demand: it rises faster than it falls. */
const risingWeight = 0.7;
const fallingWeight = 0.5;

/** Below this demand, in units a second, an account counts as idle. */
const idleDemand = 0.01;

type OwnAccount = {
    demand: number;
    /** Units asked since the last update. */
    asked: number;
    /** Undefined stands for an equal part. */
    share: number | undefined;
    /** The limit that `share` is a part of. */
    limit: number;
    idleUpdates: number;
};

type Peer = { record: EntryRecord; heardAt: number; };

/** Max-min fair division of `limit` by `demands`; what is left over is split evenly. */
export const divideByDemand = (limit: number, demands: readonly number[]): number[] => {
    const total = demands.reduce((sum, demand) => sum + demand, 0);
    if (total <= limit) {
        return demands.map(demand => demand + (limit - total) / demands.length);
    }
    let rest = limit;
    let open = demands.length;
    const shares = new Map<number, number>();
    const ascending = demands.map((demand, position) => ({ demand, position })).sort((a, b) => a.demand - b.demand);
    for (const { demand, position } of ascending) {
        const share = Math.min(demand, rest / open);
        shares.set(position, share);
        rest -= share;
        open -= 1;
    }
    return demands.map((demand, position) => shares.get(position) ?? 0);
};

export const createAccountShares = ({ clock, host, members, limitOf }: {
    clock: Pick<Clock, "now">;
    /** Name of this entry's host. */
    host: string;
    /** Hosts of all live entries of the zone, this one included. */
    members: () => readonly string[];
    /** Limit of an account in units a second, if it has one. */
    limitOf: (account: string) => number | undefined;
}): AccountShares => {
    const accounts = new Map<string, OwnAccount>();
    const peers = new Map<string, Peer>();
    let ownRecord: EntryRecord = { host, sequence: -1, accounts: {} };

    const accountOf = (account: string): OwnAccount => {
        const known = accounts.get(account);
        if (known !== undefined) {
            return known;
        }
        const created = { demand: 0, asked: 0, share: undefined, limit: 0, idleUpdates: 0 };
        accounts.set(account, created);
        return created;
    };

    const others = (): string[] => members().filter(member => member !== host);

    const useAt = (member: string, account: string, equalPart: number): AccountUse =>
        peers.get(member)?.record.accounts[account] ?? { demand: 0, share: equalPart };

    const hearsMost = (): boolean => {
        const heard = others().filter(member =>
            clock.now() - (peers.get(member)?.heardAt ?? -Infinity) < freshMilliseconds
        );
        return heard.length + 1 > members().length / 2;
    };

    /** A changed limit takes the share with it. */
    const takeLimit = (own: OwnAccount, limit: number): void => {
        own.share = own.share === undefined || own.limit === 0 ? own.share : own.share * limit / own.limit;
        own.limit = limit;
    };

    const moveShare = (account: string, own: OwnAccount, limit: number): void => {
        takeLimit(own, limit);
        const uses = others().map(member => useAt(member, account, limit / (others().length + 1)));
        const equalPart = limit / (uses.length + 1);
        const share = own.share ?? equalPart;
        const [target = equalPart, ...targets] = divideByDemand(limit, [
            own.demand,
            ...uses.map(({ demand }) => demand),
        ]);
        const held = uses.reduce((sum, use) => sum + use.share, 0);
        if (target <= share || held + share > limit) {
            // Beyond the limit, as after a restart or a change of it, all give back in proportion.
            own.share = Math.min(target, share, share * limit / Math.max(limit, held + share));
            return;
        }
        const wanted = uses.reduce((sum, use, position) => sum + Math.max(0, (targets[position] ?? 0) - use.share), 0);
        const free = limit - held - share;
        const part = (target - share) / (wanted + target - share);
        own.share = hearsMost() ? share + Math.min(target - share, free * part) : share;
    };

    const measure = (own: OwnAccount): void => {
        const asked = own.asked * 1_000 / shareIntervalMilliseconds;
        const weight = asked > own.demand ? risingWeight : fallingWeight;
        own.demand += (asked - own.demand) * weight;
        own.asked = 0;
        own.demand = own.demand < idleDemand ? 0 : own.demand;
    };

    /** Accounts that another entry has demand for, whose idle share here is wanted there. */
    const noteActiveElsewhere = (): void => {
        for (const { record } of peers.values()) {
            for (const [account, { demand }] of Object.entries(record.accounts)) {
                if (demand > 0) {
                    accountOf(account).idleUpdates = 0;
                }
            }
        }
    };

    return {
        recordDemand: (account, units) => {
            const own = accountOf(account);
            own.asked += units;
            own.idleUpdates = 0;
        },
        share: account => {
            const limit = limitOf(account);
            if (limit === undefined) {
                return undefined;
            }
            const own = accountOf(account);
            takeLimit(own, limit);
            const entries = others().length + 1;
            return (own.share ?? limit / entries) + startingPart * limit / entries;
        },
        observe: record => {
            const known = peers.get(record.host);
            if (record.host !== host && (known === undefined || record.sequence > known.record.sequence)) {
                peers.set(record.host, { record, heardAt: clock.now() });
            }
        },
        records: () => [ownRecord, ...[...peers.values()].map(({ record }) => record)],
        update: () => {
            const live = new Set(members());
            [...peers.keys()].filter(member => !live.has(member)).forEach(member => peers.delete(member));
            accounts.forEach(own => {
                measure(own);
                own.idleUpdates += own.demand > 0 ? 0 : 1;
            });
            noteActiveElsewhere();
            const published: EntryRecord["accounts"] = {};
            for (const [account, own] of accounts) {
                const limit = limitOf(account);
                if (limit === undefined || own.idleUpdates > updatesUntilInactive) {
                    accounts.delete(account);
                    continue;
                }
                moveShare(account, own, limit);
                published[account] = { demand: own.demand, share: own.share ?? limit / members().length };
            }
            ownRecord = { host, sequence: clock.now(), accounts: published };
        },
    };
};
