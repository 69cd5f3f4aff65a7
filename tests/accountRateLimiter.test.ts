import { expect } from "chai";
import fc from "fast-check";
import { createAccountRateLimiter } from "../src/coordination/accountRateLimiter.js";
import { createRateLimitShares, divideByDemand } from "../src/coordination/rateLimitShares.js";
import { seededRandom } from "./support/random.js";
import { createRateLimitZone, peakTenSecondLoad, totalOf } from "./support/rateLimitZone.js";
import { virtualClock } from "./support/virtualClock.js";

const limit = 100;

describe("account rate limits shared by the entries of a zone", () => {
    it("divides a limit by demand and the remainder evenly", () => {
        expect(divideByDemand(90, [30, 0, 0])).to.deep.equal([50, 20, 20]);
        expect(divideByDemand(90, [100, 10, 100])).to.deep.equal([40, 10, 40]);
    });

    it("grants an account that uses a single entry at least 0.9 times its limit, and at most 1.1 times", () => {
        const zone = createRateLimitZone(3, limit);
        const granted = [...zone.run([0, 0, 0], 5), ...zone.run([300, 0, 0], 30)];
        expect(peakTenSecondLoad(granted, limit)).to.be.at.most(1.1);
        expect(totalOf(granted.slice(-100))).to.be.at.least(0.9 * 10 * limit);
    });

    it("follows demand that moves from one entry to another", () => {
        const zone = createRateLimitZone(3, limit);
        const granted = [...zone.run([200, 0, 0], 20), ...zone.run([0, 150, 50], 20)];
        expect(peakTenSecondLoad(granted, limit)).to.be.at.most(1.1);
        expect(totalOf(granted.slice(-100))).to.be.at.least(0.9 * 10 * limit);
    });

    it("refuses no request of an account below its limit whose demand is spread over the entries", () => {
        const zone = createRateLimitZone(3, limit);
        zone.run([30, 25, 25], 10);
        expect(totalOf(zone.run([30, 25, 25], 10))).to.equal(800);
    });

    it("keeps the last share of a partitioned entry, and does not give it to other entries", () => {
        const zone = createRateLimitZone(3, limit);
        zone.run([60, 60, 60], 20);
        zone.isolatedEntries.add(2);
        const before = zone.currentShares()[2]!;
        const granted = zone.run([200, 200, 200], 30);
        expect(zone.currentShares()[2]).to.be.closeTo(before, 1);
        expect(peakTenSecondLoad(granted, limit)).to.be.at.most(1.1);
        expect(totalOf(granted)).to.be.at.least(0.9 * 30 * limit);
    });

    it("stays within 1.1 times the limit over any ten seconds, with lost exchanges and sudden demand changes", () => {
        fc.assert(
            fc.property(
                fc.integer({ min: 2, max: 9 }),
                fc.array(fc.array(fc.integer({ min: 0, max: 120 }), { minLength: 9, maxLength: 9 }), {
                    minLength: 3,
                    maxLength: 6,
                }),
                fc.integer(),
                (entries, phases, seed) => {
                    const random = seededRandom(seed);
                    const zone = createRateLimitZone(entries, limit, () => random() < 0.7);
                    const granted = phases.flatMap(rates => zone.run(rates.slice(0, entries), 6));
                    expect(peakTenSecondLoad(granted, limit)).to.be.at.most(1.1);
                },
            ),
            { seed: 11, numRuns: 25 },
        );
    });

    it("charges a request all tokens that it can generate, and refunds those it did not", () => {
        const clock = virtualClock();
        const limitOf = (name: string) => name === "tokens/portal" ? 1_000 : undefined;
        const limits = createAccountRateLimiter(
            clock,
            createRateLimitShares({ clock, host: "entry-0", members: () => ["entry-0"], limitOf }),
        );
        const grant = limits.admit("portal", 2_000)._unsafeUnwrap();
        expect(limits.admit("portal", 100)._unsafeUnwrapErr()).to.include({ unit: "tokens" });
        grant.refundUnusedTokens(500);
        expect(limits.admit("portal", 100).isOk()).to.equal(true);
        expect(limits.admit("other", 1_000_000).isOk()).to.equal(true);
    });
});
