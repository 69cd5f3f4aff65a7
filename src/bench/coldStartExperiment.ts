/**
 * Loads cold engines twice: through the entries and agents, whose admission control must prevent crashes, and directly
 * at the ranks, which are expected to crash. Both runs have the same rate and duration and start with cold engines.
 */
import { engineTargets, entryTargets, PathMetrics, runCompletionLoad } from "./completionLoad.js";
import { readAllRanks, setFaults } from "./deploymentControls.js";
import type { Experiment, ExperimentContext } from "./experiment.js";
import type { ReportRow } from "./report.js";

const resetEnginesToCold = async ({ deployment }: ExperimentContext): Promise<void> => {
    await Promise.all(deployment.engines.map(engine => setFaults(engine.addresses[0] ?? "", { turnCold: true })));
};

type ColdStartCounters = { crashes: number; aboveColdCapacity: number; };

/** Resets the engines to cold, runs `runLoad`, and returns its duration and the increase of the ranks' counters. */
const measureColdRun = async (
    context: ExperimentContext,
    runLoad: () => Promise<number>,
): Promise<ColdStartCounters & { seconds: number; }> => {
    const { deployment } = context;
    await resetEnginesToCold(context);
    const before = await readAllRanks(deployment.engines);
    const seconds = await runLoad();
    const after = await readAllRanks(deployment.engines);
    const increaseOf = (field: "crashes" | "admittedAboveColdCapacity"): number =>
        after.reduce((sum, rank, index) => sum + rank[field] - (before[index]?.[field] ?? 0), 0);
    return { crashes: increaseOf("crashes"), aboveColdCapacity: increaseOf("admittedAboveColdCapacity"), seconds };
};

export const coldStartExperiment: Experiment = async (context, options) => {
    const controlled = new PathMetrics("with gate");
    const uncontrolled = new PathMetrics("without gate");
    const controlledRun = await measureColdRun(
        context,
        () => runCompletionLoad(context, options, [{ metrics: controlled, share: 1, targets: entryTargets(context) }]),
    );
    const uncontrolledRun = await measureColdRun(
        context,
        () =>
            runCompletionLoad(context, options, [{ metrics: uncontrolled, share: 1, targets: engineTargets(context) }]),
    );
    const rows: ReportRow[] = [
        ...controlled.rows(controlledRun.seconds),
        ...uncontrolled.rows(uncontrolledRun.seconds),
        {
            name: "with gate: admissions above the cold capacity",
            value: controlledRun.aboveColdCapacity,
            unit: "requests",
            target: { kind: "at-most", value: 0 },
        },
        {
            name: "with gate: crashes",
            value: controlledRun.crashes,
            unit: "ranks",
            target: { kind: "at-most", value: 0 },
        },
        {
            name: "without gate: admissions above the cold capacity",
            value: uncontrolledRun.aboveColdCapacity,
            unit: "requests",
        },
        { name: "without gate: crashes", value: uncontrolledRun.crashes, unit: "ranks" },
    ];
    return {
        rows,
        charts: [{
            title: "First token at engines that start cold, 95th percentile of each second",
            xLabel: "seconds",
            yLabel: "ms",
            series: [
                controlled.firstTokenSeries(),
                uncontrolled.firstTokenSeries(),
                controlled.failureSeries(),
                uncontrolled.failureSeries(),
            ],
        }],
    };
};
