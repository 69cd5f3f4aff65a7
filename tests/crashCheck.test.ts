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

    it("takes a broken answer for a cut while the engine lives on in its incarnation", async () => {
        expect(await check(loadOf("first"))).to.equal("cut");
    });

    it("confirms the crash of an engine that is gone or has started anew", async () => {
        expect(await check(undefined)).to.equal("crashed");
        expect(await check(loadOf("second"))).to.equal("crashed");
    });
});
