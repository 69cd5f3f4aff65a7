/**
 * One limited client account at the entries of a zone, on a virtual clock: how far what is granted strays from the
 * limit, with shares by demand, with equal fixed shares, and with each entry holding the whole limit.
 */
import { createAccountRateLimiter } from "../coordination/accountRateLimiter.js";
import { createRateLimitShares, type RateLimitShares } from "../coordination/rateLimitShares.js";
import type { RandomNumber } from "../state/types.js";

export type SharePolicy = "by-demand" | "equal" | "whole";

export type AccountOutcome = {
    /** Most granted in any ten seconds, as a part of ten seconds' limit. */
    worstTenSeconds: number;
    /** Granted to an account that calls one entry alone with more than its limit, as a part of the limit. */
    alone: number;
};

const limit = 200;
const ticksPerSecond = 10;
const phaseSeconds = 8;
const phases = 12;
const peersAsked = 4;

const policies: Record<SharePolicy, (shares: RateLimitShares, entries: number) => RateLimitShares> = {
    "by-demand": shares => shares,
    "equal": (shares, entries) => ({ ...shares, share: () => limit / entries }),
    "whole": shares => ({ ...shares, share: () => limit }),
};

const exchangeAll = (all: RateLimitShares[], loss: number, random: RandomNumber): void =>
    all.forEach((shares, entry) => {
        shares.update();
        for (let asked = 0; asked < Math.min(peersAsked, all.length - 1); asked += 1) {
            const peer = all[(entry + 1 + Math.floor(random() * (all.length - 1))) % all.length];
            if (peer !== undefined && random() >= loss) {
                shares.records().forEach(peer.observe);
                peer.records().forEach(shares.observe);
            }
        }
    });

/** Runs phases of random demand, then one in which the account calls a single entry. */
export const runAccountModel = (
    policy: SharePolicy,
    entries: number,
    loss: number,
    random: RandomNumber,
): AccountOutcome => {
    let now = 1_000;
    const clock = { now: () => now };
    const hosts = [...Array(entries).keys()].map(entry => `entry-${entry}`);
    const all = hosts.map(host =>
        createRateLimitShares({
            clock,
            host,
            members: () => hosts,
            limitOf: name => name === "requests/account" ? limit : undefined,
        })
    );
    const limits = all.map(shares => createAccountRateLimiter(clock, policies[policy](shares, entries)));
    const granted: number[] = [];

    const run = (rates: number[], ticks: number): void => {
        for (let tick = 0; tick < ticks; tick += 1) {
            now += 1_000 / ticksPerSecond;
            if (tick % ticksPerSecond === 0) {
                exchangeAll(all, loss, random);
            }
            const asked = rates.map(rate => Math.floor(rate / ticksPerSecond + random()));
            granted.push(
                asked.reduce(
                    (sum, count, entry) =>
                        sum + [...Array(count).keys()].filter(() => limits[entry]?.admit("account", 1).isOk()).length,
                    0,
                ),
            );
        }
    };

    for (let phase = 0; phase < phases; phase += 1) {
        // Most phases use a few entries, so that the demand moves about.
        run(hosts.map(() => random() < 0.5 ? 0 : random() * limit), phaseSeconds * ticksPerSecond);
    }
    run(hosts.map((host, entry) => entry === 0 ? 2 * limit : 0), 20 * ticksPerSecond);

    const window = 10 * ticksPerSecond;
    const sums = granted.map((count, position) =>
        granted.slice(Math.max(0, position + 1 - window), position + 1).reduce((sum, value) => sum + value, 0)
    );
    return {
        worstTenSeconds: Math.max(...sums) / (10 * limit),
        alone: (sums.at(-1) ?? 0) / (10 * limit),
    };
};
