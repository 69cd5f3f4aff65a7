/**
 * Takes an availability zone out of service and back into service under load.
 *
 * While the zone is out, its engines are reset to cold, so that its return depends on the cold-start admission control.
 */
import type { Clock } from "../state/types.js";
import { systemClock } from "../transport/systemClock.js";
import { entryTargets, PathMetrics, runCompletionLoad, warmUp } from "./completionLoad.js";
import { changeSettings, readAllRanks, setFaults } from "./deploymentControls.js";
import type { Experiment, ExperimentContext } from "./experiment.js";
import type { ReportRow } from "./report.js";

const lastAdmissionTargetSeconds = 4;
const firstTokenTargetMilliseconds = 670;

/** Fractions of the run at which the zone is removed, its engines are reset to cold and the zone is restored. */
const zoneOutFraction = 0.25;
const enginesColdFraction = 0.5;
const zoneInFraction = 0.6;

type ZoneOutage = { removedAt: number; restoredAt: number; lastAdmissionAt: number; };

/**
 * Takes `zone` out of service and back during a run of `seconds`. The returned times are in milliseconds since the
 * epoch; `lastAdmissionAt` is the last admission in the zone before its return.
 */
const runZoneOutage = async (
    context: ExperimentContext,
    zone: string,
    seconds: number,
    clock: Clock,
): Promise<ZoneOutage> => {
    const { deployment, signal, newId } = context;
    const engines = deployment.engines.filter(engine => engine.availabilityZone === zone);
    const path = `availabilityZones/${zone}`;
    const sleepFraction = (fraction: number) => clock.sleep(fraction * seconds * 1_000, signal);
    await sleepFraction(zoneOutFraction);
    await changeSettings(deployment.platform, path, { state: "out" }, newId(), signal);
    const removedAt = clock.now();
    await sleepFraction(enginesColdFraction - zoneOutFraction);
    await Promise.all(engines.map(engine => setFaults(engine.addresses[0] ?? "", { turnCold: true })));
    await sleepFraction(zoneInFraction - enginesColdFraction);
    const ranks = await readAllRanks(engines);
    await changeSettings(deployment.platform, path, { state: "in" }, newId(), signal);
    return {
        removedAt,
        restoredAt: clock.now(),
        lastAdmissionAt: Math.max(...ranks.map(rank => rank.lastAdmittedAt)),
    };
};

export const zoneExperiment: Experiment = async (context, options) => {
    const { deployment } = context;
    const zone = deployment.engines[0]?.availabilityZone ?? "";
    const metrics = new PathMetrics("entry");
    await warmUp(context, options, [{ metrics: new PathMetrics("entry"), share: 1, targets: entryTargets(context) }]);
    const before = await readAllRanks(deployment.engines);
    const startedAt = systemClock.now();
    const [seconds, outage] = await Promise.all([
        runCompletionLoad(context, options, [{ metrics, share: 1, targets: entryTargets(context) }]),
        runZoneOutage(context, zone, options.seconds, systemClock),
    ]);
    const after = await readAllRanks(deployment.engines);
    const inZone = await readAllRanks(deployment.engines.filter(engine => engine.availabilityZone === zone));
    const increaseOf = (field: "crashes" | "admittedAboveColdCapacity"): number =>
        after.reduce((sum, rank, index) => sum + rank[field] - (before[index]?.[field] ?? 0), 0);
    const rows: ReportRow[] = [
        ...metrics.rows(seconds),
        { name: "failed calls", value: metrics.failed, unit: "calls", target: { kind: "at-most", value: 0 } },
        {
            name: `last new work in "${zone}" after the change was accepted`,
            value: Math.max(0, outage.lastAdmissionAt - outage.removedAt) / 1_000,
            unit: "s",
            target: { kind: "at-most", value: lastAdmissionTargetSeconds },
        },
        {
            name: "first token p95, over the run",
            value: metrics.firstToken.percentile(95),
            unit: "ms",
            target: { kind: "at-most", value: firstTokenTargetMilliseconds },
        },
        {
            name: "first token p95, worst second",
            value: metrics.worstFirstTokenP95(),
            unit: "ms",
            target: { kind: "at-most", value: firstTokenTargetMilliseconds },
        },
        {
            name: "admissions above the cold capacity",
            value: increaseOf("admittedAboveColdCapacity"),
            unit: "requests",
            target: { kind: "at-most", value: 0 },
        },
        { name: "crashes", value: increaseOf("crashes"), unit: "ranks", target: { kind: "at-most", value: 0 } },
        {
            name: `new work in "${zone}" after its return`,
            value: Math.max(...inZone.map(rank => rank.lastAdmittedAt)) > outage.restoredAt ? 1 : 0,
            unit: "1 = yes",
            target: { kind: "at-least", value: 1 },
        },
    ];
    const secondsAt = (time: number) => (time - startedAt) / 1_000;
    return {
        rows,
        charts: [{
            title: `First token while "${zone}" leaves and returns, 95th percentile of each second`,
            xLabel: "seconds",
            yLabel: "ms",
            series: [metrics.firstTokenSeries(), metrics.failureSeries()],
            marks: [{ x: secondsAt(outage.removedAt), name: "out" }, {
                x: secondsAt(outage.restoredAt),
                name: "in",
            }],
        }],
    };
};
