/**
 * Non-idempotent requests run at most once, whatever failures the log and the agents have.
 *
 * Outcomes are checked against the record of runs that the service keeps.
 */
import { expect } from "chai";
import type { ClaimFleet } from "./support/claimFleet.js";
import { claimFleet, outcomeOf, testStartTime, testWindow } from "./support/claimFleet.js";
import type { AppendOutcome } from "./support/faultyLog.js";
import { keyAt } from "./support/idempotencyKeys.js";

const key = keyAt(testStartTime);
const receipt = `receipt 1 for ${key}`;

describe("at most once", () => {
    let fleet: ClaimFleet;

    beforeEach(() => {
        fleet = claimFleet();
    });

    afterEach(() => fleet.stop());

    const setNextAppendOutcomes = (...outcomes: AppendOutcome[]): void => {
        fleet.log.nextAppendOutcome = () => outcomes.shift() ?? "taken";
    };

    it("runs a key once and replays its answer, also through another agent and after a restart", async () => {
        const [one, two] = [fleet.start("one"), fleet.start("two")];
        await fleet.clock.advance(100);
        const sends = [fleet.send(one, key), fleet.send(two, key), fleet.send(one, key.toUpperCase())];
        await fleet.clock.advance(200);
        const restarted = fleet.start("one again");
        await fleet.clock.advance(100);
        sends.push(fleet.send(restarted, key));
        await fleet.clock.advance(100);

        expect(sends.map(outcomeOf)).to.deep.equal([receipt, receipt, receipt, receipt]);
        expect(fleet.runs).to.have.length(1);
    });

    it("runs a request whose claim was appended although the response to the append was lost", async () => {
        const one = fleet.start("one");
        await fleet.clock.advance(100);
        setNextAppendOutcomes("answer-lost");
        const send = fleet.send(one, key);
        await fleet.clock.advance(200);

        expect(outcomeOf(send)).to.equal(receipt);
    });

    it("refuses requests promptly while the log is down, and accepts them again after it recovers", async () => {
        const one = fleet.start("one");
        await fleet.clock.advance(100);
        fleet.log.isReadable = false;
        fleet.log.nextAppendOutcome = () => "turned-away";
        const first = fleet.send(one, key);
        await fleet.clock.advance(600);
        const second = fleet.send(one, keyAt(testStartTime, 2));
        await fleet.clock.advance(1);
        expect([outcomeOf(first), outcomeOf(second)]).to.deep.equal([
            "not-run: log-unavailable",
            "not-run: log-unavailable",
        ]);
        expect(first.completion!.at - testStartTime).to.be.below(600);

        fleet.log.isReadable = true;
        fleet.log.nextAppendOutcome = () => "taken";
        await fleet.clock.advance(2_000);
        const third = fleet.send(one, key);
        await fleet.clock.advance(200);
        expect(outcomeOf(third)).to.equal(receipt);
    });

    it("never runs a refused attempt even if its claim arrives late; another agent may then run the key", async () => {
        const [one, two] = [fleet.start("one"), fleet.start("two")];
        await fleet.clock.advance(100);
        fleet.log.nextAppendOutcome = () => "late";
        const first = fleet.send(one, key, 500);
        await fleet.clock.advance(600);
        expect(outcomeOf(first)).to.equal("not-run: log-unavailable");

        fleet.log.nextAppendOutcome = () => "taken";
        await fleet.clock.advance(10_000);
        expect(fleet.runs).to.deep.equal([]);
        const second = fleet.send(two, key);
        await fleet.clock.advance(200);
        expect(outcomeOf(second)).to.equal(receipt);
    });

    it("runs a request when an append to the log takes two seconds", async () => {
        const one = fleet.start("one");
        await fleet.clock.advance(100);
        fleet.log.appendLatencyMilliseconds = () => 2_000;
        const send = fleet.send(one, key, 5_000);
        await fleet.clock.advance(5_000);

        expect(outcomeOf(send)).to.equal(receipt);
    });

    it("reports unknown, and runs nothing, when the agent dies between its claim and its run", async () => {
        const [one, two] = [fleet.start("one"), fleet.start("two")];
        await fleet.clock.advance(100);
        fleet.log.readLatencyMilliseconds = () => 50;
        const first = fleet.send(one, key);
        await fleet.clock.advance(10);
        one.kill();
        await fleet.clock.advance(100);
        const second = fleet.send(two, key, 1_000);
        await fleet.clock.advance(5_000);

        expect([outcomeOf(first), outcomeOf(second)]).to.deep.equal([undefined, "unknown"]);
        expect(fleet.log.records).to.have.length(1);
        expect(fleet.runs).to.deep.equal([]);
    });

    it("reports unknown, and does not run again, when the agent dies between its run and its answer", async () => {
        const [one, two] = [fleet.start("one"), fleet.start("two")];
        await fleet.clock.advance(100);
        fleet.send(one, key);
        await fleet.clock.advance(10);
        expect(fleet.runs).to.have.length(1);
        // The agent is cut off before the service answers; nothing that it still does reaches the log.
        fleet.log.nextAppendOutcome = () => "lost";
        one.kill();
        const second = fleet.send(two, key, 1_000);
        await fleet.clock.advance(5_000);

        expect(outcomeOf(second)).to.equal("unknown");
        expect(fleet.runs).to.have.length(1);
    });

    it("runs nothing after a pause that outlasts the request", async () => {
        const [one, two] = [fleet.start("one"), fleet.start("two")];
        await fleet.clock.advance(100);
        fleet.log.readLatencyMilliseconds = () => 50;
        fleet.send(one, key, 1_000);
        await fleet.clock.advance(10);
        one.pause();
        await fleet.clock.advance(60_000);
        one.resume();
        await fleet.clock.advance(1_000);
        expect(fleet.runs).to.deep.equal([]);

        const second = fleet.send(two, key);
        await fleet.clock.advance(200);
        expect(outcomeOf(second)).to.equal(receipt);
    });

    it("runs nothing when retention dropped records that a paused agent could not read", async () => {
        const [one, two] = [fleet.start("one"), fleet.start("two")];
        await fleet.clock.advance(100);
        fleet.log.isReadable = false;
        const first = fleet.send(two, key);
        const second = fleet.send(one, key, 3_600_000);
        await fleet.clock.advance(10);
        fleet.log.isReadable = true;
        one.pause();
        await fleet.clock.advance(1_000);
        expect(outcomeOf(first)).to.equal(receipt);
        fleet.log.deleteRecordsBefore(fleet.log.records.findLast(({ body }) => body.agent === "one")!.offset);
        one.resume();
        await fleet.clock.advance(1_000);

        expect(outcomeOf(second)).to.equal("not-run: log-unavailable");
        expect(fleet.runs).to.have.length(1);
    });

    it("refuses keys whose claims may have been dropped by retention", async () => {
        const one = fleet.start("one");
        await fleet.clock.advance(100);
        fleet.send(one, key);
        await fleet.clock.advance(testWindow.length - 1_000);
        fleet.send(one, keyAt(fleet.clock.now(), 2));
        await fleet.clock.advance(500);
        fleet.log.deleteRecordsBefore(2);
        const restarted = fleet.start("restarted");
        await fleet.clock.advance(100);
        const resend = fleet.send(restarted, key);
        await fleet.clock.advance(200);

        expect(outcomeOf(resend)).to.equal("not-run: expired-idempotency-key");
        expect(fleet.runs).to.have.length(2);
    });

    it("invalidates a claim whose key was outside the window when the log accepted it", async () => {
        const one = fleet.start("one");
        await fleet.clock.advance(100);
        fleet.log.appendLatencyMilliseconds = () => 4_000;
        const send = fleet.send(one, keyAt(testStartTime + 100 - testWindow.length + 1_000), 8_000);
        await fleet.clock.advance(10_000);

        expect(outcomeOf(send)).to.equal("not-run: expired-idempotency-key");
        expect(fleet.runs).to.deep.equal([]);
    });

    const badKeys: [string, string, string][] = [
        ["is not a UUID", "tender-notice", "not-run: invalid-idempotency-key"],
        ["carries no time", "9b2e4c0e-61a5-4a0c-8d6c-8a3c7b0f5a11", "not-run: invalid-idempotency-key"],
        ["is too old", keyAt(testStartTime - testWindow.length), "not-run: expired-idempotency-key"],
        ["lies in the future", keyAt(testStartTime + 60_000), "not-run: future-idempotency-key"],
    ];
    badKeys.forEach(([what, badKey, expected]) =>
        it(`refuses a key that ${what}`, async () => {
            const one = fleet.start("one");
            await fleet.clock.advance(100);
            const send = fleet.send(one, badKey);
            await fleet.clock.advance(100);

            expect(outcomeOf(send)).to.equal(expected);
            expect(fleet.log.records).to.deep.equal([]);
        })
    );

    it("refuses a key that was used with another body", async () => {
        const [one, two] = [fleet.start("one"), fleet.start("two")];
        await fleet.clock.advance(100);
        fleet.send(one, key);
        const sends = [fleet.send(one, key, 1_000, "other digest")];
        await fleet.clock.advance(100);
        sends.push(fleet.send(two, key, 1_000, "other digest"));
        await fleet.clock.advance(100);

        expect(sends.map(outcomeOf)).to.deep.equal(Array(2).fill("not-run: idempotency-key-reused"));
        expect(fleet.runs).to.have.length(1);
    });

    it("batches concurrent claims into one append", async () => {
        const one = fleet.start("one");
        await fleet.clock.advance(100);
        const sends = [...Array(200).keys()].map(number => fleet.send(one, keyAt(testStartTime, number)));
        await fleet.clock.advance(200);

        expect(fleet.runs).to.have.length(200);
        expect(sends.every(send => send.completion?.result.isOk())).to.equal(true);
        const claims = fleet.log.records.filter(({ body }) => body.entries.some(({ kind }) => kind === "claim"));
        expect(claims).to.have.length(1);
    });
});
