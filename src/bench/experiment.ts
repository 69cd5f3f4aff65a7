/** What every experiment of the bench is given and gives back. */
import type { RandomNumber } from "../state/types.js";
import type { Deployment } from "./deployment.js";
import type { ReportRow } from "./report.js";
import type { Chart } from "./svgChart.js";

export type ExperimentContext = {
    deployment: Deployment;
    random: RandomNumber;
    newId: () => string;
    signal: AbortSignal;
};

export type ExperimentOptions = {
    /** Requests a second that callers plan. */
    ratePerSecond: number;
    seconds: number;
    /** Length of the same load before the measured one, so that the processes have compiled their code. */
    warmUpSeconds: number;
    /** Tokens of one answer. */
    tokens: number;
};

export type ExperimentResult = { rows: ReportRow[]; charts: Chart[]; };

export type Experiment = (context: ExperimentContext, options: ExperimentOptions) => Promise<ExperimentResult>;
