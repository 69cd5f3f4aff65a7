import { expect } from "chai";
import { createDispatcher, requestCompletion } from "../src/bench/completionClient.js";
import { PathMetrics } from "../src/bench/completionLoad.js";
import { poissonArrivals, seededRandom } from "../src/bench/randomNumbers.js";
import { formatTable, identifyRun, meetsTarget } from "../src/bench/report.js";
import { drawChart } from "../src/bench/svgChart.js";
import { startEngine } from "../src/standin/modelEngine.js";
import { systemClock } from "../src/transport/systemClock.js";

describe("bench", () => {
    it("plans the same arrivals for the same seed, at the requested rate", () => {
        const plan = (seed: number) => poissonArrivals(50, 100, seededRandom(seed));
        expect(plan(7)).to.deep.equal(plan(7));
        expect(plan(7)).to.not.deep.equal(plan(8));
        expect(plan(7).length).to.be.within(4_700, 5_300);
    });

    it("measures the latency of a response from the planned start of its request", () => {
        const measures = new PathMetrics("entry");
        const late = { outcome: "whole", firstTokenAt: 5_000, endedAt: 6_000, longestGapMilliseconds: 10, tokens: 2 };
        measures.recordResult({ end: "whole", ...late }, 1_000, 0);
        expect(measures.firstToken.percentile(50)).to.be.closeTo(4_000, 5);
        expect(measures.fullResponse.percentile(50)).to.be.closeTo(5_000, 5);
        expect(measures.firstTokenSeries().points[1]?.[1]).to.be.closeTo(4_000, 5);
    });

    it("distinguishes a complete response from a truncated one", async () => {
        const stop = new AbortController();
        const { addresses: [address = ""], group } = await startEngine({
            listen: "127.0.0.1:0",
            ranks: 1,
            stepMilliseconds: 1,
            capacity: 4,
            coldCapacity: 4,
            warmAfterTokens: 1,
            coldGraceSteps: 0,
            restartMilliseconds: 1,
            checksFence: false,
            startsWarm: true,
            engineId: "engine",
            clock: systemClock,
            signal: stop.signal,
        });
        const dispatcher = createDispatcher();
        const call = () =>
            requestCompletion(
                { kind: "engine", address },
                { requestId: "r", prompt: "p", maximumTokens: 5 },
                dispatcher,
                stop.signal,
                () => undefined,
            );
        expect((await call()).end).to.equal("whole");
        group.rankRuntimes[0]!.rank.faults.cutStreamAfterTokens = 2;
        expect((await call()).end).to.equal("broken");
        await dispatcher.destroy();
        stop.abort();
    });

    it("marks missed targets in the table and shows the values of an earlier run", () => {
        const run = identifyRun("load", 1, "abc", {});
        const row = (value: number) => ({
            name: "added",
            value,
            unit: "ms",
            target: { kind: "at-most" as const, value: 1 },
        });
        const report = { run, rows: [row(2)], charts: [] };
        expect(meetsTarget(row(2))).to.equal(false);
        expect(formatTable(report, { ...report, rows: [row(0.5)] })).to.match(/added +2 +ms +≤ 1 MISSED +0\.500/);
    });

    it("renders all series and marks and escapes their names", () => {
        const svg = drawChart({
            title: "a < b",
            xLabel: "seconds",
            yLabel: "ms",
            series: [{ name: "entry", points: [[0, 1], [1, 2]] }],
            marks: [{ x: 1, name: "out" }],
        });
        expect(svg).to.contain("a &lt; b").and.contain(">entry<").and.contain(">out<");
    });
});
