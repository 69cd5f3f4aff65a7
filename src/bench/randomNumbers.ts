/**
 * Seeded random numbers for traces and experiments, so that a run can be repeated from its seed.
 */
import type { RandomNumber } from "../state/types.js";

/** A small 32-bit generator (mulberry32). */
export const seededRandom = (seed: number): RandomNumber => {
    let state = seed >>> 0;
    return () => {
        state = (state + 0x6d2b79f5) >>> 0;
        let mixed = Math.imul(state ^ (state >>> 15), 1 | state);
        mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed;
        return ((mixed ^ (mixed >>> 14)) >>> 0) / 4294967296;
    };
};

/** A standard normal number (Box–Muller). */
export const normalRandom = (random: RandomNumber): number =>
    Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());

/** The numbers 0 to `count` - 1 in random order. */
export const shuffled = (count: number, random: RandomNumber): number[] => {
    const order = Array.from({ length: count }, (unused, index) => index);
    for (let last = count - 1; last > 0; last--) {
        const other = Math.floor(random() * (last + 1));
        const kept = order[last] as number;
        order[last] = order[other] as number;
        order[other] = kept;
    }
    return order;
};
