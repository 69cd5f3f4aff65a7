/**
 * A request that crashes upstreams costs at most two of them; requests that ran beside it are served.
 */
import { expect } from "chai";
import fc from "fast-check";
import { quarantineMilliseconds } from "../src/coordination/quarantineRegistry.js";
import { type CrashFleet, crashFleet } from "./support/crashFleet.js";

const crashesOf = ({ upstreams }: CrashFleet, digest: string): number =>
    upstreams.flatMap(({ crashes }) => crashes).filter(digests => digests.includes(digest)).length;

const totalCrashes = ({ upstreams }: CrashFleet): number => upstreams.flatMap(({ crashes }) => crashes).length;

/** Returns a list that the answers are added to as they arrive. */
const collectAnswers = (answers: Promise<string>[]): string[] => {
    const collected: string[] = [];
    answers.forEach((answer, index) => void answer.then(text => collected[index] = text));
    return collected;
};

describe("quarantine", () => {
    let fleet: CrashFleet;

    beforeEach(async () => {
        fleet = crashFleet(4);
        await fleet.clock.advance(100);
    });

    afterEach(() => fleet.stop());

    it("serves the other requests and refuses the one that crashed two upstreams, wherever it is resent", async () => {
        fleet.poisonDigests.add("poison");
        const answers = collectAnswers(["bystander 1", "poison", "bystander 2"].map(digest => fleet.send(digest, 0)));
        await fleet.clock.advance(5_000);
        expect(answers).to.deep.equal(["complete", "quarantined", "complete"]);
        expect(totalCrashes(fleet)).to.equal(2);
        expect(fleet.upstreams.flatMap(({ crashes }) => crashes).at(-1)).to.deep.equal(["poison"]);

        const resends = collectAnswers([0, 1, 2, 3].map(first => fleet.send("poison", first)));
        await fleet.clock.advance(1);
        expect(resends).to.deep.equal(Array(4).fill("quarantined"));
        expect(totalCrashes(fleet)).to.equal(2);
    });

    it("waits until an upstream is idle before it runs a suspect on it", async () => {
        fleet.poisonDigests.add("poison");
        const answers = collectAnswers([fleet.send("poison", 0)]);
        await fleet.clock.advance(20);
        [1, 2, 3].forEach(first => void fleet.send(`bystander ${first}`, first));
        await fleet.clock.advance(2_000);

        expect(answers).to.deep.equal(["quarantined"]);
        expect(fleet.upstreams.flatMap(({ crashes }) => crashes)).to.deep.equal([["poison"], ["poison"]]);
    });

    it("quarantines after a single crash on trial when the first crash was never reported", async () => {
        fleet.poisonDigests.add("poison");
        const answers = collectAnswers([fleet.send("poison", 1, true)]);
        await fleet.clock.advance(2_000);

        expect(answers).to.deep.equal(["quarantined"]);
        expect(totalCrashes(fleet)).to.equal(1);
    });

    it("tries a suspect on one upstream at a time, however many entries send it", async () => {
        fleet.poisonDigests.add("poison");
        collectAnswers([fleet.send("poison", 0)]);
        await fleet.clock.advance(40);
        const resends = collectAnswers([0, 1, 2, 3, 0, 1].map(first => fleet.send("poison", first)));
        await fleet.clock.advance(5_000);

        expect(resends).to.deep.equal(Array(6).fill("quarantined"));
        expect(crashesOf(fleet, "poison")).to.equal(2);
    });

    it("clears a request that an operator released or whose suspicion expired", async () => {
        fleet.poisonDigests.add("poison");
        collectAnswers([fleet.send("poison", 0)]);
        await fleet.clock.advance(2_000);
        fleet.poisonDigests.clear();
        const entries = [{ kind: "clear" as const, digest: "poison", by: "operator" }];
        await Promise.all([
            fleet.log.openStream().append({ agent: "operator", entries }, new AbortController().signal),
            fleet.clock.advance(100),
        ]);
        const released = collectAnswers([fleet.send("poison", 3)]);
        await fleet.clock.advance(300);
        expect(released).to.deep.equal(["complete"]);

        fleet.poisonDigests.add("other");
        collectAnswers([fleet.send("other", 0)]);
        await fleet.clock.advance(quarantineMilliseconds + 5_000);
        expect(fleet.upstreams[1]!.quarantineRegistry.verdict("other")).to.equal("clear");
    });

    it("runs no suspect while the log is down, and tries it after the log recovers", async () => {
        fleet.poisonDigests.add("poison");
        fleet.log.isReadable = false;
        fleet.log.nextAppendOutcome = () => "turned-away";
        const answers = collectAnswers([fleet.send("poison", 0), fleet.send("bystander", 0)]);
        await fleet.clock.advance(4_000);
        expect(answers).to.deep.equal(["log-unavailable", "log-unavailable"]);
        expect(totalCrashes(fleet)).to.equal(1);

        fleet.log.isReadable = true;
        fleet.log.nextAppendOutcome = () => "taken";
        await fleet.clock.advance(2_000);
        const resends = collectAnswers([fleet.send("poison", 1), fleet.send("bystander", 2)]);
        await fleet.clock.advance(8_000);
        expect(resends).to.deep.equal(["quarantined", "complete"]);
        expect(totalCrashes(fleet)).to.equal(2);
    });

    it("learns of a crash from a peer when the log cannot be reached", async () => {
        fleet.poisonDigests.add("poison");
        fleet.log.nextAppendOutcome = () => "lost";
        collectAnswers([fleet.send("poison", 0)]);
        await fleet.clock.advance(50);
        const [first, second] = [fleet.upstreams[0]!.quarantineRegistry, fleet.upstreams[1]!.quarantineRegistry];
        expect(second.verdict("poison")).to.equal("clear");
        second.topic.accept(first.topic.newerThan(second.topic.digest(), 10_000));
        expect(second.verdict("poison")).to.equal("suspect");
    });

    it("loses at most two upstreams and serves all others in 200 seeded mixes with log faults", async () => {
        const request = fc.record({
            at: fc.integer({ min: 0, max: 400 }),
            bystander: fc.integer({ min: 0, max: 5 }),
            first: fc.integer({ min: 0, max: 3 }),
        });
        const mix = fc.record({
            bystanders: fc.array(request, { maxLength: 8 }),
            poisonFirst: fc.integer({ min: 0, max: 3 }),
            resends: fc.array(fc.integer({ min: 0, max: 3 }), { maxLength: 5 }),
            appendMilliseconds: fc.constantFrom(2, 20, 200),
            appendOutcomes: fc.array(fc.constantFrom("taken" as const, "taken" as const, "answer-lost" as const), {
                maxLength: 10,
            }),
        });
        await fc.assert(
            fc.asyncProperty(mix, async drawn => {
                const mixedFleet = crashFleet(4);
                mixedFleet.poisonDigests.add("poison");
                mixedFleet.log.appendLatencyMilliseconds = () => drawn.appendMilliseconds;
                await mixedFleet.clock.advance(300);
                const outcomes = [...drawn.appendOutcomes];
                mixedFleet.log.nextAppendOutcome = () => outcomes.shift() ?? "taken";
                const answers = collectAnswers([
                    mixedFleet.send("poison", drawn.poisonFirst),
                    ...drawn.bystanders.map(async ({ at, bystander, first }) => {
                        await mixedFleet.clock.sleep(at, new AbortController().signal);
                        return mixedFleet.send(`bystander ${bystander}`, first);
                    }),
                ]);
                // The caller resends once it has its answer, through any entry.
                await mixedFleet.clock.advance(10_500);
                const resends = collectAnswers(drawn.resends.map(first => mixedFleet.send("poison", first)));
                await mixedFleet.clock.advance(10_500);
                mixedFleet.stop();

                expect(crashesOf(mixedFleet, "poison")).to.be.at.most(2);
                expect(answers.slice(1).every(answer => answer === "complete"), answers.join()).to.equal(true);
                expect(resends.every(answer => answer === "quarantined"), resends.join()).to.equal(true);
            }),
            { seed: 20_300_103, numRuns: 200 },
        );
    });
});
