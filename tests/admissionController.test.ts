import { expect } from "chai";
import {
    type AdmissionController,
    createAdmissionController,
    type Permit,
} from "../src/coordination/admissionController.js";
import { virtualClock } from "./support/virtualClock.js";

const settings = { capacity: 16, coldCapacity: 2, stepTimeBoundMilliseconds: 75, warmUpTokens: 100 };

const createController = () => {
    const clock = virtualClock();
    return { clock, gate: createAdmissionController({ clock, settings: () => settings, incarnation: "first" }) };
};

const admitUntilFull = (gate: AdmissionController, movable = true): Permit[] => {
    const permits: Permit[] = [];
    for (;;) {
        const permit = gate.admit({ tokens: 50, migratable: movable });
        if (permit.isErr()) {
            return permits;
        }
        permits.push(permit.value);
    }
};

const completeAll = (permits: Permit[]) =>
    permits.forEach(permit => permit.release({ result: "completed", tokens: 50 }));

const warmUp = (gate: AdmissionController) => {
    while (gate.load().state !== "warm") {
        completeAll(admitUntilFull(gate));
    }
};

/** Runs `count` steps of the engine: each permit gets a token at the end of each step. */
const runSteps = (permits: Permit[], clock: ReturnType<typeof virtualClock>, milliseconds: number, count: number) => {
    for (let step = 0; step < count; step += 1) {
        clock.advance(milliseconds);
        permits.forEach(permit => permit.recordTokens(1));
    }
};

describe("admission gate", () => {
    it("admits only the cold capacity until enough work has completed", () => {
        const { gate } = createController();
        const permits = admitUntilFull(gate);
        expect(permits).to.have.length(2);
        expect(gate.load()).to.include({ state: "cold", running: 2, limit: 2, outstandingTokens: 100 });

        permits[0]!.release({ result: "completed", tokens: 50 });
        expect(gate.load().limit).to.equal(2);
        permits[1]!.release({ result: "completed", tokens: 50 });
        expect(gate.load()).to.include({ state: "warming", running: 0, limit: 3, outstandingTokens: 0 });
    });

    it("takes no evidence from failed work, nor from work that leaves half of the places empty", () => {
        const { gate } = createController();
        for (const result of ["failed", "cancelled"] as const) {
            admitUntilFull(gate).forEach(permit => permit.release({ result, tokens: 5_000 }));
        }
        expect(gate.load().limit).to.equal(2);
        warmUp(gate);
        gate.observeIncarnation("second");
        completeAll(admitUntilFull(gate));
        completeAll(admitUntilFull(gate));
        const { limit } = gate.load();
        for (let call = 0; call < 20; call += 1) {
            completeAll([gate.admit({ tokens: 50, migratable: true })._unsafeUnwrap()]);
        }
        expect(gate.load().limit).to.equal(limit);
    });

    it("keeps its limit through one stalled step, which every stream of the rank shows", () => {
        const { gate, clock } = createController();
        warmUp(gate);
        const permits = admitUntilFull(gate);
        runSteps(permits, clock, 20, 4);
        runSteps(permits, clock, 2_000, 1);
        runSteps(permits, clock, 20, 4);
        expect(gate.load().limit).to.equal(16);
    });

    it("halves the limit when the step time rises, and lets running work finish", () => {
        const { gate, clock } = createController();
        warmUp(gate);
        const permits = admitUntilFull(gate);
        runSteps(permits, clock, 100, 5);
        expect(gate.load()).to.include({ running: 16, limit: 8 });
        expect(permits.some(permit => permit.migrationSignal.aborted)).to.equal(false);
        expect(gate.admit()._unsafeUnwrapErr()).to.equal("full");
    });

    it("moves the newest movable work elsewhere, half by half, while the step time stays far above its bound", () => {
        const { gate, clock } = createController();
        warmUp(gate);
        const kept = gate.admit({ tokens: 50, migratable: false })._unsafeUnwrap();
        const permits = admitUntilFull(gate);
        const migratedCount = () => permits.filter(permit => permit.migrationSignal.aborted).length;
        runSteps([kept, ...permits], clock, 400, 5);
        expect(gate.load()).to.include({ running: 16, limit: 8 });
        expect([migratedCount(), permits.at(-1)!.migrationSignal.aborted, kept.migrationSignal.aborted]).to.deep.equal([
            8,
            true,
            false,
        ]);

        permits.slice(7).forEach(permit => permit.release({ result: "cancelled", tokens: 10 }));
        runSteps([kept, ...permits], clock, 400, 20);
        expect(gate.load()).to.include({ state: "cold", limit: 2 });
        expect(migratedCount()).to.equal(14);
        completeAll([kept, permits[0]!]);
        expect(gate.load().limit).to.equal(2);
    });

    it("measures the step time by another stream when the one it watched gets nothing", () => {
        const { gate, clock } = createController();
        const [stalled, active] = admitUntilFull(gate);
        runSteps([stalled!, active!], clock, 20, 5);
        const { tokensPerSecond } = gate.load();
        expect(tokensPerSecond).to.be.closeTo(100, 1);
        runSteps([active!], clock, 40, 40);
        expect(gate.load().tokensPerSecond).to.be.closeTo(50, 1);
    });

    it("moves all work elsewhere when no request gets a token any more, until the engine makes steps again", () => {
        const { gate, clock } = createController();
        warmUp(gate);
        const permits = admitUntilFull(gate);
        runSteps(permits, clock, 20, 4);
        clock.advance(4_000);
        gate.checkStall();
        expect(gate.load().state).to.equal("warm");

        clock.advance(1_000);
        gate.checkStall();
        gate.observeReachable("first", clock.now() - 1_000);
        expect(gate.load().state).to.equal("down");
        expect(permits.every(permit => permit.migrationSignal.aborted)).to.equal(true);

        gate.observeReachable("first", clock.now() + 20);
        expect(gate.load()).to.include({ state: "cold", limit: 2 });
    });

    it("starts cold again with a changed incarnation and lets go of what the lost engine ran", () => {
        const { gate } = createController();
        warmUp(gate);
        const permits = admitUntilFull(gate);
        gate.observeIncarnation("second");
        expect(gate.load()).to.include({ state: "cold", limit: 2, incarnation: "second" });
        expect(permits.every(permit => permit.migrationSignal.aborted)).to.equal(true);

        const admitted = admitUntilFull(gate);
        gate.observeIncarnation("first");
        expect(gate.load().incarnation).to.equal("second");
        expect(admitted.some(permit => permit.migrationSignal.aborted)).to.equal(false);
    });

    it("admits nothing while the upstream can't be reached", () => {
        const { gate } = createController();
        warmUp(gate);
        gate.observeUnreachable();
        expect(gate.admit()._unsafeUnwrapErr()).to.equal("down");
        expect(gate.load().state).to.equal("down");
        gate.observeReachable("first", 0);
        expect(gate.load()).to.include({ state: "cold", limit: 2 });
    });

    it("admits nothing after a broken connection until a later report names the same incarnation", () => {
        const { gate, clock } = createController();
        warmUp(gate);
        const [broken, ...others] = admitUntilFull(gate);
        broken!.release({ result: "crashed", tokens: 0 });
        gate.observeReachable("first", clock.now());
        expect(gate.load().limit).to.equal(0);
        expect(gate.admit()._unsafeUnwrapErr()).to.equal("full");
        clock.advance(100);
        gate.observeReachable("first", clock.now());
        expect(gate.load().limit).to.equal(16);
        expect(others.some(permit => permit.migrationSignal.aborted)).to.equal(false);
    });

    it("asks for twice the evidence after a crash during growth", () => {
        const { gate } = createController();
        completeAll(admitUntilFull(gate));
        expect(gate.load().state).to.equal("warming");
        const permits = admitUntilFull(gate);
        permits.forEach(permit => permit.release({ result: "crashed", tokens: 0 }));
        gate.observeReachable("second", 0);
        completeAll(admitUntilFull(gate));
        expect(gate.load().limit).to.equal(2);
        completeAll(admitUntilFull(gate));
        expect(gate.load().limit).to.be.greaterThan(2);
    });

    it("refuses new work while withdrawn, lets running work finish, and starts cold on its return", () => {
        let withdrawn = false;
        const gate = createAdmissionController({ clock: virtualClock(), settings: () => ({ ...settings, withdrawn }) });
        warmUp(gate);
        const running = gate.admit()._unsafeUnwrap();
        withdrawn = true;
        expect(gate.admit()._unsafeUnwrapErr()).to.equal("draining");
        expect(gate.load().state).to.equal("draining");
        expect(running.migrationSignal.aborted).to.equal(false);
        withdrawn = false;
        expect(gate.load()).to.include({ state: "cold", running: 1, limit: 2 });
    });
});
