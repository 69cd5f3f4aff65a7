/**
 * Explores the models of the map switch exhaustively: no step runs on two maps, every state can converge on one map,
 * and no commit is accepted that a rank is not prepared for. Each broken variant of the rules must be detected.
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
            const { states, violations, deadlocked } = exploreMapSwitch(switchRules, size);
            expect(states).to.be.above(2_500);
            expect({ violations, deadlocked }).to.deep.equal({ violations: 0, deadlocked: 0 });
        });
    }

    // Counting promises of former formations fails only if an agent has lost its state; the other variants fail without
    // that.
    for (const [name, rules] of Object.entries(brokenSwitchRules)) {
        it(`detects ${name}`, () => {
            const [commits, agentRestarts] = rules.countsFormerPromises ? [1, 1] : [2, 0];
            const size = { ranks: 2, steps: 2, commits, rankRestarts: 1, agentRestarts };
            expect(exploreMapSwitch(rules, size).violations).to.be.above(0);
        });
    }
});

describe("specification of map commits", () => {
    const size = { ranks: 3, coordinators: 2, restarts: 1, agentRestarts: 1 };

    it("accepts no commit that a rank is not prepared for", () => {
        const { states, violations } = exploreMapCommit(commitRules, size);
        expect(states).to.be.above(3_000);
        expect(violations).to.equal(0);
    });

    for (const [name, rules] of Object.entries(brokenCommitRules)) {
        it(`detects ${name}`, () => {
            expect(exploreMapCommit(rules, { ...size, ranks: 2 }).violations).to.be.above(0);
        });
    }
});
