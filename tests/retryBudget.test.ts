import { expect } from "chai";
import { createRetryBudget } from "../src/coordination/retryBudget.js";
import { virtualClock } from "./support/virtualClock.js";

const takeAll = (take: () => boolean): number => {
    let taken = 0;
    while (take()) {
        taken += 1;
    }
    return taken;
};

describe("retry budget", () => {
    it("allows the ratio of retries per request in addition to its reserve", () => {
        const budget = createRetryBudget(virtualClock(), () => 0.125);
        expect(takeAll(budget.takeRetry)).to.equal(10);
        for (let request = 0; request < 80; request += 1) {
            budget.recordRequest();
        }
        expect(takeAll(budget.takeRetry)).to.equal(10);
    });

    it("refills its reserve with time, but not beyond it", () => {
        const clock = virtualClock();
        const budget = createRetryBudget(clock, () => 0.1);
        takeAll(budget.takeRetry);
        clock.advance(3_000);
        expect(takeAll(budget.takeRetry)).to.equal(3);
        clock.advance(3_600_000);
        expect(takeAll(budget.takeRetry)).to.equal(10);
    });

    it("accumulates at most a hundred retries", () => {
        const budget = createRetryBudget(virtualClock(), () => 0.1);
        for (let request = 0; request < 10_000; request += 1) {
            budget.recordRequest();
        }
        expect(takeAll(budget.takeRetry)).to.equal(100);
    });
});
