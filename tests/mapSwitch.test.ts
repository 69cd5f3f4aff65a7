/**
 * Runs the real modules of the map switch under faults. Guards against a step that runs on two maps after failures of
 * ranks, agents, messages or the log, and against a group that does not converge on the newest map once the faults end.
 */
import { expect } from "chai";
import fc from "fast-check";
import { uniformMap } from "../src/state/expertMap.js";
import { advanceUntil } from "./support/advanceUntil.js";
import { type MapFleet, shape, startMapFleet, stepsWithMixedMaps } from "./support/mapFleet.js";

const runsNewestEverywhere = (fleet: MapFleet, atLeast: number): boolean => {
    const released = fleet.group.rankRuntimes.map(runtime => runtime.map.status(-1).released);
    const commits = fleet.log.records.filter(({ body }) => body.kind === "commit");
    return released.every(commit => commit >= atLeast && commit === released[0]) && commits.length > 0;
};

const commitsOf = (fleet: MapFleet): number[] =>
    fleet.log.records.filter(({ body }) => body.kind === "commit").map(({ offset }) => offset);

describe("map switch", () => {
    it("switches a healthy group from map to map without holding a step", async () => {
        const fleet = startMapFleet(1);
        await advanceUntil(fleet.clock, () => runsNewestEverywhere(fleet, 0));
        const held = fleet.group.heldMilliseconds;
        await advanceUntil(fleet.clock, () => commitsOf(fleet).length >= 4);
        await fleet.clock.advance(1_000);
        expect(stepsWithMixedMaps(fleet.group.stepRecords)).to.deep.equal([]);
        expect(new Set(fleet.group.stepRecords.map(({ map }) => map)).size).to.be.least(4);
        expect(fleet.group.heldMilliseconds - held).to.equal(0);
        fleet.stop();
    });

    it("completes a commit during a log outage, also with agents that have not read it", async () => {
        const fleet = startMapFleet(2);
        await advanceUntil(fleet.clock, () => commitsOf(fleet).length === 2);
        fleet.log.isReadable = false;
        fleet.log.nextAppendOutcome = () => "turned-away";
        fleet.restartAgent(0);
        fleet.restartAgent(1);
        const [, second] = commitsOf(fleet) as [number, number];
        await advanceUntil(fleet.clock, () => runsNewestEverywhere(fleet, second));
        fleet.crashRank(1);
        const { step } = fleet.group;
        await advanceUntil(fleet.clock, () => fleet.group.step > step + 20 && runsNewestEverywhere(fleet, second));
        expect(stepsWithMixedMaps(fleet.group.stepRecords)).to.deep.equal([]);
        fleet.stop();
    });

    it("replaces a paused coordinator and ignores its late commit", async () => {
        const fleet = startMapFleet(3);
        await advanceUntil(fleet.clock, () => commitsOf(fleet).length === 1);
        const prepared = (): number =>
            fleet.group.rankRuntimes[0]!.orderExecutor.executedOrders.filter(({ order }) =>
                order.kind === "prepare-map"
            )
                .length;
        const before = prepared();
        await advanceUntil(fleet.clock, () => prepared() > before);
        fleet.agents[0]!.pausedUntil = fleet.clock.now() + 15_000;
        await fleet.clock.advance(40_000);
        const claims = fleet.log.records.filter(({ body }) => body.kind === "coordinate").map(({ offset }) => offset);
        const late = fleet.log.records.filter(({ offset, body }) =>
            body.kind === "commit" && body.fence < Math.max(...claims.filter(claim => claim < offset))
        );
        expect(claims).to.have.length.least(2);
        expect(late).to.have.length(1);
        expect(fleet.group.stepRecords.some(({ map }) => map === late[0]!.offset)).to.equal(false);
        expect(stepsWithMixedMaps(fleet.group.stepRecords)).to.deep.equal([]);
        expect(runsNewestEverywhere(fleet, claims[1]!)).to.equal(true);
        const stale = await fleet.agents[2]!.mapSwitch.prepare(
            claims[0]!,
            { plan: "late", map: uniformMap(shape) },
            new AbortController().signal,
        );
        expect(stale.isErr()).to.equal(true);
        fleet.stop();
    });

    it("keeps the newest commit after retention has dropped its record and every agent has restarted", async () => {
        const fleet = startMapFleet(4, 100_000, 8_000);
        await advanceUntil(fleet.clock, () => runsNewestEverywhere(fleet, 0), 120_000);
        const [commit] = commitsOf(fleet) as [number];
        const hasSnapshot = (): boolean =>
            fleet.log.records.some(({ body }) => body.kind === "snapshot" && body.state.commit?.commit === commit);
        await advanceUntil(fleet.clock, hasSnapshot);
        fleet.log.deleteRecordsBefore(commit + 1);
        [0, 1, 2].forEach(fleet.restartAgent);
        await fleet.clock.advance(1_000);
        expect(fleet.agents.map(agent => agent.mapSwitch.newestCommit()?.commit)).to.deep.equal([
            commit,
            commit,
            commit,
        ]);
        fleet.stop();
    });

    const faultEvent = fc.record({
        at: fc.integer({ min: 500, max: 9_000 }),
        rank: fc.integer({ min: 0, max: shape.ranks - 1 }),
        kind: fc.constantFrom("crash-rank", "restart-agent", "pause-agent", "cut-off", "log-out", "commit-at-once"),
        milliseconds: fc.oneof(fc.integer({ min: 5, max: 120 }), fc.integer({ min: 50, max: 3_000 })),
    });

    type FaultEvent = { at: number; rank: number; kind: string; milliseconds: number; };

    const faultHandlers: Record<string, (fleet: MapFleet, event: FaultEvent) => () => void> = {
        "crash-rank": (fleet, { rank }) => {
            fleet.crashRank(rank);
            return () => undefined;
        },
        "restart-agent": (fleet, { rank }) => {
            fleet.restartAgent(rank);
            return () => undefined;
        },
        "commit-at-once": fleet => {
            fleet.appendImmediateCommit();
            return fleet.appendImmediateCommit;
        },
        "pause-agent": (fleet, { rank, milliseconds }) => {
            fleet.agents[rank]!.pausedUntil = fleet.clock.now() + milliseconds;
            return () => undefined;
        },
        "cut-off": (fleet, { rank }) => {
            fleet.faults.isolatedRanks.add(rank);
            return () => fleet.faults.isolatedRanks.delete(rank);
        },
        "log-out": fleet => {
            fleet.log.isReadable = false;
            fleet.log.nextAppendOutcome = () => "answer-lost";
            return () => {
                fleet.log.isReadable = true;
                fleet.log.nextAppendOutcome = () => "taken";
            };
        },
    };

    it("runs every step on one map under crashes, restarts, pauses, partitions and lost messages", async () => {
        let steps = 0;
        let maps = 0;
        await fc.assert(
            fc.asyncProperty(fc.integer(), fc.array(faultEvent, { maxLength: 12 }), async (seed, events) => {
                const fleet = startMapFleet(seed, 700);
                fleet.faults.lossRate = 0.1;
                fleet.faults.delayMilliseconds = 8;
                const scheduled = events.flatMap(faultEvent => {
                    const state: { undo: () => void; } = { undo: () => undefined };
                    const start = (): void => {
                        state.undo = faultHandlers[faultEvent.kind]!(fleet, faultEvent);
                    };
                    const end = (): void => state.undo();
                    return [{ at: faultEvent.at, run: start }, {
                        at: faultEvent.at + faultEvent.milliseconds,
                        run: end,
                    }];
                }).sort((left, right) => left.at - right.at);
                const startedAt = fleet.clock.now();
                for (const { at, run } of scheduled) {
                    await fleet.clock.advance(startedAt + at - fleet.clock.now());
                    run();
                }
                await fleet.clock.advance(Math.max(0, startedAt + 12_000 - fleet.clock.now()));
                fleet.faults.lossRate = 0;
                const newest = commitsOf(fleet).at(-1) ?? 0;
                const { step } = fleet.group;
                await advanceUntil(
                    fleet.clock,
                    () => runsNewestEverywhere(fleet, newest) && fleet.group.step > step + 20,
                );
                expect(stepsWithMixedMaps(fleet.group.stepRecords)).to.deep.equal([]);
                steps += fleet.group.stepRecords.length;
                maps += new Set(fleet.group.stepRecords.map(({ map }) => map)).size;
                fleet.stop();
            }),
            { seed: 11, numRuns: 40 },
        );
        expect(steps).to.be.above(10_000);
        expect(maps).to.be.above(120);
    }).timeout(60_000);
});
