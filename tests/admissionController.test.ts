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
    return { clock, controller: createAdmissionController({ clock, settings: () => settings, incarnation: "first" }) };
};

const admitUntilFull = (controller: AdmissionController, migratable = true): Permit[] => {
    const permits: Permit[] = [];
    for (;;) {
        const permit = controller.admit({ tokens: 50, migratable });
        if (permit.isErr()) {
            return permits;
        }
        permits.push(permit.value);
    }
};

const completeAll = (permits: Permit[]) =>
    permits.forEach(permit => permit.release({ result: "completed", tokens: 50 }));

const warmUp = (controller: AdmissionController) => {
    while (controller.load().state !== "warm") {
        completeAll(admitUntilFull(controller));
    }
};

/** Runs `count` steps of the engine, each of which gives every permit a token at its end. */
const runSteps = (permits: Permit[], clock: ReturnType<typeof virtualClock>, milliseconds: number, count: number) => {
    for (let step = 0; step < count; step += 1) {
        clock.advance(milliseconds);
        permits.forEach(permit => permit.recordTokens(1));
    }
};

describe("admission controller", () => {
    it("admits only the cold capacity until enough work has completed", () => {
        const { controller } = createController();
        const permits = admitUntilFull(controller);
        expect(permits).to.have.length(2);
        expect(controller.load()).to.include({ state: "cold", running: 2, limit: 2, outstandingTokens: 100 });

        permits[0]!.release({ result: "completed", tokens: 50 });
        expect(controller.load().limit).to.equal(2);
        permits[1]!.release({ result: "completed", tokens: 50 });
        expect(controller.load()).to.include({ state: "warming", running: 0, limit: 3, outstandingTokens: 0 });
    });

    it("does not raise its limit on failed requests, nor on requests that use less than half of it", () => {
        const { controller } = createController();
        for (const result of ["failed", "cancelled"] as const) {
            admitUntilFull(controller).forEach(permit => permit.release({ result, tokens: 5_000 }));
        }
        expect(controller.load().limit).to.equal(2);
        warmUp(controller);
        controller.observeIncarnation("second");
        completeAll(admitUntilFull(controller));
        completeAll(admitUntilFull(controller));
        const { limit } = controller.load();
        for (let call = 0; call < 20; call += 1) {
            completeAll([controller.admit({ tokens: 50, migratable: true })._unsafeUnwrap()]);
        }
        expect(controller.load().limit).to.equal(limit);
    });

    it("keeps its limit through a single stalled step, which delays every stream of the rank", () => {
        const { controller, clock } = createController();
        warmUp(controller);
        const permits = admitUntilFull(controller);
        runSteps(permits, clock, 20, 4);
        runSteps(permits, clock, 2_000, 1);
        runSteps(permits, clock, 20, 4);
        expect(controller.load().limit).to.equal(16);
    });

    it("halves the limit when the step time rises, and lets running requests finish", () => {
        const { controller, clock } = createController();
        warmUp(controller);
        const permits = admitUntilFull(controller);
        runSteps(permits, clock, 100, 5);
        expect(controller.load()).to.include({ running: 16, limit: 8 });
        expect(permits.some(permit => permit.migrationSignal.aborted)).to.equal(false);
        expect(controller.admit()._unsafeUnwrapErr()).to.equal("full");
    });

    it("migrates the newest migratable requests, half each time, while the step time stays far above its bound", () => {
        const { controller, clock } = createController();
        warmUp(controller);
        const kept = controller.admit({ tokens: 50, migratable: false })._unsafeUnwrap();
        const permits = admitUntilFull(controller);
        const migratedCount = () => permits.filter(permit => permit.migrationSignal.aborted).length;
        runSteps([kept, ...permits], clock, 400, 5);
        expect(controller.load()).to.include({ running: 16, limit: 8 });
        expect([migratedCount(), permits.at(-1)!.migrationSignal.aborted, kept.migrationSignal.aborted]).to.deep.equal([
            8,
            true,
            false,
        ]);

        permits.slice(7).forEach(permit => permit.release({ result: "cancelled", tokens: 10 }));
        runSteps([kept, ...permits], clock, 400, 20);
        expect(controller.load()).to.include({ state: "cold", limit: 2 });
        expect(migratedCount()).to.equal(14);
        completeAll([kept, permits[0]!]);
        expect(controller.load().limit).to.equal(2);
    });

    it("measures the step time on another stream when the measured one stops receiving tokens", () => {
        const { controller, clock } = createController();
        const [stalled, active] = admitUntilFull(controller);
        runSteps([stalled!, active!], clock, 20, 5);
        const { tokensPerSecond } = controller.load();
        expect(tokensPerSecond).to.be.closeTo(100, 1);
        runSteps([active!], clock, 40, 40);
        expect(controller.load().tokensPerSecond).to.be.closeTo(50, 1);
    });

    it("migrates all requests and is down when none receives tokens, until the engine reports again", () => {
        const { controller, clock } = createController();
        warmUp(controller);
        const permits = admitUntilFull(controller);
        runSteps(permits, clock, 20, 4);
        clock.advance(4_000);
        controller.checkStall();
        expect(controller.load().state).to.equal("warm");

        clock.advance(1_000);
        controller.checkStall();
        controller.observeReachable("first", clock.now() - 1_000);
        expect(controller.load().state).to.equal("down");
        expect(permits.every(permit => permit.migrationSignal.aborted)).to.equal(true);

        controller.observeReachable("first", clock.now() + 20);
        expect(controller.load()).to.include({ state: "cold", limit: 2 });
    });

    it("starts cold after a change of incarnation and migrates the requests of the previous engine", () => {
        const { controller } = createController();
        warmUp(controller);
        const permits = admitUntilFull(controller);
        controller.observeIncarnation("second");
        expect(controller.load()).to.include({ state: "cold", limit: 2, incarnation: "second" });
        expect(permits.every(permit => permit.migrationSignal.aborted)).to.equal(true);

        const admitted = admitUntilFull(controller);
        controller.observeIncarnation("first");
        expect(controller.load().incarnation).to.equal("second");
        expect(admitted.some(permit => permit.migrationSignal.aborted)).to.equal(false);
    });

    it("admits nothing while the upstream is unreachable", () => {
        const { controller } = createController();
        warmUp(controller);
        controller.observeUnreachable();
        expect(controller.admit()._unsafeUnwrapErr()).to.equal("down");
        expect(controller.load().state).to.equal("down");
        controller.observeReachable("first", 0);
        expect(controller.load()).to.include({ state: "cold", limit: 2 });
    });

    it("admits nothing after a broken connection until a later report names the same incarnation", () => {
        const { controller, clock } = createController();
        warmUp(controller);
        const [broken, ...others] = admitUntilFull(controller);
        broken!.release({ result: "crashed", tokens: 0 });
        controller.observeReachable("first", clock.now());
        expect(controller.load().limit).to.equal(0);
        expect(controller.admit()._unsafeUnwrapErr()).to.equal("full");
        clock.advance(100);
        controller.observeReachable("first", clock.now());
        expect(controller.load().limit).to.equal(16);
        expect(others.some(permit => permit.migrationSignal.aborted)).to.equal(false);
    });

    it("requires twice the completed work after a crash during warm-up", () => {
        const { controller } = createController();
        completeAll(admitUntilFull(controller));
        expect(controller.load().state).to.equal("warming");
        const permits = admitUntilFull(controller);
        permits.forEach(permit => permit.release({ result: "crashed", tokens: 0 }));
        controller.observeReachable("second", 0);
        completeAll(admitUntilFull(controller));
        expect(controller.load().limit).to.equal(2);
        completeAll(admitUntilFull(controller));
        expect(controller.load().limit).to.be.greaterThan(2);
    });

    it("refuses new requests while withdrawn, lets running ones finish, and starts cold on its return", () => {
        let withdrawn = false;
        const controller = createAdmissionController({
            clock: virtualClock(),
            settings: () => ({ ...settings, withdrawn }),
        });
        warmUp(controller);
        const running = controller.admit()._unsafeUnwrap();
        withdrawn = true;
        expect(controller.admit()._unsafeUnwrapErr()).to.equal("draining");
        expect(controller.load().state).to.equal("draining");
        expect(running.migrationSignal.aborted).to.equal(false);
        withdrawn = false;
        expect(controller.load()).to.include({ state: "cold", running: 1, limit: 2 });
    });
});
