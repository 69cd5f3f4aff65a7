/**
 * Simulates the rate limit of one client account across the entries of a zone, on a virtual clock.
 *
 * It measures how far the granted rate deviates from the limit when the entries divide the limit by demand, when they
 * divide it equally, and when each entry enforces the whole limit on its own.
 */
import { createAccountRateLimiter } from "../coordination/accountRateLimiter.js";
import { createRateLimitShares, type RateLimitShares } from "../coordination/rateLimitShares.js";
import type { RandomNumber } from "../state/types.js";

export type SharePolicy = "by-demand" | "equal" | "whole";

export type AccountModelResult = {
    /** Most requests granted in any ten-second window, as a ratio to the limit for ten seconds. */
    peakTenSecondRatio: number;
    /** Rate granted when the account sends more than its limit to a single entry, as a ratio to the limit. */
    singleEntryRatio: number;
};

const limitPerSecond = 200;
const ticksPerSecond = 10;
const phaseSeconds = 8;
const phases = 12;
const peersPerExchange = 4;

const policies: Record<SharePolicy, (shares: RateLimitShares, entries: number) => RateLimitShares> = {
    "by-demand": shares => shares,
    "equal": (shares, entries) => ({ ...shares, share: () => limitPerSecond / entries }),
    "whole": shares => ({ ...shares, share: () => limitPerSecond }),
};

const exchangeRecords = (allShares: RateLimitShares[], lossProbability: number, random: RandomNumber): void =>
    allShares.forEach((shares, entry) => {
        shares.update();
        for (
            let exchange = 0;
            exchange < Math.min(peersPerExchange, allShares.length - 1);
            exchange += 1
        ) {
            const peer = allShares[(entry + 1 + Math.floor(random() * (allShares.length - 1))) % allShares.length];
            if (peer !== undefined && random() >= lossProbability) {
                shares.records().forEach(peer.observe);
                peer.records().forEach(shares.observe);
            }
        }
    });

/** Simulates phases of random demand, then a phase in which the account calls a single entry only. */
export const runAccountLimitModel = (
    policy: SharePolicy,
    entries: number,
    lossProbability: number,
    random: RandomNumber,
): AccountModelResult => {
    let now = 1_000;
    const clock = { now: () => now };
    const hosts = [...Array(entries).keys()].map(entry => `entry-${entry}`);
    const allShares = hosts.map(host =>
        createRateLimitShares({
            clock,
            host,
            members: () => hosts,
            limitOf: name => name === "requests/account" ? limitPerSecond : undefined,
        })
    );
    const rateLimiters = allShares.map(shares => createAccountRateLimiter(clock, policies[policy](shares, entries)));
    const grants: number[] = [];

    const run = (rates: number[], ticks: number): void => {
        for (let tick = 0; tick < ticks; tick += 1) {
            now += 1_000 / ticksPerSecond;
            if (tick % ticksPerSecond === 0) {
                exchangeRecords(allShares, lossProbability, random);
            }
            const requested = rates.map(rate => Math.floor(rate / ticksPerSecond + random()));
            grants.push(
                requested.reduce(
                    (sum, count, entry) =>
                        sum
                        + [...Array(count).keys()].filter(() => rateLimiters[entry]?.admit("account", 1).isOk()).length,
                    0,
                ),
            );
        }
    };

    for (let phase = 0; phase < phases; phase += 1) {
        // Each entry is idle in about half of the phases, so that demand shifts between entries.
        run(hosts.map(() => random() < 0.5 ? 0 : random() * limitPerSecond), phaseSeconds * ticksPerSecond);
    }
    run(hosts.map((host, entry) => entry === 0 ? 2 * limitPerSecond : 0), 20 * ticksPerSecond);

    const windowTicks = 10 * ticksPerSecond;
    const windowSums = grants.map((count, position) =>
        grants.slice(Math.max(0, position + 1 - windowTicks), position + 1).reduce(
            (sum, value) => sum + value,
            0,
        )
    );
    return {
        peakTenSecondRatio: Math.max(...windowSums) / (10 * limitPerSecond),
        singleEntryRatio: (windowSums.at(-1) ?? 0) / (10 * limitPerSecond),
    };
};
