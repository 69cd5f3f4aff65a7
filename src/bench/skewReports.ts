/**
 * Generates what a planner observes of a trace: each rank's load report for each second, with sampling noise, delay and
 * losses.
 */
import type { ExpertLoadReport } from "../coordination/expertLoad.js";
import { type ExpertMap, rankTimes } from "../state/expertMap.js";
import type { RandomNumber } from "../state/types.js";
import { normalRandom } from "./randomNumbers.js";
import type { TraceSecond } from "./skewTrace.js";

/** Batch size of the group, and delay and loss of its reports. */
export type ReportSettings = {
    tokensPerStep: number;
    expertsPerToken: number;
    stepsPerSecond: number;
    /** Age of a report when the planner receives it. */
    lagSeconds: number;
    /** Fraction of the reports that never arrive. */
    missingFraction: number;
};

/** A random count around `expected`, with the variance of independent choices (normal approximation). */
export const sampledCount = (expected: number, random: RandomNumber): number =>
    Math.max(0, expected + Math.sqrt(expected) * normalRandom(random));

/** Sampled number of tokens for each expert in one step, indexed by layer and expert. */
export const sampleStep = (popularity: number[][], settings: ReportSettings, random: RandomNumber): number[][] => {
    const choices = settings.tokensPerStep * settings.expertsPerToken;
    return popularity.map(layer => layer.map(part => sampledCount(part * choices, random)));
};

/** The reports for one second: one from each rank, without the lost ones. */
export const makeReports = (
    interval: number,
    truth: TraceSecond,
    map: ExpertMap,
    settings: ReportSettings,
    random: RandomNumber,
): ExpertLoadReport[] => {
    const ranks = truth.speeds.length;
    const choices = settings.tokensPerStep * settings.expertsPerToken * settings.stepsPerSecond;
    const times = map.layers.map((layer, index) => rankTimes(layer, truth.popularity[index] ?? [], truth.speeds));
    return [...truth.speeds.keys()].filter(() => random() >= settings.missingFraction).map(rank => {
        const busySeconds = times.reduce((sum, layer) => sum + (layer[rank] ?? 0), 0);
        const processedTokens = busySeconds * (truth.speeds[rank] ?? 1) * choices;
        return {
            rank,
            interval,
            counts: truth.popularity.map(layer => layer.map(part => sampledCount(part * choices / ranks, random))),
            processedTokens: sampledCount(processedTokens, random),
            busyMilliseconds: busySeconds * 1000,
        };
    });
};
