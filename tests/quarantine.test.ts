/**
 * A request that crashes upstreams costs two of them at most; those that ran beside it are served.
 */
import { expect } from "chai";
import fc from "fast-check";
import { quarantineMilliseconds } from "../src/coordination/quarantineRegistry.js";
import { type CrashFleet, crashFleet } from "./support/crashFleet.js";

const lostTo = ({ upstreams }: CrashFleet, digest: string): number =>
    upstreams.flatMap(({ crashes }) => crashes).filter(digests => digests.includes(digest)).length;

const allCrashes = ({ upstreams }: CrashFleet): number => upstreams.flatMap(({ crashes }) => crashes).length;

/** Sends, and gives the list that the answers come to. */
const gather = (answers: Promise<string>[]): string[] => {
    const gathered: string[] = [];
    answers.forEach((answer, index) => void answer.then(text => gathered[index] = text));
    return gathered;
};

describe("quarantine", () => {
    let fleet: CrashFleet;

    beforeEach(async () => {
        fleet = crashFleet(4);
        await fleet.clock.run(100);
    });

    afterEach(() => fleet.stop());

    it("serves the bystanders of two crashes and refuses the request that caused them, wherever it is resent", async () => {
        fleet.poison.add("poison");
        const answers = gather(["bystander 1", "poison", "bystander 2"].map(digest => fleet.send(digest, 0)));
        await fleet.clock.run(5_000);
        expect(answers).to.deep.equal(["complete", "quarantined", "complete"]);
        expect(allCrashes(fleet)).to.equal(2);
        expect(fleet.upstreams.flatMap(({ crashes }) => crashes).at(-1)).to.deep.equal(["poison"]);

        const resends = gather([0, 1, 2, 3].map(first => fleet.send("poison", first)));
        await fleet.clock.run(1);
        expect(resends).to.deep.equal(Array(4).fill("quarantined"));
        expect(allCrashes(fleet)).to.equal(2);
    });

    it("waits until an upstream is free before it runs a suspect there", async () => {
        fleet.poison.add("poison");
        const answers = gather([fleet.send("poison", 0)]);
        await fleet.clock.run(20);
        [1, 2, 3].forEach(first => void fleet.send(`bystander ${first}`, first));
        await fleet.clock.run(2_000);

        expect(answers).to.deep.equal(["quarantined"]);
        expect(fleet.upstreams.flatMap(({ crashes }) => crashes)).to.deep.equal([["poison"], ["poison"]]);
    });

    it("convicts by the crash on trial alone when the first crash was never told", async () => {
        fleet.poison.add("poison");
        const answers = gather([fleet.send("poison", 1, true)]);
        await fleet.clock.run(2_000);

        expect(answers).to.deep.equal(["quarantined"]);
        expect(allCrashes(fleet)).to.equal(1);
    });

    it("tries a suspect on one upstream at a time, however many entries send it", async () => {
        fleet.poison.add("poison");
        gather([fleet.send("poison", 0)]);
        await fleet.clock.run(40);
        const resends = gather([0, 1, 2, 3, 0, 1].map(first => fleet.send("poison", first)));
        await fleet.clock.run(5_000);

        expect(resends).to.deep.equal(Array(6).fill("quarantined"));
        expect(lostTo(fleet, "poison")).to.equal(2);
    });

    it("lets a request go that an operator released or whose time is up", async () => {
        fleet.poison.add("poison");
        gather([fleet.send("poison", 0)]);
        await fleet.clock.run(2_000);
        fleet.poison.clear();
        const entries = [{ kind: "clear" as const, digest: "poison", by: "operator" }];
        await Promise.all([
            fleet.log.open().append({ agent: "operator", entries }, new AbortController().signal),
            fleet.clock.run(100),
        ]);
        const released = gather([fleet.send("poison", 3)]);
        await fleet.clock.run(300);
        expect(released).to.deep.equal(["complete"]);

        fleet.poison.add("other");
        gather([fleet.send("other", 0)]);
        await fleet.clock.run(quarantineMilliseconds + 5_000);
        expect(fleet.upstreams[1]!.keeper.verdict("other")).to.equal("clear");
    });

    it("runs no suspect while the log is down, and serves it when the log is back", async () => {
        fleet.poison.add("poison");
        fleet.log.readable = false;
        fleet.log.fate = () => "turned-away";
        const answers = gather([fleet.send("poison", 0), fleet.send("bystander", 0)]);
        await fleet.clock.run(4_000);
        expect(answers).to.deep.equal(["log-unavailable", "log-unavailable"]);
        expect(allCrashes(fleet)).to.equal(1);

        fleet.log.readable = true;
        fleet.log.fate = () => "taken";
        await fleet.clock.run(2_000);
        const resends = gather([fleet.send("poison", 1), fleet.send("bystander", 2)]);
        await fleet.clock.run(8_000);
        expect(resends).to.deep.equal(["quarantined", "complete"]);
        expect(allCrashes(fleet)).to.equal(2);
    });

    it("learns of a crash from a peer where the log can't be reached", async () => {
        fleet.poison.add("poison");
        fleet.log.fate = () => "lost";
        gather([fleet.send("poison", 0)]);
        await fleet.clock.run(50);
        const [first, second] = [fleet.upstreams[0]!.keeper, fleet.upstreams[1]!.keeper];
        expect(second.verdict("poison")).to.equal("clear");
        second.topic.accept(first.topic.newerThan(second.topic.digest(), 10_000));
        expect(second.verdict("poison")).to.equal("suspect");
    });

    it("keeps to both bounds in 200 seeded mixes of requests, resends, lost answers and slow logs", async () => {
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
            fates: fc.array(fc.constantFrom("taken" as const, "taken" as const, "answer-lost" as const), {
                maxLength: 10,
            }),
        });
        await fc.assert(
            fc.asyncProperty(mix, async drawn => {
                const mixed = crashFleet(4);
                mixed.poison.add("poison");
                mixed.log.appendMilliseconds = () => drawn.appendMilliseconds;
                await mixed.clock.run(300);
                const fates = [...drawn.fates];
                mixed.log.fate = () => fates.shift() ?? "taken";
                const answers = gather([
                    mixed.send("poison", drawn.poisonFirst),
                    ...drawn.bystanders.map(async ({ at, bystander, first }) => {
                        await mixed.clock.sleep(at, new AbortController().signal);
                        return mixed.send(`bystander ${bystander}`, first);
                    }),
                ]);
                // The caller sends again once it has its answer, through any entry.
                await mixed.clock.run(10_500);
                const resends = gather(drawn.resends.map(first => mixed.send("poison", first)));
                await mixed.clock.run(10_500);
                mixed.stop();

                expect(lostTo(mixed, "poison")).to.be.at.most(2);
                expect(answers.slice(1).every(answer => answer === "complete"), answers.join()).to.equal(true);
                expect(resends.every(answer => answer === "quarantined"), resends.join()).to.equal(true);
            }),
            { seed: 20_300_103, numRuns: 200 },
        );
    });
});
