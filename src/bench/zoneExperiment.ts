/**
 * An availability zone goes out of service and comes back while callers keep calling.
 *
 * While it is out its engines turn cold, so that its return goes through the cold-start gate.
 */
import type { Clock } from "../state/types.js";
import { systemClock } from "../transport/systemClock.js";
import { entryTargets, PathMeasures, runCompletionLoad, warmUp } from "./completionLoad.js";
import { changeSettings, readAllRanks, setFaults } from "./controls.js";
import type { Experiment, ExperimentTools } from "./experiment.js";
import type { ReportRow } from "./report.js";

const lastNewWorkTarget = 4;
const firstTokenTarget = 670;

/** Shares of the run at which the zone goes out, its engines turn cold and it comes back. */
const outAt = 0.25;
const coldAt = 0.5;
const inAt = 0.6;

type ZoneTimes = { out: number; in: number; lastNewWork: number; };

/** Takes `zone` out and in during a run of `seconds`; times are milliseconds since the epoch. */
const driveZone = async (tools: ExperimentTools, zone: string, seconds: number, clock: Clock): Promise<ZoneTimes> => {
    const { deployment, signal, newId } = tools;
    const engines = deployment.engines.filter(engine => engine.availabilityZone === zone);
    const path = `availabilityZones/${zone}`;
    const wait = (share: number) => clock.sleep(share * seconds * 1_000, signal);
    await wait(outAt);
    await changeSettings(deployment.platform, path, { state: "out" }, newId(), signal);
    const out = clock.now();
    await wait(coldAt - outAt);
    await Promise.all(engines.map(engine => setFaults(engine.addresses[0] ?? "", { turnCold: true })));
    await wait(inAt - coldAt);
    const ranks = await readAllRanks(engines);
    await changeSettings(deployment.platform, path, { state: "in" }, newId(), signal);
    return { out, in: clock.now(), lastNewWork: Math.max(...ranks.map(rank => rank.lastAdmittedAt)) };
};

export const zoneExperiment: Experiment = async (tools, options) => {
    const { deployment } = tools;
    const zone = deployment.engines[0]?.availabilityZone ?? "";
    const measures = new PathMeasures("entry");
    await warmUp(tools, options, [{ measures: new PathMeasures("entry"), share: 1, targets: entryTargets(tools) }]);
    const before = await readAllRanks(deployment.engines);
    const startedAt = systemClock.now();
    const [seconds, times] = await Promise.all([
        runCompletionLoad(tools, options, [{ measures, share: 1, targets: entryTargets(tools) }]),
        driveZone(tools, zone, options.seconds, systemClock),
    ]);
    const after = await readAllRanks(deployment.engines);
    const inZone = await readAllRanks(deployment.engines.filter(engine => engine.availabilityZone === zone));
    const grown = (field: "crashes" | "admittedAboveColdCapacity"): number =>
        after.reduce((sum, rank, index) => sum + rank[field] - (before[index]?.[field] ?? 0), 0);
    const rows: ReportRow[] = [
        ...measures.rows(seconds),
        { name: "failed calls", value: measures.failed, unit: "calls", target: { kind: "at-most", value: 0 } },
        {
            name: `last new work in "${zone}" after the change was accepted`,
            value: Math.max(0, times.lastNewWork - times.out) / 1_000,
            unit: "s",
            target: { kind: "at-most", value: lastNewWorkTarget },
        },
        {
            name: "first token p95, over the run",
            value: measures.firstToken.percentile(95),
            unit: "ms",
            target: { kind: "at-most", value: firstTokenTarget },
        },
        {
            name: "first token p95, worst second",
            value: measures.worstSecond(),
            unit: "ms",
            target: { kind: "at-most", value: firstTokenTarget },
        },
        {
            name: "admissions above the cold capacity",
            value: grown("admittedAboveColdCapacity"),
            unit: "requests",
            target: { kind: "at-most", value: 0 },
        },
        { name: "crashes", value: grown("crashes"), unit: "ranks", target: { kind: "at-most", value: 0 } },
        {
            name: `new work in "${zone}" after its return`,
            value: Math.max(...inZone.map(rank => rank.lastAdmittedAt)) > times.in ? 1 : 0,
            unit: "1 = yes",
            target: { kind: "at-least", value: 1 },
        },
    ];
    const toSeconds = (time: number) => (time - startedAt) / 1_000;
    return {
        rows,
        charts: [{
            title: `First token while "${zone}" leaves and returns, 95th percentile of each second`,
            xLabel: "seconds",
            yLabel: "ms",
            series: [measures.firstTokenSeries(), measures.failureSeries()],
            marks: [{ x: toSeconds(times.out), name: "out" }, { x: toSeconds(times.in), name: "in" }],
        }],
    };
};
