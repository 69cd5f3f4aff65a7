/**
 * Compares the routing and admission policies with simpler ones, by simulation with virtual clocks and seeded random
 * numbers.
 */
import { err, ok } from "neverthrow";
import { chooseUpstream, projectedLoad } from "../coordination/chooseUpstream.js";
import { createRetryBudget } from "../coordination/retryBudget.js";
import { createRetryPolicy } from "../coordination/retryPolicy.js";
import type { RandomNumber } from "../state/types.js";
import { runAccountLimitModel, type SharePolicy } from "./accountLimitModel.js";
import { runColdStartModel } from "./coldStartModel.js";
import { runQueueModel } from "./fairQueueModel.js";
import { seededRandom } from "./randomNumbers.js";
import type { ReportRow } from "./report.js";
import { type ChoicePolicy, runRoutingModel } from "./routingModel.js";

const twoChoices: ChoicePolicy = (views, { avoidedHosts }, random) => chooseUpstream(views, { avoidedHosts }, random);

/** Power of two choices, by the number of tokens that each upstream still has to generate. */
const twoChoicesByOutstandingTokens: ChoicePolicy = (views, request, random) =>
    chooseUpstream(views.map(view => ({ ...view, running: view.outstandingTokens / 1_000 })), request, random);

const choicePolicies: Record<string, ChoicePolicy> = {
    "random": (views, request, random) => {
        const view = views[Math.floor(random() * views.length)];
        return view === undefined ? err("none") : ok(view);
    },
    "least of all": views => {
        const best = [...views].sort((left, right) => projectedLoad(left) - projectedLoad(right))[0];
        return best === undefined ? err("none") : ok(best);
    },
    "two choices by outstanding tokens": (views, { avoidedHosts }, random) =>
        twoChoicesByOutstandingTokens(views, { avoidedHosts }, random),
    "two choices": twoChoices,
    "prefix, then two choices": chooseUpstream,
};

const ratesPerSecond = [120, 240];

const choiceRows = (seed: number): ReportRow[] =>
    ratesPerSecond.flatMap(ratePerSecond =>
        Object.entries(choicePolicies).flatMap(([policyName, policy]) => {
            const { skew, stepMilliseconds, firstToken, prefixHitRatio, refusalsPerRequest } = runRoutingModel({
                entries: 6,
                ranks: 32,
                policy,
                ratePerSecond,
                seconds: 60,
                random: seededRandom(seed),
            });
            const name = `${ratePerSecond}/s, ${policyName}`;
            return [
                { name: `${name}: running requests, most ÷ mean`, value: skew, unit: "" },
                { name: `${name}: step p95`, value: stepMilliseconds.percentile(95), unit: "ms" },
                { name: `${name}: first token p95`, value: firstToken.percentile(95), unit: "ms" },
                { name: `${name}: prefix in the cache`, value: prefixHitRatio * 100, unit: "%" },
                { name: `${name}: gate refusals a request`, value: refusalsPerRequest, unit: "" },
            ];
        })
    );

const coldStartRows = (): ReportRow[] =>
    Object.entries({
        "no gate": { hasAdmissionControl: false, warmUpTokens: 0 },
        "gate": { hasAdmissionControl: true, warmUpTokens: 2_000 },
        "gate told far too little evidence": { hasAdmissionControl: true, warmUpTokens: 50 },
    }).flatMap(([name, options]) => {
        const { crashes, interruptedRequests, completed, secondsToCapacity } = runColdStartModel(options);
        return [
            { name: `cold start, ${name}: crashes in 120 s`, value: crashes, unit: "" },
            { name: `cold start, ${name}: requests cut`, value: interruptedRequests, unit: "" },
            { name: `cold start, ${name}: requests completed`, value: completed, unit: "" },
            { name: `cold start, ${name}: time to capacity`, value: secondsToCapacity ?? Infinity, unit: "s" },
        ];
    });

/** Average number of attempts per request when a fraction `failureRatio` of the attempts fails. */
const attemptsPerRequest = (failureRatio: number, hasBudget: boolean, random: RandomNumber): number => {
    let now = 0;
    const requests = 12_000;
    const budget = createRetryBudget({ now: () => now }, () => 0.1);
    let attempts = 0;
    for (let request = 0; request < requests; request += 1) {
        now += 5;
        budget.recordRequest();
        const policy = createRetryPolicy(2, hasBudget ? budget.takeRetry : () => true);
        do {
            attempts += 1;
        }
        while (random() < failureRatio && policy.mayRetry({ kind: "cut", reason: "timeout" }, false));
    }
    return attempts / requests;
};

const retryRows = (seed: number): ReportRow[] =>
    [0.05, 0.5, 1].flatMap(failureRatio =>
        [true, false].map(hasBudget => ({
            name: `retries, ${failureRatio * 100}% of attempts fail, ${
                hasBudget ? "budget" : "no budget"
            }: attempts a request`,
            value: attemptsPerRequest(failureRatio, hasBudget, seededRandom(seed)),
            unit: "",
        }))
    );

const accountRows = (seed: number): ReportRow[] =>
    [3, 9, 20].flatMap(entries =>
        (["by-demand", "equal", "whole"] satisfies SharePolicy[]).flatMap(policy => {
            const { peakTenSecondRatio, singleEntryRatio } = runAccountLimitModel(
                policy,
                entries,
                0.1,
                seededRandom(seed),
            );
            const name = `account limit, ${entries} entries, shares ${policy}`;
            return [
                { name: `${name}: worst ten seconds ÷ limit`, value: peakTenSecondRatio, unit: "" },
                { name: `${name}: alone at one entry ÷ limit`, value: singleEntryRatio, unit: "" },
            ];
        })
    );

const queueRows = async (seed: number): Promise<ReportRow[]> => {
    const rows: ReportRow[] = [];
    for (const order of ["first come", "fair"] as const) {
        const { smallAccount, largeAccount, refusedPercent } = await runQueueModel(order, seededRandom(seed));
        rows.push(
            { name: `queue, ${order}: small account's wait p95`, value: smallAccount.percentile(95), unit: "ms" },
            { name: `queue, ${order}: large account's wait p95`, value: largeAccount.percentile(95), unit: "ms" },
            { name: `queue, ${order}: small account's requests refused`, value: refusedPercent, unit: "%" },
        );
    }
    return rows;
};

/** Runs all comparisons and returns them as rows of a report. */
export const routingExperiment = async (seed: number): Promise<ReportRow[]> => [
    ...choiceRows(seed),
    ...coldStartRows(),
    ...retryRows(seed),
    ...await queueRows(seed),
    ...accountRows(seed),
];
