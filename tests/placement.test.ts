/**
 * Guards against uneven steps, needless weight transfers, invalid maps, and plans that differ for the same input.
 */
import { expect } from "chai";
import fc from "fast-check";
import { makeTrace } from "../src/bench/skewTrace.js";
import { emptyEstimate, groupLoadOf, updateEstimate } from "../src/coordination/expertLoad.js";
import { defaultPlacementSettings, planPlacement, stalledRanks } from "../src/coordination/mapPlanner.js";
import {
    type ExpertMap,
    type GroupLoad,
    invalidMapReason,
    stepSkew,
    stepTime,
    uniformMap,
} from "../src/state/expertMap.js";

const shape = { ranks: 8, layers: 3, experts: 16, slotsPerRank: 3 };

const skewedLoad = (seed: number, second = 0): GroupLoad => {
    const truth = makeTrace(shape, "slow-drift", second + 1, seed).seconds[second]!;
    return { layers: truth.popularity, speeds: truth.speeds };
};

/** Applies ten plans in a row, after which the planner keeps the map. */
const settle = (start: ExpertMap, load: GroupLoad): ExpertMap => {
    let map = start;
    for (let round = 0; round < 10; round++) {
        map = planPlacement(map, load).map;
    }
    return map;
};

describe("map planner", () => {
    it("balances a skewed group and then keeps the map", () => {
        const load = skewedLoad(1);
        expect(stepSkew(uniformMap(shape), load)).to.be.above(1.4);
        const settled = settle(uniformMap(shape), load);
        expect(stepSkew(settled, load)).to.be.below(1.05);
        expect(planPlacement(settled, load).kind).to.equal("keep");
    });

    it("returns the same plan for the same input", () => {
        const load = skewedLoad(2);
        expect(planPlacement(uniformMap(shape), load)).to.deep.equal(planPlacement(uniformMap(shape), load));
    });

    it("plans only valid maps for any load and any speeds", () => {
        const load = fc.record({
            layers: fc.array(
                fc.array(fc.double({ min: 0, max: 1, noNaN: true }), { minLength: 16, maxLength: 16 }),
                { minLength: 3, maxLength: 3 },
            ),
            speeds: fc.array(fc.constantFrom(0, 0.3, 1, 1, 1, 1.2), { minLength: 8, maxLength: 8 }),
        });
        fc.assert(
            fc.property(load, sample => {
                const plan = planPlacement(uniformMap(shape), sample);
                expect(invalidMapReason(plan.map, shape.ranks)).to.equal(undefined);
                expect(stepTime(plan.map, sample).slowest).to.be.most(stepTime(uniformMap(shape), sample).slowest);
                expect(plan.moves).to.have.length.most(
                    shape.layers * defaultPlacementSettings.maximumMovesPerLayer + 8,
                );
            }),
            { seed: 7, numRuns: 150 },
        );
    });

    it("transfers nothing if transfers cost more than the step time they save", () => {
        const slowStore = { ...defaultPlacementSettings, storeBytesPerSecond: 1e3 };
        const plan = planPlacement(uniformMap(shape), skewedLoad(3), slowStore);
        expect(plan.kind).to.equal("shares");
        expect(plan.bytes).to.equal(0);
    });

    it("gives a slow rank less load, and unloads a stalled rank, which gets no new sequences", () => {
        const load = skewedLoad(4);
        const tokensOf = (map: ExpertMap, rank: number): number =>
            map.layers.reduce(
                (sum, layer, index) =>
                    sum + layer[rank]!.reduce((part, slot) => part + slot.share * load.layers[index]![slot.expert]!, 0),
                0,
            );
        const level = shape.layers / shape.ranks;
        const slow = settle(uniformMap(shape), { ...load, speeds: [0.5, 1, 1, 1, 1, 1, 1, 1] });
        expect(tokensOf(slow, 0)).to.be.within(0.4 * level, 0.65 * level);
        const stalledSpeeds = [0, 1, 1, 1, 1, 1, 1, 1];
        const stalled = settle(uniformMap(shape), { ...load, speeds: stalledSpeeds });
        expect(tokensOf(stalled, 0)).to.be.below(0.01 * level);
        expect(stalledRanks(stalledSpeeds)).to.deep.equal([0]);
    });

    it("replicates a hot expert to a slower rank if the faster ones have no replaceable slot", () => {
        const slotsOf = (...experts: number[]) => experts.map(expert => ({ expert, share: expert === 7 ? 0.5 : 1 }));
        const layer = [slotsOf(0, 7), slotsOf(1, 2), slotsOf(3, 4), slotsOf(5, 6), slotsOf(7, 8)];
        const light = 0.25 / 6;
        const load = { layers: [[0.5, light, light, light, light, light, light, 0.15, 0.1]], speeds: [1, 1, 1, 1, 1] };
        const plan = planPlacement({ experts: 9, slotsPerRank: 2, layers: [layer] }, load);
        expect(plan.moves).to.deep.include({ layer: 0, rank: 4, expert: 0, replaces: 7 });
        expect(stepTime(plan.map, load).slowest).to.be.below(0.4);
    });

    it("balances a map without spare slots by exchanging experts", () => {
        const withoutSpareSlots = { ...shape, slotsPerRank: 2 };
        const load = skewedLoad(6);
        const after = settle(uniformMap(withoutSpareSlots), load);
        expect(invalidMapReason(after, withoutSpareSlots.ranks)).to.equal(undefined);
        // Without replicas, no placement is faster than the hottest expert together with the coldest one on a rank.
        const bounds = load.layers.map(loads => withoutSpareSlots.ranks * (Math.max(...loads) + Math.min(...loads)));
        const bound = bounds.reduce((sum, value) => sum + value, 0) / bounds.length;
        expect(stepSkew(uniformMap(withoutSpareSlots), load)).to.be.above(1.1 * bound);
        expect(stepSkew(after, load)).to.be.below(1.02 * bound);
    });
});

describe("expert load estimate", () => {
    const report = (rank: number, interval: number, counts: number[]) => ({
        rank,
        interval,
        counts: [counts],
        processedTokens: 1000,
        busyMilliseconds: rank === 1 ? 20 : 10,
    });

    it("treats a missing report as unknown, not as idle", () => {
        const whole = updateEstimate(emptyEstimate(3), [0, 1, 2].map(rank => report(rank, 0, [300, 100])));
        const gap = updateEstimate(whole, [report(0, 1, [300, 100])]);
        expect(gap.popularity[0]![0]).to.be.closeTo(0.75, 1e-9);
        expect(groupLoadOf(gap).speeds).to.deep.equal([1, 0.5, 1]);
    });

    it("follows a sudden shift at once, and averages out sampling noise", () => {
        const calm = updateEstimate(emptyEstimate(3), [report(0, 0, [50_000, 50_000])]);
        const noisy = updateEstimate(calm, [report(0, 1, [50_200, 49_800])]);
        expect(noisy.popularity[0]![0]).to.be.within(0.5, 0.501);
        const changed = updateEstimate(noisy, [report(0, 2, [90_000, 10_000])]);
        expect(changed.popularity[0]![0]).to.equal(0.9);
    });
});
