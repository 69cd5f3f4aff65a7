/**
 * Simulates the entries of one availability zone that share the rate limit of one account, in memory and on a virtual
 * clock.
 */
import { createAccountRateLimiter } from "../../src/coordination/accountRateLimiter.js";
import { createRateLimitShares, type RateLimitShares } from "../../src/coordination/rateLimitShares.js";
import { virtualClock } from "./virtualClock.js";

export type RateLimitZone = {
    limit: number;
    /** Indexes of the entries that can't exchange records with any other entry. */
    isolatedEntries: Set<number>;
    /**
     * Submits `rates[entry]` requests per second at each entry for `seconds` and returns the number of requests that
     * all entries together admitted in each tenth of a second.
     */
    run: (rates: number[], seconds: number) => number[];
    /** Current share of the limit of each entry, in requests per second. */
    currentShares: () => number[];
    restart: (entry: number) => void;
};

const ticksPerSecond = 10;

/** `isDelivered` decides for each exchange, once per second and ordered pair of entries, whether it succeeds. */
export const createRateLimitZone = (
    entries: number,
    limit: number,
    isDelivered: (from: number, to: number) => boolean = () => true,
): RateLimitZone => {
    const clock = virtualClock(1_000);
    const hosts = [...Array(entries).keys()].map(entry => `entry-${entry}`);
    const start = (host: string) => {
        const limitOf = (name: string) => name === "requests/portal" ? limit : undefined;
        const shares = createRateLimitShares({ clock, host, members: () => hosts, limitOf });
        return { shares, limits: createAccountRateLimiter(clock, shares) };
    };
    const running = hosts.map(start);
    const pendingRequests = hosts.map(() => 0);
    const isolatedEntries = new Set<number>();
    let tick = 0;

    const exchange = (from: RateLimitShares, to: RateLimitShares) => from.records().forEach(to.observe);

    const updateAndExchange = () =>
        running.forEach(({ shares }, entry) => {
            shares.update();
            running.forEach((other, position) => {
                if (
                    position !== entry && !isolatedEntries.has(entry) && !isolatedEntries.has(position)
                    && isDelivered(entry, position)
                ) {
                    exchange(shares, other.shares);
                    exchange(other.shares, shares);
                }
            });
        });

    const submitRequests = (rates: number[]): number =>
        rates.reduce((granted, rate, entry) => {
            pendingRequests[entry]! += rate / ticksPerSecond;
            let count = 0;
            for (; pendingRequests[entry]! >= 1; pendingRequests[entry]! -= 1) {
                count += running[entry]!.limits.admit("portal", 1).isOk() ? 1 : 0;
            }
            return granted + count;
        }, 0);

    return {
        limit,
        isolatedEntries,
        run: (rates, seconds) =>
            [...Array(seconds * ticksPerSecond).keys()].map(() => {
                clock.advance(1_000 / ticksPerSecond);
                tick += 1;
                if (tick % ticksPerSecond === 0) {
                    updateAndExchange();
                }
                return submitRequests(rates);
            }),
        currentShares: () => running.map(({ shares }) => shares.share("requests/portal") ?? 0),
        restart: entry => {
            running[entry] = start(hosts[entry]!);
        },
    };
};

/** Largest number of requests admitted in any window of ten seconds, as a fraction of the limit for ten seconds. */
export const peakTenSecondLoad = (granted: number[], limit: number): number => {
    const window = 10 * ticksPerSecond;
    let sum = 0;
    let peak = 0;
    granted.forEach((count, position) => {
        sum += count - (granted[position - window] ?? 0);
        peak = Math.max(peak, sum);
    });
    return peak / (10 * limit);
};

export const totalOf = (granted: number[]): number => granted.reduce((sum, count) => sum + count, 0);
