/**
 * Exhaustive exploration of the map switch: no step on two maps, a way to one map everywhere from each state, and no
 * commit that a rank is not prepared for; and every broken variant is found out.
 */
import { expect } from "chai";
import { brokenCommitRules, commitRules, exploreMapCommit } from "../spec/mapCommit.js";
import { brokenSwitchRules, exploreMapSwitch, switchRules, type SwitchSize } from "../spec/mapSwitch.js";

const sizes: SwitchSize[] = [
    { ranks: 2, steps: 3, commits: 2, rankRestarts: 1, agentRestarts: 0 },
    { ranks: 2, steps: 2, commits: 1, rankRestarts: 1, agentRestarts: 1 },
    { ranks: 3, steps: 2, commits: 1, rankRestarts: 0, agentRestarts: 0 },
];

describe("specification of the map switch", () => {
    for (const size of sizes) {
        it(`holds with ${JSON.stringify(size)}`, () => {
            const { states, violations, deadlocked: stuck } = exploreMapSwitch(switchRules, size);
            expect(states).to.be.above(2_500);
            expect({ violations, stuck }).to.deep.equal({ violations: 0, stuck: 0 });
        });
    }

    // The outlived promise needs an agent that forgot; the others show without one.
    for (const [name, rules] of Object.entries(brokenSwitchRules)) {
        it(`finds out ${name}`, () => {
            const [commits, agentRestarts] = rules.countsFormerPromises ? [1, 1] : [2, 0];
            const size = { ranks: 2, steps: 2, commits, rankRestarts: 1, agentRestarts };
            expect(exploreMapSwitch(rules, size).violations).to.be.above(0);
        });
    }
});

describe("specification of map commits", () => {
    const size = { ranks: 3, coordinators: 2, restarts: 1, agentRestarts: 1 };

    it("lets no commit through that a rank is not prepared for", () => {
        const { states, violations } = exploreMapCommit(commitRules, size);
        expect(states).to.be.above(3_000);
        expect(violations).to.equal(0);
    });

    for (const [name, rules] of Object.entries(brokenCommitRules)) {
        it(`finds out ${name}`, () => {
            expect(exploreMapCommit(rules, { ...size, ranks: 2 }).violations).to.be.above(0);
        });
    }
});
