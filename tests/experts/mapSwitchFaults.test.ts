import { expect } from "chai";
import { createGroupCoordinator, type GroupCoordinator } from "../../src/coordination/experts/groupCoordinator.js";
import { createIngressLog } from "../../src/coordination/ingress/ingressLog.js";
import { createMetrics } from "../../src/coordination/metrics.js";
import { type GroupFaults, startLockstepGroup } from "../support/lockstepGroup.js";
import { seededRandom } from "../support/random.js";
import { steppedClock } from "../support/steppedClock.js";

const size = 4;
const shape = { layers: 2, experts: 8, placesPerRank: 3, newPerMap: 2, loadMilliseconds: 100 };

/** Starts and stops coordinators of random ranks, also two at once, over a group with faulty orders. */
const runScenario = async (seed: number, faults: GroupFaults) => {
    const random = seededRandom(seed);
    const clock = steppedClock(0);
    const lifetime = new AbortController();
    const group = startLockstepGroup(size, faults, clock, random, lifetime.signal);
    const log = createIngressLog(() => undefined, clock);
    const activeCoordinators = new Map<GroupCoordinator, AbortController>();

    const startCoordinator = (ownRank: number): void => {
        const end = new AbortController();
        const coordinator = createGroupCoordinator({
            ownRank,
            ranks: size,
            shape,
            engines: group.engines,
            members: () => group.addresses,
            clock,
            timeOfDaySeconds: () => 1_800_000_000 + Math.floor(clock.now() / 1_000),
            log,
            metrics: createMetrics(),
            signal: end.signal,
        });
        activeCoordinators.set(coordinator, end);
        void coordinator.run(() => true);
    };

    const stopOneCoordinator = (): void => {
        const [oldest] = activeCoordinators;
        if (oldest !== undefined) {
            oldest[1].abort();
            activeCoordinators.delete(oldest[0]);
        }
    };

    const counts = Array.from({ length: size }, () => new Array<number>(shape.layers * shape.experts).fill(0));
    const sendUpdates = (): void => {
        // The demand moves from expert to expert, so that there is always a new map to plan.
        const hot = Math.floor(clock.now() / 3_000) % shape.experts;
        counts.forEach((row, rank) => {
            row.forEach((count, index) => row[index] = count + (index % shape.experts === hot ? 50 : 1 + random() * 3));
            const report = group.report(rank);
            for (const coordinator of activeCoordinators.keys()) {
                coordinator.receiveUpdate({
                    report,
                    engine: group.addresses[rank] as string,
                    step: report.step,
                    counts: [...row],
                });
            }
        });
    };

    startCoordinator(0);
    for (let second = 0; second < 40; second += 1) {
        if (random() < 0.12) {
            startCoordinator(Math.floor(random() * size));
        }
        if (activeCoordinators.size > 1 && random() < 0.25 || random() < 0.06) {
            stopOneCoordinator();
        }
        if (random() < 0.02) {
            group.reformGroup();
        }
        for (let part = 0; part < 4; part += 1) {
            sendUpdates();
            await clock.advance(250);
        }
    }
    // All coordinators stop, possibly in the middle of a switch. A new one must get the group to run again.
    while (activeCoordinators.size > 0) {
        stopOneCoordinator();
    }
    const stepBefore = group.step();
    startCoordinator(Math.floor(random() * size));
    for (let part = 0; part < 160; part += 1) {
        sendUpdates();
        await clock.advance(250);
    }
    const stepAfter = group.step();
    lifetime.abort();
    activeCoordinators.forEach(end => end.abort());
    await clock.advance(0);
    return { violations: group.violations, stepsRun: stepAfter - stepBefore, switches: group.switches() };
};

describe("switching expert maps under faults", () => {
    const cases: { name: string; faults: GroupFaults; seeds: number; }[] = [
        { name: "reliable orders", faults: { unansweredProbability: 0, lateExecutionProbability: 0 }, seeds: 50 },
        {
            name: "a third of the orders unanswered, most carried out late",
            faults: { unansweredProbability: 0.35, lateExecutionProbability: 0.7 },
            seeds: 60,
        },
        {
            name: "a tenth of the orders unanswered",
            faults: { unansweredProbability: 0.1, lateExecutionProbability: 0.4 },
            seeds: 150,
        },
    ];
    for (const { name, faults, seeds } of cases) {
        it(`begins no step on two maps and leaves none held: ${name}`, async function() {
            this.timeout(120_000);
            let switches = 0;
            for (let seed = 1; seed <= seeds; seed += 1) {
                const outcome = await runScenario(seed, faults);
                expect(outcome.violations, `seed ${seed}`).to.deep.equal([]);
                expect(outcome.stepsRun, `steps of seed ${seed} after the last coordinator started`).to.be.greaterThan(
                    250,
                );
                switches += outcome.switches;
            }
            expect(switches, "switches over all seeds").to.be.greaterThan(seeds);
        });
    }
});
