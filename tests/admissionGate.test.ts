import { expect } from "chai";
import { type AdmissionGate, createAdmissionGate, type Permit } from "../src/coordination/admissionGate.js";
import { virtualClock } from "./support/virtualClock.js";

const settings = { capacity: 16, coldCapacity: 2, stepTimeBoundMilliseconds: 75, warmUpTokens: 100 };

const createGate = () => {
    const clock = virtualClock();
    return { clock, gate: createAdmissionGate({ clock, settings: () => settings, incarnation: "first" }) };
};

const fill = (gate: AdmissionGate, movable = true): Permit[] => {
    const permits: Permit[] = [];
    for (;;) {
        const permit = gate.admit({ tokens: 50, movable });
        if (permit.isErr()) {
            return permits;
        }
        permits.push(permit.value);
    }
};

const complete = (permits: Permit[]) => permits.forEach(permit => permit.finish({ result: "completed", tokens: 50 }));

const warmUp = (gate: AdmissionGate) => {
    while (gate.load().state !== "warm") {
        complete(fill(gate));
    }
};

/** Runs `count` steps of the engine: each permit gets a token at the end of each step. */
const steps = (permits: Permit[], clock: ReturnType<typeof virtualClock>, milliseconds: number, count: number) => {
    for (let step = 0; step < count; step += 1) {
        clock.advance(milliseconds);
        permits.forEach(permit => permit.progress(1));
    }
};

describe("admission gate", () => {
    it("admits only the cold capacity until enough work has completed", () => {
        const { gate } = createGate();
        const permits = fill(gate);
        expect(permits).to.have.length(2);
        expect(gate.load()).to.include({ state: "cold", running: 2, limit: 2, outstandingTokens: 100 });

        permits[0]!.finish({ result: "completed", tokens: 50 });
        expect(gate.load().limit).to.equal(2);
        permits[1]!.finish({ result: "completed", tokens: 50 });
        expect(gate.load()).to.include({ state: "warming", running: 0, limit: 3, outstandingTokens: 0 });
    });

    it("takes no evidence from failed work, nor from work that leaves half of the places empty", () => {
        const { gate } = createGate();
        for (const result of ["failed", "cancelled"] as const) {
            fill(gate).forEach(permit => permit.finish({ result, tokens: 5_000 }));
        }
        expect(gate.load().limit).to.equal(2);
        warmUp(gate);
        gate.observeIncarnation("second");
        complete(fill(gate));
        complete(fill(gate));
        const { limit } = gate.load();
        for (let call = 0; call < 20; call += 1) {
            complete([gate.admit({ tokens: 50, movable: true })._unsafeUnwrap()]);
        }
        expect(gate.load().limit).to.equal(limit);
    });

    it("keeps its limit through one stalled step, which every stream of the rank shows", () => {
        const { gate, clock } = createGate();
        warmUp(gate);
        const permits = fill(gate);
        steps(permits, clock, 20, 4);
        steps(permits, clock, 2_000, 1);
        steps(permits, clock, 20, 4);
        expect(gate.load().limit).to.equal(16);
    });

    it("halves the limit when the step time rises, and lets running work finish", () => {
        const { gate, clock } = createGate();
        warmUp(gate);
        const permits = fill(gate);
        steps(permits, clock, 100, 5);
        expect(gate.load()).to.include({ running: 16, limit: 8 });
        expect(permits.some(permit => permit.moved.aborted)).to.equal(false);
        expect(gate.admit()._unsafeUnwrapErr()).to.equal("full");
    });

    it("moves the newest movable work elsewhere, half by half, while the step time stays far above its bound", () => {
        const { gate, clock } = createGate();
        warmUp(gate);
        const kept = gate.admit({ tokens: 50, movable: false })._unsafeUnwrap();
        const permits = fill(gate);
        const moved = () => permits.filter(permit => permit.moved.aborted).length;
        steps([kept, ...permits], clock, 400, 5);
        expect(gate.load()).to.include({ running: 16, limit: 8 });
        expect([moved(), permits.at(-1)!.moved.aborted, kept.moved.aborted]).to.deep.equal([8, true, false]);

        permits.slice(7).forEach(permit => permit.finish({ result: "cancelled", tokens: 10 }));
        steps([kept, ...permits], clock, 400, 20);
        expect(gate.load()).to.include({ state: "cold", limit: 2 });
        expect(moved()).to.equal(14);
        complete([kept, permits[0]!]);
        expect(gate.load().limit).to.equal(2);
    });

    it("measures the step time by another stream when the one it watched gets nothing", () => {
        const { gate, clock } = createGate();
        const [waiting, going] = fill(gate);
        steps([waiting!, going!], clock, 20, 5);
        const { tokensPerSecond } = gate.load();
        expect(tokensPerSecond).to.be.closeTo(100, 1);
        steps([going!], clock, 40, 40);
        expect(gate.load().tokensPerSecond).to.be.closeTo(50, 1);
    });

    it("moves all work elsewhere when no request gets a token any more, until the engine makes steps again", () => {
        const { gate, clock } = createGate();
        warmUp(gate);
        const permits = fill(gate);
        steps(permits, clock, 20, 4);
        clock.advance(4_000);
        gate.checkStall();
        expect(gate.load().state).to.equal("warm");

        clock.advance(1_000);
        gate.checkStall();
        gate.observeReachable("first", clock.now() - 1_000);
        expect(gate.load().state).to.equal("down");
        expect(permits.every(permit => permit.moved.aborted)).to.equal(true);

        gate.observeReachable("first", clock.now() + 20);
        expect(gate.load()).to.include({ state: "cold", limit: 2 });
    });

    it("starts cold again with a changed incarnation and lets go of what the lost engine ran", () => {
        const { gate } = createGate();
        warmUp(gate);
        const permits = fill(gate);
        gate.observeIncarnation("second");
        expect(gate.load()).to.include({ state: "cold", limit: 2, incarnation: "second" });
        expect(permits.every(permit => permit.moved.aborted)).to.equal(true);

        const admitted = fill(gate);
        gate.observeIncarnation("first");
        expect(gate.load().incarnation).to.equal("second");
        expect(admitted.some(permit => permit.moved.aborted)).to.equal(false);
    });

    it("admits nothing while the upstream can't be reached", () => {
        const { gate } = createGate();
        warmUp(gate);
        gate.observeUnreachable();
        expect(gate.admit()._unsafeUnwrapErr()).to.equal("down");
        expect(gate.load().state).to.equal("down");
        gate.observeReachable("first", 0);
        expect(gate.load()).to.include({ state: "cold", limit: 2 });
    });

    it("admits nothing after a broken connection until a later report names the same incarnation", () => {
        const { gate, clock } = createGate();
        warmUp(gate);
        const [broken, ...others] = fill(gate);
        broken!.finish({ result: "crashed", tokens: 0 });
        gate.observeReachable("first", clock.now());
        expect(gate.load().limit).to.equal(0);
        expect(gate.admit()._unsafeUnwrapErr()).to.equal("full");
        clock.advance(100);
        gate.observeReachable("first", clock.now());
        expect(gate.load().limit).to.equal(16);
        expect(others.some(permit => permit.moved.aborted)).to.equal(false);
    });

    it("asks for twice the evidence after a crash during growth", () => {
        const { gate } = createGate();
        complete(fill(gate));
        expect(gate.load().state).to.equal("warming");
        const permits = fill(gate);
        permits.forEach(permit => permit.finish({ result: "crashed", tokens: 0 }));
        gate.observeReachable("second", 0);
        complete(fill(gate));
        expect(gate.load().limit).to.equal(2);
        complete(fill(gate));
        expect(gate.load().limit).to.be.greaterThan(2);
    });

    it("refuses new work while withdrawn, lets running work finish, and starts cold on its return", () => {
        let withdrawn = false;
        const gate = createAdmissionGate({ clock: virtualClock(), settings: () => ({ ...settings, withdrawn }) });
        warmUp(gate);
        const running = gate.admit()._unsafeUnwrap();
        withdrawn = true;
        expect(gate.admit()._unsafeUnwrapErr()).to.equal("draining");
        expect(gate.load().state).to.equal("draining");
        expect(running.moved.aborted).to.equal(false);
        withdrawn = false;
        expect(gate.load()).to.include({ state: "cold", running: 1, limit: 2 });
    });
});
