/** Interface of the experiments that run against a deployment. */
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
    /** Planned rate of requests per second. */
    ratePerSecond: number;
    seconds: number;
    /** Duration of the same load before the measurement, so that the processes have compiled their hot code. */
    warmUpSeconds: number;
    /** Number of tokens per response. */
    tokens: number;
};

export type ExperimentResult = { rows: ReportRow[]; charts: Chart[]; };

export type Experiment = (context: ExperimentContext, options: ExperimentOptions) => Promise<ExperimentResult>;
