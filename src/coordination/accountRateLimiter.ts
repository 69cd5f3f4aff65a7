/**
 * Enforces the rate limits of client accounts at one entry, without a remote call on the request path.
 *
 * Each limit is a token bucket that refills at this entry's share of the limit. A request is charged the maximum number
 * of tokens that it can generate; what it did not generate is refunded when it ends. A request that costs more than the
 * bucket's capacity is admitted when the bucket is full, and leaves a negative balance.
 */
import { err, ok, type Result } from "neverthrow";
import type { Clock } from "../state/types.js";
import type { RateLimitShares } from "./rateLimitShares.js";

/** What a limit counts. */
export type RateLimitUnit = "requests" | "tokens";

/** An admitted request. */
export type RateLimitGrant = {
    refundUnusedTokens: (generatedTokens: number) => void;
};

export type RateLimitExceeded = { unit: RateLimitUnit; retryAfterMilliseconds: number; };

export type AccountRateLimiter = {
    /** Admits a request of at most `tokens` generated tokens (0 for a plain service), or tells when to retry. */
    admit: (clientAccount: string, tokens: number) => Result<RateLimitGrant, RateLimitExceeded>;
};

/** Key of one limit of an account in `RateLimitShares`. */
export const rateLimitKey = (unit: RateLimitUnit, clientAccount: string): string => `${unit}/${clientAccount}`;

export const parseRateLimitKey = (key: string): { unit: RateLimitUnit; clientAccount: string; } => {
    const separator = key.indexOf("/");
    return {
        unit: key.slice(0, separator) === "tokens" ? "tokens" : "requests",
        clientAccount: key.slice(separator + 1),
    };
};

type TokenBucket = { balance: number; refilledAt: number; };

/** A full bucket holds what its share refills in this time. */
const bucketCapacitySeconds = 0.75;

/** Above this number, buckets that were idle long enough to refill from empty are evicted. */
const bucketsBeforeEviction = 10_000;

export const createAccountRateLimiter = (clock: Pick<Clock, "now">, shares: RateLimitShares): AccountRateLimiter => {
    const buckets = new Map<string, TokenBucket>();

    const evictIdleBuckets = (): void => {
        for (const [key, { refilledAt }] of buckets) {
            if (clock.now() - refilledAt > bucketCapacitySeconds * 1_000) {
                buckets.delete(key);
            }
        }
    };

    const refill = (key: string, share: number): { bucket: TokenBucket; capacity: number; } => {
        const now = clock.now();
        const capacity = Math.max(1, share * bucketCapacitySeconds);
        const bucket = buckets.get(key) ?? { balance: capacity, refilledAt: now };
        bucket.balance = Math.min(capacity, bucket.balance + share * (now - bucket.refilledAt) / 1_000);
        bucket.refilledAt = now;
        buckets.set(key, bucket);
        if (buckets.size > bucketsBeforeEviction) {
            evictIdleBuckets();
        }
        return { bucket, capacity };
    };

    /** Records the demand; returns the time until the bucket can grant `units` (0: now), undefined without a limit. */
    const timeUntilAvailable = (
        key: string,
        units: number,
    ): { milliseconds: number; bucket: TokenBucket; } | undefined => {
        shares.recordDemand(key, units);
        const share = shares.share(key);
        if (share === undefined) {
            return undefined;
        }
        const { bucket, capacity } = refill(key, share);
        const deficit = Math.min(units, capacity) - bucket.balance;
        return { milliseconds: deficit <= 0 ? 0 : deficit * 1_000 / share, bucket };
    };

    return {
        admit: (clientAccount, tokens) => {
            const requestBucket = timeUntilAvailable(rateLimitKey("requests", clientAccount), 1);
            const tokenBucket = tokens === 0
                ? undefined
                : timeUntilAvailable(rateLimitKey("tokens", clientAccount), tokens);
            const requestWaitMilliseconds = requestBucket?.milliseconds ?? 0;
            const tokenWaitMilliseconds = tokenBucket?.milliseconds ?? 0;
            if (requestWaitMilliseconds > 0 || tokenWaitMilliseconds > 0) {
                return err({
                    unit: requestWaitMilliseconds >= tokenWaitMilliseconds ? "requests" : "tokens",
                    retryAfterMilliseconds: Math.max(requestWaitMilliseconds, tokenWaitMilliseconds),
                });
            }
            for (const [bucket, units] of [[requestBucket?.bucket, 1], [tokenBucket?.bucket, tokens]] as const) {
                if (bucket !== undefined) {
                    bucket.balance -= units;
                }
            }
            return ok({
                refundUnusedTokens: generatedTokens => {
                    if (tokenBucket !== undefined) {
                        tokenBucket.bucket.balance += Math.max(0, tokens - generatedTokens);
                    }
                },
            });
        },
    };
};
