import { expect } from "chai";
import { createLoadSamples } from "../../src/coordination/experts/loadSamples.js";
import type { ExpertPlacement } from "../../src/coordination/experts/rankEngine.js";
import { planFromSamples, roundRobinPlacement } from "../../src/coordination/experts/sampledPlacement.js";
import { seededRandom } from "../support/random.js";

const shape = { layers: 3, experts: 64, placesPerRank: 11, newPerMap: 4, loadMilliseconds: 100 };
const ranks = 8;
const limits = { maximumCopiesPerRank: 8, minimumRelativeGain: 0.01 };

/** Samples of steps with few requests, whose demand varies around a common popularity. */
const samplesOf = (seed: number, count: number): number[][] => {
    const random = seededRandom(seed);
    const popular = Array.from({ length: shape.layers * shape.experts }, () => 1 / (1 + random() * 30));
    return Array.from({ length: count }, () => popular.map(share => share * 100 * (0.3 + random() * 1.4)));
};

const holdersOf = (layer: number[][], expert: number): number => layer.filter(held => held.includes(expert)).length;

const expectValid = (before: ExpertPlacement, after: ExpertPlacement): void => {
    after.forEach((layer, index) => {
        for (let expert = 0; expert < shape.experts; expert += 1) {
            expect(holdersOf(layer, expert), `ranks with expert ${expert} of layer ${index}`).to.be.at.least(1);
        }
        layer.forEach((held, rank) => {
            const added = held.filter(expert => before[index]?.[rank]?.includes(expert) !== true);
            expect(held.length).to.be.at.most(shape.placesPerRank);
            expect(new Set(held).size).to.equal(held.length);
            expect(added.length).to.be.at.most(shape.newPerMap);
        });
    });
};

describe("placement from samples", () => {
    it("lowers the skew of the sampled steps within the limits of a map, over several maps in a row", () => {
        let present = roundRobinPlacement(shape, ranks);
        for (let seed = 1; seed <= 6; seed += 1) {
            const plan = planFromSamples(present, samplesOf(seed, 6), shape, limits);
            expectValid(present, plan.map);
            expect(plan.skewPlanned).to.be.lessThan(plan.skewNow);
            expect(plan.largestCopiesOnOneRank).to.be.at.most(limits.maximumCopiesPerRank);
            present = plan.map;
        }
    });

    it("keeps the map if the demand is even", () => {
        const even = [new Array<number>(shape.layers * shape.experts).fill(10)];
        const present = roundRobinPlacement(shape, ranks);
        const plan = planFromSamples(present, even, shape, limits);
        expect(plan.copies).to.equal(0);
        expect(plan.map).to.deep.equal(present);
    });

    it("returns the same plan for the same input", () => {
        const present = roundRobinPlacement(shape, ranks);
        const first = planFromSamples(present, samplesOf(3, 5), shape, limits);
        expect(planFromSamples(present, samplesOf(3, 5), shape, limits)).to.deep.equal(first);
    });
});

describe("load samples", () => {
    it("aligns counts that were read at different steps to common windows", () => {
        const samples = createLoadSamples(2);
        samples.add({ rank: 0, step: 0, counts: [0, 0] });
        samples.add({ rank: 0, step: 10, counts: [100, 0] });
        samples.add({ rank: 1, step: 1, counts: [0, 10] });
        samples.add({ rank: 1, step: 9, counts: [0, 90] });
        const taken = samples.samples();
        expect(taken).to.have.length(2);
        taken.forEach(sample => expect(sample).to.deep.equal([40, 40]));
    });

    it("returns no samples before every rank has two readings", () => {
        const samples = createLoadSamples(2);
        samples.add({ rank: 0, step: 0, counts: [0] });
        samples.add({ rank: 0, step: 10, counts: [5] });
        samples.add({ rank: 1, step: 10, counts: [5] });
        expect(samples.samples()).to.deep.equal([]);
    });
});
