/**
 * Holds client accounts to their limits at one entry, without a call on the request path.
 *
 * Each limit is a token bucket that fills at this entry's share of it. A request is charged with all tokens that it can
 * generate, and gets back those it did not; a request larger than the bucket may start when the bucket is full and
 * leaves a debt.
 */
import { err, ok, type Result } from "neverthrow";
import type { Clock } from "../state/types.js";
import type { AccountShares } from "./accountShares.js";

/** What a request draws on. */
export type LimitedUnit = "requests" | "tokens";

/** A granted request. */
export type Grant = {
    /** Gives back the tokens that the request did not generate. */
    settle: (generatedTokens: number) => void;
};

export type OverLimit = { unit: LimitedUnit; retryAfterMilliseconds: number; };

export type AccountLimits = {
    /** Grants one request of at most `tokens` tokens (0 for a plain service), or tells when the account may come back. */
    admit: (clientAccount: string, tokens: number) => Result<Grant, OverLimit>;
};

/** Name under which the shares know one limit of an account. */
export const limitName = (unit: LimitedUnit, clientAccount: string): string => `${unit}/${clientAccount}`;

/** The unit and the account of a limit's name. */
export const parseLimitName = (name: string): { unit: LimitedUnit; clientAccount: string; } => {
    const separator = name.indexOf("/");
    return {
        unit: name.slice(0, separator) === "tokens" ? "tokens" : "requests",
        clientAccount: name.slice(separator + 1),
    };
};

type Bucket = { balance: number; filledAt: number; };

/** A full bucket holds what its share gives in this time. */
const burstSeconds = 0.75;

/** Buckets that have been full for long are dropped when there are more than this. */
const bucketsKept = 10_000;

export const createAccountLimits = (clock: Pick<Clock, "now">, shares: AccountShares): AccountLimits => {
    const buckets = new Map<string, Bucket>();

    const dropFullBuckets = (): void => {
        for (const [name, { filledAt }] of buckets) {
            if (clock.now() - filledAt > burstSeconds * 1_000) {
                buckets.delete(name);
            }
        }
    };

    const fill = (name: string, share: number): { bucket: Bucket; size: number; } => {
        const now = clock.now();
        const size = Math.max(1, share * burstSeconds);
        const bucket = buckets.get(name) ?? { balance: size, filledAt: now };
        bucket.balance = Math.min(size, bucket.balance + share * (now - bucket.filledAt) / 1_000);
        bucket.filledAt = now;
        buckets.set(name, bucket);
        if (buckets.size > bucketsKept) {
            dropFullBuckets();
        }
        return { bucket, size };
    };

    /** Time in milliseconds until the bucket can grant `units`; 0 when it can now, undefined without a limit. */
    const wait = (name: string, units: number): { milliseconds: number; bucket: Bucket; } | undefined => {
        shares.recordDemand(name, units);
        const share = shares.share(name);
        if (share === undefined) {
            return undefined;
        }
        const { bucket, size } = fill(name, share);
        const missing = Math.min(units, size) - bucket.balance;
        return { milliseconds: missing <= 0 ? 0 : missing * 1_000 / share, bucket };
    };

    return {
        admit: (clientAccount, tokens) => {
            const requests = wait(limitName("requests", clientAccount), 1);
            const generated = tokens === 0 ? undefined : wait(limitName("tokens", clientAccount), tokens);
            const requestWait = requests?.milliseconds ?? 0;
            const tokenWait = generated?.milliseconds ?? 0;
            if (requestWait > 0 || tokenWait > 0) {
                return err({
                    unit: requestWait >= tokenWait ? "requests" : "tokens",
                    retryAfterMilliseconds: Math.max(requestWait, tokenWait),
                });
            }
            for (const [bucket, units] of [[requests?.bucket, 1], [generated?.bucket, tokens]] as const) {
                if (bucket !== undefined) {
                    bucket.balance -= units;
                }
            }
            return ok({
                settle: generatedTokens => {
                    if (generated !== undefined) {
                        generated.bucket.balance += Math.max(0, tokens - generatedTokens);
                    }
                },
            });
        },
    };
};
