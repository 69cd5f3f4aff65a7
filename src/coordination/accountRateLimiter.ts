/**
 * Holds client accounts to their limits at one entry, without a call on the request path.
 *
 * Each limit is a token bucket that fills at this entry's share of it. A request is charged with all tokens that it can
 * generate, and gets back those it did not; a request larger than the bucket may start when the bucket is full and
 * leaves a debt.
 */
import { err, ok, type Result } from "neverthrow";
import type { Clock } from "../state/types.js";
import type { RateLimitShares } from "./rateLimitShares.js";

/** What a request draws on. */
export type RateLimitUnit = "requests" | "tokens";

/** A granted request. */
export type RateLimitGrant = {
    /** Gives back the tokens that the request did not generate. */
    refundUnusedTokens: (generatedTokens: number) => void;
};

export type RateLimitExceeded = { unit: RateLimitUnit; retryAfterMilliseconds: number; };

export type AccountRateLimiter = {
    /** Grants one request of at most `tokens` tokens (0 for a plain service), or tells when the account may come back. */
    admit: (clientAccount: string, tokens: number) => Result<RateLimitGrant, RateLimitExceeded>;
};

/** Name under which the shares know one limit of an account. */
export const rateLimitKey = (unit: RateLimitUnit, clientAccount: string): string => `${unit}/${clientAccount}`;

/** The unit and the account of a limit's name. */
export const parseRateLimitKey = (key: string): { unit: RateLimitUnit; clientAccount: string; } => {
    const separator = key.indexOf("/");
    return {
        unit: key.slice(0, separator) === "tokens" ? "tokens" : "requests",
        clientAccount: key.slice(separator + 1),
    };
};

type TokenBucket = { balance: number; refilledAt: number; };

/** A full bucket holds what its share gives in this time. */
const bucketCapacitySeconds = 0.75;

/** Buckets that have been full for long are dropped when there are more than this. */
const bucketsBeforeEviction = 10_000;

export const createAccountRateLimiter = (clock: Pick<Clock, "now">, shares: RateLimitShares): AccountRateLimiter => {
    const buckets = new Map<string, TokenBucket>();

    const evictFullBuckets = (): void => {
        for (const [key, { refilledAt: filledAt }] of buckets) {
            if (clock.now() - filledAt > bucketCapacitySeconds * 1_000) {
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
            evictFullBuckets();
        }
        return { bucket, capacity: capacity };
    };

    /** Time in milliseconds until the bucket can grant `units`; 0 when it can now, undefined without a limit. */
    const timeUntilAvailable = (
        key: string,
        units: number,
    ): { milliseconds: number; bucket: TokenBucket; } | undefined => {
        shares.recordDemand(key, units);
        const share = shares.share(key);
        if (share === undefined) {
            return undefined;
        }
        const { bucket, capacity: capacity } = refill(key, share);
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
