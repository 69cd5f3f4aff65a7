/**
 * Seeded uniform random numbers in [0, 1) from the mulberry32 generator.
 */
import { createHash } from "node:crypto";
import type { RandomNumber } from "../../src/state/types.js";

export const seededRandom = (seed: number): RandomNumber => {
    let state = seed >>> 0;
    return () => {
        state = (state + 0x6D2B79F5) >>> 0;
        let mixed = Math.imul(state ^ (state >>> 15), state | 1);
        mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
        return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
    };
};

/** Random numbers that depend on `name` only, so that what one actor draws doesn't depend on the order of the others. */
export const namedRandom = (name: string): RandomNumber =>
    seededRandom(createHash("sha256").update(name).digest().readUInt32BE());
