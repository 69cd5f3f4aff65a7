/**
 * Idempotency keys: UUIDs of version 7, whose first 48 bits are the time at which the caller made the key.
 */
import { validate, version } from "uuid";

const timestampHexDigits = 12;

/** Gives the one spelling of `key` under which it is claimed, or `undefined` if it is not a UUID of version 7. */
export const normalizeIdempotencyKey = (key: string): string | undefined => {
    // Letter case does not tell two UUIDs apart, so it must not tell two claims apart either.
    const normalized = key.trim().toLowerCase();
    return validate(normalized) && version(normalized) === 7 ? normalized : undefined;
};

/** When a normalized key was made, in milliseconds since the epoch. */
export const idempotencyKeyTime = (key: string): number =>
    parseInt(key.replace("-", "").slice(0, timestampHexDigits), 16);
