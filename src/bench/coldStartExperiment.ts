/**
 * Cold engines under load, twice: straight at the ranks, which crash, and through the agents' gate, which must not let
 * them. Both runs get the same plan; between them the engines turn cold again.
 */
import { engineTargets, entryTargets, PathMeasures, runCompletionLoad } from "./completionLoad.js";
import { readAllRanks, setFaults } from "./controls.js";
import type { Experiment, ExperimentTools } from "./experiment.js";
import type { ReportRow } from "./report.js";

const turnAllCold = async ({ deployment }: ExperimentTools): Promise<void> => {
    await Promise.all(deployment.engines.map(engine => setFaults(engine.addresses[0] ?? "", { turnCold: true })));
};

type Growth = { crashes: number; aboveColdCapacity: number; };

/** Runs `work` on engines that have just turned cold; gives what it did to the ranks. */
const runCold = async (tools: ExperimentTools, work: () => Promise<number>): Promise<Growth & { seconds: number; }> => {
    const { deployment } = tools;
    await turnAllCold(tools);
    const before = await readAllRanks(deployment.engines);
    const seconds = await work();
    const after = await readAllRanks(deployment.engines);
    const grown = (field: "crashes" | "admittedAboveColdCapacity"): number =>
        after.reduce((sum, rank, index) => sum + rank[field] - (before[index]?.[field] ?? 0), 0);
    return { crashes: grown("crashes"), aboveColdCapacity: grown("admittedAboveColdCapacity"), seconds };
};

export const coldStartExperiment: Experiment = async (tools, options) => {
    const gated = new PathMeasures("with gate");
    const bare = new PathMeasures("without gate");
    const gatedRun = await runCold(
        tools,
        () => runCompletionLoad(tools, options, [{ measures: gated, share: 1, targets: entryTargets(tools) }]),
    );
    const bareRun = await runCold(
        tools,
        () => runCompletionLoad(tools, options, [{ measures: bare, share: 1, targets: engineTargets(tools) }]),
    );
    const rows: ReportRow[] = [
        ...gated.rows(gatedRun.seconds),
        ...bare.rows(bareRun.seconds),
        {
            name: "with gate: admissions above the cold capacity",
            value: gatedRun.aboveColdCapacity,
            unit: "requests",
            target: { kind: "at-most", value: 0 },
        },
        {
            name: "with gate: crashes",
            value: gatedRun.crashes,
            unit: "ranks",
            target: { kind: "at-most", value: 0 },
        },
        {
            name: "without gate: admissions above the cold capacity",
            value: bareRun.aboveColdCapacity,
            unit: "requests",
        },
        { name: "without gate: crashes", value: bareRun.crashes, unit: "ranks" },
    ];
    return {
        rows,
        charts: [{
            title: "First token at engines that start cold, 95th percentile of each second",
            xLabel: "seconds",
            yLabel: "ms",
            series: [gated.firstTokenSeries(), bare.firstTokenSeries(), gated.failureSeries(), bare.failureSeries()],
        }],
    };
};
