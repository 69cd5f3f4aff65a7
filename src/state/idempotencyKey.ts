/**
 * Idempotency keys: UUIDs version 7, whose first 48 bits are the time at which the caller created the key.
 */
import { validate, version } from "uuid";

const timestampHexDigits = 12;

/** Returns the canonical form of `key`, under which it is claimed, or `undefined` if it is not a UUID version 7. */
export const normalizeIdempotencyKey = (key: string): string | undefined => {
    // UUIDs are case-insensitive, so two spellings of one key must not become two claims.
    const normalized = key.trim().toLowerCase();
    return validate(normalized) && version(normalized) === 7 ? normalized : undefined;
};

/** Creation time of a normalized key, in milliseconds since the epoch. */
export const idempotencyKeyTime = (key: string): number =>
    parseInt(key.replace("-", "").slice(0, timestampHexDigits), 16);
