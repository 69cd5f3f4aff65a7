/**
 * Creates deterministic idempotency keys.
 */
import { v7 } from "uuid";

/** Creates a UUIDv7 with the timestamp `time`, in Unix milliseconds; equal arguments give the same key. */
export const keyAt = (time: number, number = 0): string =>
    v7({ msecs: time, seq: 0, random: Uint8Array.from({ length: 16 }, (unused, index) => index === 15 ? number : 1) });
