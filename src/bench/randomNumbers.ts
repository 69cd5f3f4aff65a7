/** Seeded random numbers, so that a run can be repeated with the same arrivals and choices. */
import type { RandomNumber } from "../state/types.js";

/** The mulberry32 generator: uniform numbers in [0, 1) that depend only on `seed`. */
export const seededRandom = (seed: number): RandomNumber => {
    let state = seed >>> 0;
    return () => {
        state = (state + 0x6d2b79f5) >>> 0;
        let mixed = Math.imul(state ^ (state >>> 15), state | 1);
        mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
        return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296;
    };
};

/** Arrival times, in milliseconds, of a Poisson process with a rate of `perSecond` over `seconds`. */
export const poissonArrivals = (perSecond: number, seconds: number, random: RandomNumber): number[] => {
    const arrivals: number[] = [];
    const meanInterval = 1_000 / perSecond;
    let time = -Math.log(1 - random()) * meanInterval;
    while (time < seconds * 1_000) {
        arrivals.push(time);
        time -= Math.log(1 - random()) * meanInterval;
    }
    return arrivals;
};

/** A normally distributed number with mean 0 and variance 1 (Box–Muller transform). */
export const normalRandom = (random: RandomNumber): number =>
    Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());

/** The numbers from 0 to `count` - 1 in random order (Fisher–Yates shuffle). */
export const shuffled = (count: number, random: RandomNumber): number[] => {
    const order = Array.from({ length: count }, (unused, index) => index);
    for (let last = count - 1; last > 0; last--) {
        const swapIndex = Math.floor(random() * (last + 1));
        const swapped = order[last] as number;
        order[last] = order[swapIndex] as number;
        order[swapIndex] = swapped;
    }
    return order;
};
