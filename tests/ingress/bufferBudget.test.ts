/**
 * Decisions of the budget for what an entry holds, without a network.
 */
import { expect } from "chai";
import {
    budgetLimitBytes,
    type BufferBudget,
    type BufferReader,
    createBufferBudget,
    type HeldBytes,
} from "../../src/coordination/ingress/bufferBudget.js";

const limitBytes = 10_000_000;
const percent = limitBytes / 100;

describe("the budget for what an entry holds", () => {
    let now: number;
    let budget: BufferBudget;
    let ended: string[];
    let readAhead: string[];

    beforeEach(() => {
        now = 100_000;
        ended = [];
        readAhead = [];
        budget = createBufferBudget({
            limitBytes,
            clock: { now: () => now },
            random: () => 0.5,
            onRefusingChange: () => undefined,
        });
    });

    const addReader = (name: string, bytes: number, fields: Partial<BufferReader> = {}): HeldBytes => {
        const account = budget.open();
        account.add(bytes);
        const since = now;
        budget.addReader({
            kind: "caller",
            heldBytes: account.bytes,
            lastProgressAt: () => since,
            heldBackSince: () => undefined,
            dueAt: () => Infinity,
            readAhead: () => readAhead.push(name),
            end: () => {
                ended.push(name);
                account.close();
            },
            ...fields,
        });
        return account;
    };

    it("leaves room for what a process needs besides, and at least 8 MB", () => {
        expect(budgetLimitBytes(250)).to.equal(45_500_000);
        expect(budgetLimitBytes(202)).to.be.closeTo(28_700_000, 1);
        expect(budgetLimitBytes(64)).to.equal(8_000_000);
    });

    it("ends no reader, however slow, while there is room", () => {
        addReader("stopped", 40 * percent);
        now += 60_000;
        budget.check();
        expect(ended).to.deep.equal([]);
        expect(budget.admits(percent)).to.equal(true);
    });

    it("ends the slowest readers first, and no more than needed", () => {
        for (const name of ["a", "b", "c"]) {
            addReader(name, 20 * percent);
            now += 1_000;
        }
        addReader("reading", 18 * percent, { lastProgressAt: () => now });
        now += 1_500;
        budget.check();
        expect(ended).to.deep.equal(["a"]);
    });

    it("ends a reader that makes progress only if the limit is all but reached", () => {
        const reading = addReader("reading", 90 * percent, { lastProgressAt: () => now });
        budget.check();
        expect(ended).to.deep.equal([]);
        reading.add(8 * percent);
        now += 100;
        budget.check();
        expect(ended).to.deep.equal(["reading"]);
    });

    it("refuses new requests while it is nearly spent, and takes them again with some distance", () => {
        const held = budget.open();
        held.add(86 * percent);
        budget.check();
        expect(budget.admits(0)).to.equal(false);
        expect(budget.suggestedRetryMilliseconds()).to.equal(1_000);
        held.add(-6 * percent);
        budget.check();
        expect(budget.admits(0)).to.equal(false);
        held.add(-6 * percent);
        budget.check();
        expect(budget.admits(0)).to.equal(true);
        expect(budget.admits(20 * percent)).to.equal(false);
        expect(held.fits(27 * percent)).to.equal(false);
        expect(held.wasExceeded()).to.equal(true);
    });

    it("reads an answer ahead before its server would cut it, if there is room", () => {
        const since = now;
        addReader("held back", 10 * percent, { heldBackSince: () => since });
        now += 1_900;
        budget.check();
        expect(readAhead).to.deep.equal([]);
        now += 100;
        budget.check();
        expect(readAhead).to.deep.equal(["held back"]);
        expect(ended).to.deep.equal([]);
    });

    it("makes room by ending slower readers for an answer that is to be read ahead", () => {
        const since = now;
        addReader("stopped", 40 * percent, { heldBackSince: () => since });
        addReader("slow", 30 * percent, { heldBackSince: () => since, lastProgressAt: () => now - 300 });
        now += 2_000;
        budget.check();
        expect(ended).to.deep.equal(["stopped"]);
        expect(readAhead).to.deep.equal(["slow"]);
    });

    it("ends a caller that has stopped reading an overdue answer, and not one that reads on", () => {
        const dueAt = now + 2_000;
        addReader("stopped", percent, { dueAt: () => dueAt });
        addReader("reading", percent, { dueAt: () => dueAt, lastProgressAt: () => now - 1_000 });
        now += 4_900;
        budget.check();
        expect(ended).to.deep.equal([]);
        now += 100;
        budget.check();
        expect(ended).to.deep.equal(["stopped"]);
    });

    it("counts what is measured, until the holder is closed", () => {
        const held = budget.open();
        held.addGauge(() => 5 * percent);
        held.add(percent);
        budget.check();
        expect(budget.state().heldBytes).to.equal(6 * percent);
        held.close();
        held.add(percent);
        expect(budget.state().heldBytes).to.equal(0);
    });
});
