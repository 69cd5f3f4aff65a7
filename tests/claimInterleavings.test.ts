/**
 * The same key is sent through two entries to two agents at once, in 1,000 seeded interleavings with faults.
 *
 * Each case draws when and to which agent the key is sent, the outcome of each append, the latency of the log, when the
 * log is down, and when an agent is paused, killed or replaced. Outcomes are checked against the service's record of
 * runs.
 */
import { expect } from "chai";
import fc from "fast-check";
import type { ClaimFleet, FleetAgent, Send } from "./support/claimFleet.js";
import { claimFleet, outcomeOf, testStartTime } from "./support/claimFleet.js";
import type { AppendOutcome } from "./support/faultyLog.js";
import { keyAt } from "./support/idempotencyKeys.js";

const cases = 1_000;
const seed = 20_300_101;
const horizonMilliseconds = 12_000;
const answerGraceMilliseconds = 1;

const key = keyAt(testStartTime);

const arbitraryAppendOutcome: fc.Arbitrary<AppendOutcome> = fc.oneof(
    { weight: 5, arbitrary: fc.constant<AppendOutcome>("taken") },
    { weight: 2, arbitrary: fc.constant<AppendOutcome>("answer-lost") },
    { weight: 1, arbitrary: fc.constantFrom<AppendOutcome>("lost", "late", "turned-away") },
);

const at = fc.integer({ min: 0, max: 1_500 });
const agentIndex = fc.integer({ min: 0, max: 1 });

type Step =
    | { kind: "send"; at: number; agent: number; callerTimeoutMilliseconds: number; }
    | { kind: "pause" | "resume" | "replace"; at: number; agent: number; }
    | { kind: "outage" | "recovery"; at: number; };

const step: fc.Arbitrary<Step> = fc.oneof(
    {
        weight: 3,
        arbitrary: fc.record({
            kind: fc.constant<"send">("send"),
            at,
            agent: agentIndex,
            callerTimeoutMilliseconds: fc.integer({ min: 50, max: 3_000 }),
        }),
    },
    {
        weight: 2,
        arbitrary: fc.record({ kind: fc.constantFrom<"pause" | "resume">("pause", "resume"), at, agent: agentIndex }),
    },
    { weight: 1, arbitrary: fc.record({ kind: fc.constant<"replace">("replace"), at, agent: agentIndex }) },
    { weight: 1, arbitrary: fc.record({ kind: fc.constantFrom<"outage" | "recovery">("outage", "recovery"), at }) },
);

const plan = fc.record({
    steps: fc.array(step, { maxLength: 10 }),
    appendOutcomes: fc.array(arbitraryAppendOutcome, { maxLength: 12 }),
    appendMilliseconds: fc.constantFrom(2, 20, 200),
    readMilliseconds: fc.constantFrom(1, 30, 300),
    lateMilliseconds: fc.constantFrom(5, 150, 2_500),
    runMilliseconds: fc.constantFrom(1, 100),
});

type Plan = typeof plan extends fc.Arbitrary<infer Value> ? Value : never;

type Simulation = { fleet: ClaimFleet; agents: FleetAgent[]; interrupted: Set<string>; };

const stepHandlers: {
    [Kind in Step["kind"]]: (simulation: Simulation, step: Extract<Step, { kind: Kind; }>) => void;
} = {
    send: ({ fleet, agents }, { agent, callerTimeoutMilliseconds }) =>
        void fleet.send(agents[agent]!, key, callerTimeoutMilliseconds),
    pause: ({ agents, interrupted }, { agent }) => {
        agents[agent]!.pause();
        interrupted.add(agents[agent]!.name);
    },
    resume: ({ agents }, { agent }) => agents[agent]!.resume(),
    replace: ({ fleet, agents, interrupted }, { agent }) => {
        agents[agent]!.kill();
        interrupted.add(agents[agent]!.name);
        agents[agent] = fleet.start(`${agents[agent]!.name} again`);
    },
    outage: ({ fleet }) => fleet.log.isReadable = false,
    recovery: ({ fleet }) => fleet.log.isReadable = true,
};

const performStep = <Kind extends Step["kind"]>(
    simulation: Simulation,
    kind: Kind,
    next: Extract<Step, { kind: Kind; }>,
): void => stepHandlers[kind](simulation, next);

const appendOutcomeSource = (fleet: ClaimFleet, drawn: AppendOutcome[]) => (): AppendOutcome => {
    const appendOutcome = drawn.shift() ?? "taken";
    return fleet.log.isReadable ? appendOutcome : "turned-away";
};

const simulate = async (drawn: Plan): Promise<Simulation> => {
    const fleet = claimFleet();
    fleet.log.appendLatencyMilliseconds = () => drawn.appendMilliseconds;
    fleet.log.readLatencyMilliseconds = () => drawn.readMilliseconds;
    fleet.log.lateAppendDelayMilliseconds = () => drawn.lateMilliseconds;
    fleet.runMilliseconds = drawn.runMilliseconds;
    const simulation: Simulation = { fleet, agents: [fleet.start("one"), fleet.start("two")], interrupted: new Set() };
    await fleet.clock.advance(400);
    fleet.log.nextAppendOutcome = appendOutcomeSource(fleet, [...drawn.appendOutcomes]);
    const simultaneousSends: Step[] = [0, 1].map(agent => ({
        kind: "send",
        at: 0,
        agent,
        callerTimeoutMilliseconds: 2_000,
    }));
    const steps = [...simultaneousSends, ...drawn.steps].sort((left, right) => left.at - right.at);
    let now = 0;
    for (const next of steps) {
        await fleet.clock.advance(next.at - now);
        now = next.at;
        performStep(simulation, next.kind, next);
    }
    fleet.log.isReadable = true;
    await fleet.clock.advance(horizonMilliseconds);
    fleet.stop();
    return simulation;
};

const checkSend = ({ fleet, interrupted }: Simulation, send: Send): void => {
    const outcome = outcomeOf(send);
    const ownRuns = fleet.runs.filter(run => run.sendId === send.id);
    if (outcome === undefined) {
        expect(interrupted.has(send.agent), `${send.id} got no answer from a live agent`).to.equal(true);
        return;
    }
    if (outcome.startsWith("not-run")) {
        expect(ownRuns, `${send.id} was refused`).to.deep.equal([]);
    }
    if (send.completion!.result.isOk()) {
        expect(outcome).to.equal(`receipt 1 for ${key}`);
    }
    if (!interrupted.has(send.agent)) {
        const latest = Math.max(send.deadline, ...ownRuns.map(run => run.at + fleet.runMilliseconds));
        expect(send.completion!.at).to.be.at.most(latest + answerGraceMilliseconds);
    }
};

describe("claim interleavings", () => {
    it(`runs the key at most once and reports correct outcomes in ${cases} seeded interleavings`, async () => {
        const seen = { runs: 0, outcomes: new Map<string, number>() };
        await fc.assert(
            fc.asyncProperty(plan, async drawn => {
                const simulation = await simulate(drawn);
                expect(simulation.fleet.runs.length, "runs of the key").to.be.at.most(1);
                simulation.fleet.sends.forEach(send => checkSend(simulation, send));
                seen.runs += simulation.fleet.runs.length;
                simulation.fleet.sends.map(outcomeOf).forEach(outcome =>
                    seen.outcomes.set(outcome ?? "silent", (seen.outcomes.get(outcome ?? "silent") ?? 0) + 1)
                );
            }),
            { seed, numRuns: cases },
        );
        // The generator is useful only if it produces every outcome many times.
        expect(seen.runs).to.be.above(cases / 2);
        expect([...seen.outcomes.values()].filter(count => count > 50)).to.have.length.at.least(4);
    });
});
