import { expect } from "chai";
import { err, ok } from "neverthrow";
import { confirmCrash } from "../src/coordination/crashCheck.js";
import type { EngineLoad, UpstreamFailure } from "../src/coordination/upstreamClients.js";

describe("crash check", () => {
    const broken: UpstreamFailure = { kind: "crashed", reason: "other side closed" };
    const loadOf = (incarnation: string): EngineLoad => ({
        running: 0,
        waiting: 0,
        tokensPerSecond: 0,
        stepMilliseconds: 20,
        formation: 1,
        incarnation,
        takenAt: 0,
    });
    const check = async (answer: EngineLoad | undefined): Promise<string> => {
        const load = async () => answer === undefined ? err<EngineLoad, UpstreamFailure>(broken) : ok(answer);
        return (await confirmCrash({ load }, broken, "first", new AbortController().signal)).kind;
    };

    it("reports a cut when the engine still runs in the same incarnation", async () => {
        expect(await check(loadOf("first"))).to.equal("cut");
    });

    it("confirms a crash when the engine does not answer or has restarted", async () => {
        expect(await check(undefined)).to.equal("crashed");
        expect(await check(loadOf("second"))).to.equal("crashed");
    });
});
