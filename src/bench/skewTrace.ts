/**
 * Seeded traces of expert popularity for the skew experiments.
 *
 * In each layer, the popularity follows a Zipf distribution in random order and drifts over time. A scenario may change
 * it suddenly or slow down a rank. The trace is the ground truth; `skewReports.ts` derives what planners observe of it.
 */
import type { GroupShape } from "../state/expertMap.js";
import type { RandomNumber } from "../state/types.js";
import { normalRandom, seededRandom, shuffled } from "./randomNumbers.js";

export type Scenario = "slow-drift" | "sudden-change" | "two-hot-experts" | "slow-rank" | "late-reports";

export const scenarios: Scenario[] = ["slow-drift", "sudden-change", "two-hot-experts", "slow-rank", "late-reports"];

/** The true popularity, indexed by layer and expert, and the rank speeds in one second of the trace. */
export type TraceSecond = { popularity: number[][]; speeds: number[]; };

export type Trace = { shape: GroupShape; scenario: Scenario; seconds: TraceSecond[]; changeAt: number; };

const zipfExponent = 0.8;
const slowRankSpeed = 0.6;
/** Standard deviation of the random walk of each expert's log popularity, per second. */
const driftPerSecond = 0.012;
/** Fraction by which the deviation returns to the long-term popularity, per second. */
const meanReversionPerSecond = 0.002;
/** Fraction of the experts that exchange their popularity at a sudden change. */
const changedFraction = 0.5;
const hotExpertShare = 0.12;

const zipfWeights = (experts: number, random: RandomNumber): number[] =>
    shuffled(experts, random).map(popularityOrder => 1 / (popularityOrder + 1) ** zipfExponent);

const normalized = (weights: number[]): number[] => {
    const total = weights.reduce((sum, weight) => sum + weight, 0);
    return weights.map(weight => weight / total);
};

/** Rotates the weights of a random `changedFraction` of the experts among themselves. */
const permuteWeights = (weights: number[], random: RandomNumber): number[] => {
    const movedExperts = shuffled(weights.length, random).slice(0, Math.floor(weights.length * changedFraction));
    const permuted = weights.slice();
    movedExperts.forEach((expert, index) => {
        permuted[expert] = weights[movedExperts[(index + 1) % movedExperts.length] as number] as number;
    });
    return permuted;
};

/** Gives each of two random experts a share of `hotExpertShare` of the tokens. */
const addHotExperts = (weights: number[], random: RandomNumber): number[] => {
    const [first, second] = shuffled(weights.length, random);
    const rest = weights.reduce((sum, weight, expert) => expert === first || expert === second ? sum : sum + weight, 0);
    const hot = rest * hotExpertShare / (1 - 2 * hotExpertShare);
    return weights.map((weight, expert) => expert === first || expert === second ? hot : weight);
};

type LayerState = { baseWeights: number[]; logDeviations: number[]; };

const drift = (layer: LayerState, random: RandomNumber): void => {
    layer.logDeviations = layer.logDeviations.map(value =>
        value * (1 - meanReversionPerSecond) + driftPerSecond * normalRandom(random)
    );
};

const popularityOf = (layer: LayerState): number[] =>
    normalized(layer.baseWeights.map((weight, expert) => weight * Math.exp(layer.logDeviations[expert] ?? 0)));

type Change = (layer: LayerState, random: RandomNumber) => void;

const noChange: Change = () => undefined;

/** The change of each scenario at the middle of the trace; `slow-rank` changes a rank's speed instead. */
const changes: Record<Scenario, Change> = {
    "slow-drift": noChange,
    "sudden-change": (layer, random) => layer.baseWeights = permuteWeights(layer.baseWeights, random),
    "two-hot-experts": (layer, random) => layer.baseWeights = addHotExperts(layer.baseWeights, random),
    "slow-rank": noChange,
    "late-reports": (layer, random) => layer.baseWeights = permuteWeights(layer.baseWeights, random),
};

/** Generates a trace; the change of the scenario occurs in the middle. */
export const makeTrace = (shape: GroupShape, scenario: Scenario, durationSeconds: number, seed: number): Trace => {
    const random = seededRandom(seed);
    const layers: LayerState[] = Array.from({ length: shape.layers }, () => ({
        baseWeights: zipfWeights(shape.experts, random),
        logDeviations: new Array<number>(shape.experts).fill(0),
    }));
    const slowRank = Math.floor(random() * shape.ranks);
    const changeAt = Math.floor(durationSeconds / 2);
    const seconds: TraceSecond[] = [];
    for (let second = 0; second < durationSeconds; second++) {
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
