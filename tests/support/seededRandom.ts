/**
 * Random numbers that repeat for a seed (mulberry32).
 */
import type { RandomNumber } from "../../src/state/types.js";

export const seededRandom = (seed: number): RandomNumber => {
    let state = seed >>> 0;
    return () => {
        state = (state + 0x6d2b79f5) >>> 0;
        let mixed = Math.imul(state ^ (state >>> 15), state | 1);
        mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
        return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296;
    };
};
