/**
 * Estimates what a request costs its upstream, from the caller's estimate and from the answers that this entry has seen.
 *
 * Answers requests that look alike but cause very different amounts of work, and callers' estimates that are right at
 * the median but often far off. An estimate is corrected by a line fitted to the logarithms of estimates and lengths of
 * the same route and account: where estimates tell nothing, the slope is near 0 and the usual length remains; where all
 * are off by the same factor, the offset takes it away. What was seen loses weight, so a change of traffic is followed.
 * Nothing here draws random numbers.
 */
import type { EngineProfile, Envelope, IngressRoute } from "../../state/ingressTypes.js";
import type { Clock } from "../../state/types.js";
import type { Metrics } from "../metrics.js";
import type { IngressLog } from "./ingressLog.js";
import type { StreamCost } from "./streamCost.js";

/** What an estimate of a request's cost rests on. */
export type CostSubject = {
    service: string;
    route: Pick<IngressRoute, "name">;
    clientAccount: string | undefined;
    envelope: Pick<Envelope, "promptTokens" | "maximumAnswerTokens" | "expectedAnswerTokens">;
};

/** Work of a unary request in milliseconds, and of the mean request of its service. */
export type UnaryCost = { workMilliseconds: number; meanMilliseconds: number; };

export type RequestCosts = {
    /** Undefined if the service is not routed by cost, or if too little is known. */
    streamCost: (request: CostSubject) => StreamCost | undefined;
    /** Undefined if the service is not routed by cost. */
    unaryCost: (request: CostSubject) => UnaryCost | undefined;
    /** Records the events of a complete stream. */
    recordStream: (request: CostSubject, events: number) => void;
    /** Records the time that an upstream took to answer. */
    recordUnary: (request: CostSubject, milliseconds: number) => void;
    /** The services with recent answers: how much these vary, and whether the service is routed by cost. */
    describe: () => { service: string; mean: number; variation: number; isRoutedByCost: boolean; }[];
};

export type RequestCostsOptions = {
    /** Least coefficient of variation of a service's answers; undefined: no service is routed by cost. */
    minimumVariation: number | undefined;
    profileOf: (service: string) => EngineProfile | undefined;
    clock: Pick<Clock, "now">;
    log: Pick<IngressLog, "stateChange">;
    metrics: Pick<Metrics, "count">;
};

/** Tokens in a stream's event where the engine's profile is unknown. */
const assumedStepsPerPass = 6;
/** An answer loses half of its weight in this time, but not before as many others of its kind. */
const halfLifeMilliseconds = 20_000;
const halfLifeAnswers = 64;
/** Fewer answers don't tell how much a service's answers vary. */
const minimumServiceAnswers = 16;
/** Fewer answers of a route or an account are no better guide than those of all. */
const minimumAnswers = 6;
/** Weight of the assumption that an answer's length is proportional to the estimate, in answers. */
const proportionalWeight = 2;
/** An estimate off by less counts as close in the metrics. */
const closeFactor = 2;
/** Above the routes and accounts of the deployments in use; bounds memory if accounts are many. */
const maximumKeys = 2_000;

/** Weighted sums over recent answers; those of logarithms cover the answers whose caller gave an estimate. */
type Sums = {
    weight: number;
    amount: number;
    squared: number;
    hinted: number;
    logHint: number;
    logAmount: number;
    logHintSquared: number;
    logProduct: number;
};

type Observed = { sums: Sums; at: number; };

const noSums: Sums = {
    weight: 0,
    amount: 0,
    squared: 0,
    hinted: 0,
    logHint: 0,
    logAmount: 0,
    logHintSquared: 0,
    logProduct: 0,
};

const meanOf = ({ amount, weight }: Sums): number => amount / weight;

const variationOf = ({ weight, amount, squared }: Sums): number =>
    Math.sqrt(Math.max(0, squared / weight - (amount / weight) ** 2)) / (amount / weight);

/** The length that answers with such an estimate had, by a line through the logarithms. */
const correctedHint = (hint: number, sums: Sums): number => {
    const { hinted } = sums;
    const meanHint = sums.logHint / hinted;
    const meanAmount = sums.logAmount / hinted;
    const variance = Math.max(0, sums.logHintSquared / hinted - meanHint ** 2);
    const covariance = sums.logProduct / hinted - meanHint * meanAmount;
    const assumed = proportionalWeight / hinted;
    const slope = Math.min(1, Math.max(0, (covariance + assumed) / (variance + assumed)));
    return Math.exp(meanAmount + slope * (Math.log(hint) - meanHint));
};

export const createRequestCosts = (options: RequestCostsOptions): RequestCosts => {
    const { minimumVariation, profileOf, clock, log, metrics } = options;
    const observedByKey = new Map<string, Observed>();
    const routedServices = new Set<string>();
    const services = new Set<string>();

    const serviceKey = ({ service }: CostSubject): string => service;
    const routeKey = ({ service, route }: CostSubject): string => `${service} ${route.name}`;
    const accountKey = ({ service, route, clientAccount }: CostSubject): string =>
        `${service} ${route.name} ${clientAccount ?? ""}`;

    const sumsOf = (key: string): Sums => observedByKey.get(key)?.sums ?? noSums;

    const record = (key: string, amount: number, hint: number | undefined): void => {
        const known = observedByKey.get(key) ?? { sums: noSums, at: clock.now() };
        const elapsed = (clock.now() - known.at) / halfLifeMilliseconds;
        // Ages by time, but no faster than by the number of answers.
        const remaining = 0.5 ** Math.min(elapsed, 1 / halfLifeAnswers);
        const { sums } = known;
        const isHinted = hint !== undefined && hint > 0 ? 1 : 0;
        const logHint = isHinted * Math.log(Math.max(1, hint ?? 1));
        const logAmount = isHinted * Math.log(Math.max(1, amount));
        observedByKey.delete(key);
        observedByKey.set(key, {
            at: clock.now(),
            sums: {
                weight: sums.weight * remaining + 1,
                amount: sums.amount * remaining + amount,
                squared: sums.squared * remaining + amount ** 2,
                hinted: sums.hinted * remaining + isHinted,
                logHint: sums.logHint * remaining + logHint,
                logAmount: sums.logAmount * remaining + logAmount,
                logHintSquared: sums.logHintSquared * remaining + logHint ** 2,
                logProduct: sums.logProduct * remaining + logHint * logAmount,
            },
        });
        const [oldest] = observedByKey.keys();
        if (observedByKey.size > maximumKeys && oldest !== undefined) {
            observedByKey.delete(oldest);
        }
    };

    const isRoutedByCost = (service: string): boolean => routedServices.has(service);

    const updateService = (service: string): void => {
        services.add(service);
        const sums = sumsOf(service);
        const variation = variationOf(sums);
        const isRouted = minimumVariation !== undefined && sums.weight >= minimumServiceAnswers
            && variation >= minimumVariation;
        if (isRouted !== isRoutedByCost(service)) {
            routedServices[isRouted ? "add" : "delete"](service);
            log.stateChange(isRouted ? "routing by cost" : "not routing by cost", {
                service,
                variation: Math.round(variation * 100) / 100,
                mean: Math.round(meanOf(sums)),
                minimumVariation,
            });
        }
    };

    const recordAnswer = (request: CostSubject, amount: number, hint: number | undefined): void => {
        if (minimumVariation === undefined) {
            return;
        }
        [serviceKey, routeKey, accountKey].forEach(keyOf => record(keyOf(request), amount, hint));
        updateService(request.service);
    };

    /** The sums of the account, or else of the route, with at least some answers counted by `weight`. */
    const closestSums = (request: CostSubject, weight: "weight" | "hinted"): Sums | undefined =>
        [accountKey, routeKey].map(keyOf => sumsOf(keyOf(request))).find(sums => sums[weight] >= minimumAnswers);

    const expectedAnswerTokens = (request: CostSubject, profile: EngineProfile): number => {
        const { expectedAnswerTokens: hint, maximumAnswerTokens } = request.envelope;
        const hasHint = hint !== undefined && hint > 0;
        const sums = closestSums(request, hasHint ? "hinted" : "weight");
        const expected = hasHint
            ? sums === undefined ? hint : correctedHint(hint, sums)
            : sums === undefined
            ? profile.usualAnswerTokens
            : meanOf(sums);
        return Math.min(expected, maximumAnswerTokens > 0 ? maximumAnswerTokens : Infinity);
    };

    /** Counts streams by how far off the estimate was that the entry would have made at the end. */
    const recordEstimateError = (request: CostSubject, tokens: number): void => {
        const profile = profileOf(request.service);
        if (profile !== undefined && isRoutedByCost(request.service)) {
            const factor = expectedAnswerTokens(request, profile) / Math.max(1, tokens);
            const isClose = factor < closeFactor && factor > 1 / closeFactor;
            metrics.count(`ingress_cost_estimates_total{close="${isClose}"}`);
        }
    };

    return {
        streamCost: request => {
            const profile = profileOf(request.service);
            if (profile === undefined || !isRoutedByCost(request.service)) {
                return undefined;
            }
            const { promptTokens: stated, maximumAnswerTokens } = request.envelope;
            const promptTokens = stated > 0 ? stated : profile.usualPromptTokens;
            const answerTokens = expectedAnswerTokens(request, profile);
            const heldTokens = promptTokens + (maximumAnswerTokens > 0 ? maximumAnswerTokens : answerTokens);
            metrics.count(`ingress_routed_by_cost_total{kind="stream"}`);
            return { promptTokens, answerTokens, heldTokens };
        },
        unaryCost: request => {
            if (!isRoutedByCost(request.service)) {
                return undefined;
            }
            metrics.count(`ingress_routed_by_cost_total{kind="unary"}`);
            const meanMilliseconds = meanOf(sumsOf(request.service));
            const sums = closestSums(request, "weight");
            return { workMilliseconds: sums === undefined ? meanMilliseconds : meanOf(sums), meanMilliseconds };
        },
        recordStream: (request, events) => {
            const tokens = events * (profileOf(request.service)?.stepsPerPass ?? assumedStepsPerPass);
            recordEstimateError(request, tokens);
            recordAnswer(request, tokens, request.envelope.expectedAnswerTokens);
        },
        recordUnary: (request, milliseconds) => recordAnswer(request, milliseconds, undefined),
        describe: () =>
            [...services].map(service => ({
                service,
                mean: meanOf(sumsOf(service)),
                variation: variationOf(sumsOf(service)),
                isRoutedByCost: isRoutedByCost(service),
            })),
    };
};
