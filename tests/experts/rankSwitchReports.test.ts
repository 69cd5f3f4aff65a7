/**
 * How often a coordinator reads the reports of a group's engines, which is charged for.
 */
import { expect } from "chai";
import { ok } from "neverthrow";
import type { RankEngines, RankReport } from "../../src/coordination/experts/rankEngine.js";
import { createRankSwitch } from "../../src/coordination/experts/rankSwitch.js";
import { steppedClock } from "../support/steppedClock.js";

const ranks = 32;
const slowRank = 5;

describe("a coordinator that waits for a map to be loaded", () => {
    it("asks only the ranks that have not loaded it yet", async () => {
        const clock = steppedClock(0);
        const end = new AbortController();
        const reads = new Array<number>(ranks).fill(0);
        const members = [...reads.keys()].map(rank => `engine-${rank}:1`);
        const engines: RankEngines = {
            report: async engine => {
                const rank = members.indexOf(engine);
                reads[rank] = (reads[rank] ?? 0) + 1;
                const report: RankReport = {
                    group: "g",
                    rank,
                    ranks,
                    epoch: 1,
                    isOpen: true,
                    step: 10,
                    mapInForce: 0,
                    prepared: rank === slowRank ? undefined : 7,
                    armed: undefined,
                    held: undefined,
                };
                return ok(report);
            },
            counts: async () => ok({ epoch: 1, step: 10, counts: [] }),
            placedExperts: async () => ok({ version: 0, experts: [] }),
            order: async () => ok("done"),
        };
        const rankSwitch = createRankSwitch({
            engines,
            members: () => members,
            epoch: 1,
            nextVersion: () => 8,
            nextStep: step => step + 3,
            clock,
            prepareMilliseconds: 9_000,
            isColocatedWithRank0: true,
        });
        const outcome = rankSwitch.run(7, [], 100, end.signal);
        await clock.advance(12_000);
        expect(await outcome).to.equal("refused");
        expect(reads[slowRank]).to.be.at.least(20);
        expect(reads.reduce((total, count) => total + count, 0) - (reads[slowRank] ?? 0)).to.be.at.most(2 * ranks);
    });
});
