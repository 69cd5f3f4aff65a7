/**
 * Limits that upstreams state in their responses, and what entries know of them.
 */
import { expect } from "chai";
import { createIngressLog } from "../../src/coordination/ingress/ingressLog.js";
import { createStatedLimits } from "../../src/coordination/ingress/statedLimits.js";
import { steppedClock } from "../support/steppedClock.js";

describe("a limit that an upstream states", () => {
    const upstream = { id: "u", bornAt: 1 };

    const startLimits = () => {
        const clock = steppedClock(0);
        const lines: Record<string, unknown>[] = [];
        const log = createIngressLog((event, fields) => lines.push({ event, ...fields }), clock);
        return { clock, lines, limits: createStatedLimits(clock, log) };
    };

    it("may have fractions, holds for the run that states it, and is logged when it changes", () => {
        const { lines, limits } = startLimits();
        const event = "upstream states a limit";
        ["0.8", "0.8", "1.5"].forEach(stated => limits.record(upstream, stated));
        expect(limits.limitOf(upstream)).to.equal(1.5);
        expect(limits.limitOf({ ...upstream, bornAt: 2 })).to.equal(undefined);
        expect(lines).to.deep.equal([
            { event, id: "u", requestsPerSecond: 0.8, previous: undefined, source: "its response" },
            { event, id: "u", requestsPerSecond: 1.5, previous: 0.8, source: "its response" },
        ]);
    });

    it("ends with a response that states none, but not with one to a request sent before it was stated", async () => {
        const { clock, lines, limits } = startLimits();
        const sentBefore = clock.now();
        await clock.advance(100);
        limits.record(upstream, "2");
        await clock.advance(50);
        limits.recordNone(upstream, sentBefore);
        expect(limits.limitOf(upstream)).to.equal(2);
        limits.recordNone(upstream, clock.now());
        expect(limits.limitOf(upstream)).to.equal(undefined);
        expect(lines.at(-1)).to.deep.include({ event: "upstream limit ended", id: "u", previous: 2 });
    });

    it("is taken from another entry if that heard it later, whatever order the messages come in", async () => {
        const { clock, limits } = startLimits();
        limits.record(upstream, "2");
        await clock.advance(1_000);
        limits.merge({ u: { bornAt: 1, requestsPerSecond: 5, ageMilliseconds: 1_200 } });
        expect(limits.limitOf(upstream)).to.equal(2);
        limits.merge({ u: { bornAt: 1, requestsPerSecond: 3, ageMilliseconds: 400 } });
        expect(limits.limitOf(upstream)).to.equal(3);
        limits.merge({ u: { bornAt: 1, requestsPerSecond: undefined, ageMilliseconds: 100 } });
        expect(limits.limitOf(upstream)).to.equal(undefined);
        limits.merge({ u: { bornAt: 1, requestsPerSecond: 3, ageMilliseconds: 300 } });
        expect(limits.limitOf(upstream)).to.equal(undefined);
    });

    it("is told to other entries for a while by the one that got the response", async () => {
        const { clock, limits } = startLimits();
        limits.record(upstream, "2");
        limits.merge({ v: { bornAt: 7, requestsPerSecond: 3, ageMilliseconds: 0 } });
        await clock.advance(500);
        expect(limits.recentChanges()).to.deep.equal({
            u: { bornAt: 1, requestsPerSecond: 2, ageMilliseconds: 500 },
        });
        await clock.advance(3_000);
        expect(limits.recentChanges()).to.deep.equal({});
    });

    it("is ignored with a log line if it is no number of requests, and keeps the one before", () => {
        const { lines, limits } = startLimits();
        limits.record(upstream, "3");
        ["", "few", "-1", "NaN", "Infinity"].forEach(nonsense => limits.record(upstream, nonsense));
        expect(limits.limitOf(upstream)).to.equal(3);
        expect(lines.filter(({ event }) => event === "limit ignored")).to.have.length(5);
    });
});
