/**
 * Idempotency keys with a chosen time and number.
 */
import { v7 } from "uuid";

/** A UUID of version 7 made at `time`; equal arguments give the same key. */
export const keyAt = (time: number, number = 0): string =>
    v7({ msecs: time, seq: 0, random: new Uint8Array(16).fill(number, 15) });
