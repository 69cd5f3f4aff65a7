/**
 * Report of one run: a table on standard output, JSON and SVG files, and a comparison with an earlier run.
 */
import { mkdir, readFile, writeFile } from "node:fs/promises";
import { availableParallelism, totalmem } from "node:os";
import { join } from "node:path";
import { type Chart, drawChart } from "./svgChart.js";

/** One measurement of the report; `unit` is the unit of `value`, and `target` is its acceptance bound. */
export type ReportRow = { name: string; value: number; unit: string; target?: RowTarget; };

export type RowTarget = { kind: "at-most" | "at-least"; value: number; };

export type RunIdentity = {
    experiment: string;
    seed: number;
    commit: string;
    machine: { cores: number; memoryGigabytes: number; node: string; };
    startedAt: string;
    /** The options of the run. */
    options: Record<string, unknown>;
};

export type Report = { run: RunIdentity; rows: ReportRow[]; charts: Chart[]; };

const bytesPerGigabyte = 2 ** 30;

/** Describes the run: experiment, seed, commit, options and the size of this machine. */
export const identifyRun = (
    experiment: string,
    seed: number,
    commit: string,
    options: Record<string, unknown>,
): RunIdentity => ({
    experiment,
    seed,
    commit,
    machine: {
        cores: availableParallelism(),
        memoryGigabytes: Math.round(totalmem() / bytesPerGigabyte),
        node: process.version,
    },
    startedAt: new Date().toISOString(),
    options,
});

const targetChecks: Record<RowTarget["kind"], { sign: string; isMet: (value: number, limit: number) => boolean; }> = {
    "at-most": { sign: "≤", isMet: (value, limit) => value <= limit },
    "at-least": { sign: "≥", isMet: (value, limit) => value >= limit },
};

/** Whether the row meets its target; a row without a target always does. */
export const meetsTarget = ({ value, target }: ReportRow): boolean =>
    target === undefined || targetChecks[target.kind].isMet(value, target.value);

const formatNumber = (value: number): string =>
    Number.isInteger(value) ? String(value) : value.toFixed(Math.abs(value) < 10 ? 3 : 1);

const tableCells = (row: ReportRow, earlier: Report | undefined): string[] => {
    const { name, value, unit, target } = row;
    const verdict = target === undefined
        ? ""
        : `${targetChecks[target.kind].sign} ${formatNumber(target.value)} ${meetsTarget(row) ? "met" : "MISSED"}`;
    const before = earlier?.rows.find(other => other.name === name)?.value;
    const comparison = earlier === undefined ? [] : [before === undefined ? "-" : formatNumber(before)];
    return [name, formatNumber(value), unit, verdict, ...comparison];
};

/** Formats the report as a plain-text table; `earlier` adds a column with the values of an earlier run. */
export const formatTable = (report: Report, earlier?: Report): string => {
    const { experiment, seed, commit, machine } = report.run;
    const heading = ["measure", "value", "unit", "target", ...(earlier === undefined ? [] : ["earlier"])];
    const lines = [heading, ...report.rows.map(row => tableCells(row, earlier))];
    const widths = [...heading.keys()].map(column => Math.max(...lines.map(cells => (cells[column] ?? "").length)));
    const table = lines.map(cells =>
        cells.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join("  ").trimEnd()
    );
    const size = `${machine.cores} cores, ${machine.memoryGigabytes} GB, node ${machine.node}`;
    return [`${experiment}: seed ${seed}, commit ${commit}, ${size}`, ...table, ""].join("\n");
};

/**
 * Prints the table and, if `directory` is set, writes `<experiment>.json` and the charts to it. `compareWith` is the
 * JSON file of an earlier run.
 */
export const publishReport = async (
    report: Report,
    directory: string | undefined,
    compareWith: string | undefined,
): Promise<void> => {
    const earlier = compareWith === undefined ? undefined : JSON.parse(await readFile(compareWith, "utf8")) as Report;
    process.stdout.write(formatTable(report, earlier));
    if (directory === undefined) {
        return;
    }
    await mkdir(directory, { recursive: true });
    const { experiment } = report.run;
    await writeFile(join(directory, `${experiment}.json`), `${JSON.stringify(report, undefined, 4)}\n`);
    for (const [index, chart] of report.charts.entries()) {
        const suffix = index === 0 ? "" : `-${index + 1}`;
        await writeFile(join(directory, `${experiment}${suffix}.svg`), drawChart(chart));
    }
};
