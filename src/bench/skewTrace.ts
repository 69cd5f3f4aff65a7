/**
 * Seeded traces of expert popularity for the skew experiments.
 *
 * Popularity is a shuffled Zipf law in each layer. A scenario changes it over time or changes the speed of a rank. The
 * trace is the truth; what planners see of it is made by `skewReports.ts`.
 */
import type { GroupShape } from "../state/expertMap.js";
import type { RandomNumber } from "../state/types.js";
import { normalRandom, seededRandom, shuffled } from "./randomNumbers.js";

export type Scenario = "slow-drift" | "sudden-change" | "two-hot-experts" | "slow-rank" | "late-reports";

export const scenarios: Scenario[] = ["slow-drift", "sudden-change", "two-hot-experts", "slow-rank", "late-reports"];

/** The true popularity and rank speeds in one second of the trace. */
export type TraceSecond = { popularity: number[][]; speeds: number[]; };

export type Trace = { shape: GroupShape; scenario: Scenario; seconds: TraceSecond[]; changeAt: number; };

const zipfExponent = 0.8;
const slowRankSpeed = 0.6;
/** Standard deviation of the daily-life wander of each expert's log popularity, for each second. */
const driftEachSecond = 0.012;
/** Pull of the wander back to the long-term popularity, for each second. */
const driftReturn = 0.002;
/** Part of the experts whose places in the popularity order are drawn anew at a sudden change. */
const changedPart = 0.5;
const hotShare = 0.12;

const zipfWeights = (experts: number, random: RandomNumber): number[] =>
    shuffled(experts, random).map(place => 1 / (place + 1) ** zipfExponent);

const normalised = (weights: number[]): number[] => {
    const total = weights.reduce((sum, weight) => sum + weight, 0);
    return weights.map(weight => weight / total);
};

/** Exchanges the weights of half of the experts among themselves. */
const changeSuddenly = (weights: number[], random: RandomNumber): number[] => {
    const moved = shuffled(weights.length, random).slice(0, Math.floor(weights.length * changedPart));
    const changed = weights.slice();
    moved.forEach((expert, turn) => {
        changed[expert] = weights[moved[(turn + 1) % moved.length] as number] as number;
    });
    return changed;
};

/** Gives two experts together `2 × hotShare` of the tokens. */
const heatTwo = (weights: number[], random: RandomNumber): number[] => {
    const [first, second] = shuffled(weights.length, random);
    const rest = weights.reduce((sum, weight, expert) => expert === first || expert === second ? sum : sum + weight, 0);
    const hot = rest * hotShare / (1 - 2 * hotShare);
    return weights.map((weight, expert) => expert === first || expert === second ? hot : weight);
};

type LayerState = { base: number[]; wander: number[]; };

const drift = (layer: LayerState, random: RandomNumber): void => {
    layer.wander = layer.wander.map(value => value * (1 - driftReturn) + driftEachSecond * normalRandom(random));
};

const popularityOf = (layer: LayerState): number[] =>
    normalised(layer.base.map((weight, expert) => weight * Math.exp(layer.wander[expert] ?? 0)));

type Change = (layer: LayerState, random: RandomNumber) => void;

const noChange: Change = () => undefined;

/** What happens in the middle of the trace. */
const changes: Record<Scenario, Change> = {
    "slow-drift": noChange,
    "sudden-change": (layer, random) => layer.base = changeSuddenly(layer.base, random),
    "two-hot-experts": (layer, random) => layer.base = heatTwo(layer.base, random),
    "slow-rank": noChange,
    "late-reports": (layer, random) => layer.base = changeSuddenly(layer.base, random),
};

/** Makes a trace; the change of the scenario comes at half time. */
export const makeTrace = (shape: GroupShape, scenario: Scenario, duration: number, seed: number): Trace => {
    const random = seededRandom(seed);
    const layers: LayerState[] = Array.from({ length: shape.layers }, () => ({
        base: zipfWeights(shape.experts, random),
        wander: new Array<number>(shape.experts).fill(0),
    }));
    const slowRank = Math.floor(random() * shape.ranks);
    const changeAt = Math.floor(duration / 2);
    const seconds: TraceSecond[] = [];
    for (let second = 0; second < duration; second++) {
        if (second === changeAt) {
            layers.forEach(layer => changes[scenario](layer, random));
        }
        layers.forEach(layer => drift(layer, random));
        const speeds = new Array<number>(shape.ranks).fill(1);
        if (scenario === "slow-rank" && second >= changeAt) {
            speeds[slowRank] = slowRankSpeed;
        }
        seconds.push({ popularity: layers.map(popularityOf), speeds });
    }
    return { shape, scenario, seconds, changeAt };
};
