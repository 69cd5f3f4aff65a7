/**
 * Simulates one lock-step group behind several entries on a virtual clock, to compare policies for choosing a rank.
 *
 * The upstream directory and the admission controllers are the production modules; only the engine and the network are
 * simulated. Every running request generates one token per step, and a step takes as long as the rank with the most
 * requests needs.
 */
import type { Result } from "neverthrow";
import { createAdmissionController, type Permit } from "../coordination/admissionController.js";
import type { ChoiceCriteria, ChoiceFailure } from "../coordination/chooseUpstream.js";
import {
    createUpstreamDirectory,
    type InFlightRequest,
    type UpstreamDirectory,
    type UpstreamView,
} from "../coordination/upstreamDirectory.js";
import type { HostRecord, RandomNumber } from "../state/types.js";
import { LatencyHistogram } from "./measurements.js";

export type ChoicePolicy = (
    views: readonly UpstreamView[],
    request: ChoiceCriteria,
    random: RandomNumber,
) => Result<UpstreamView, ChoiceFailure>;

export type RoutingModelOptions = {
    entries: number;
    ranks: number;
    policy: ChoicePolicy;
    ratePerSecond: number;
    seconds: number;
    random: RandomNumber;
};

export type RoutingModelResult = {
    /** Running requests of the most loaded rank divided by the mean of all ranks, averaged over the steps. */
    skew: number;
    stepMilliseconds: LatencyHistogram;
    /** Time from the arrival of a request to its first token. */
    firstToken: LatencyHistogram;
    /** Fraction of the requests whose prefix was in the prefix cache of their rank. */
    prefixHitRatio: number;
    /** Refusals by the admission controllers per request served. */
    refusalsPerRequest: number;
};

type ModelRequest = { arrivedAt: number; entry: UpstreamDirectory; tokens: number; prefix: string; };

type RunningRequest = ModelRequest & {
    permit: Permit;
    inFlight: InFlightRequest;
    remainingTokens: number;
    hasToken: boolean;
};

const target = "groups/model";
const baseStepMilliseconds = 12;
const stepMillisecondsPerRequest = 0.5;
const capacity = 64;
const loadPollMilliseconds = 1_000;
const prefixCount = 200;
const cachedPrefixesPerRank = 16;

/** Response length: 90 % are short (20 to 99 tokens), 10 % are long (400 to 799 tokens). */
const randomTokenCount = (random: RandomNumber): number =>
    random() < 0.1 ? 400 + Math.floor(random() * 400) : 20 + Math.floor(random() * 80);

const createHostRecord = (rank: number): HostRecord => ({
    host: `rank-${rank}`,
    availabilityZone: "zone",
    role: "upstream",
    state: "live",
    address: `127.0.0.1:${10_000 + rank}`,
    serves: { kind: "group", group: "model", rank },
});

/** Simulates `options.seconds` and measures all but the first fifth, which is the warm-up. */
export const runRoutingModel = (options: RoutingModelOptions): RoutingModelResult => {
    const { random } = options;
    let now = 0;
    const clock = { now: () => now };
    const hosts = [...Array(options.ranks).keys()].map(createHostRecord);
    const settings = { capacity, coldCapacity: capacity, stepTimeBoundMilliseconds: 1_000 };
    const admissionControllers = new Map(
        hosts.map(({ host }) => [host, createAdmissionController({ clock, settings: () => settings })]),
    );
    const running = new Map(hosts.map(({ host }) => [host, new Set<RunningRequest>()]));
    const entries = [...Array(options.entries).keys()].map(entry => {
        const directory = createUpstreamDirectory({
            clock,
            host: `entry-${entry}`,
            availabilityZone: "zone",
            isZoneOutOfService: () => false,
        });
        directory.replaceHosts(1, hosts);
        return directory;
    });
    let waiting: ModelRequest[] = [];
    let pendingMilliseconds = 0;
    const caches = new Map(hosts.map(({ host }) => [host, new Set<string>()]));
    let prefixHits = 0;
    let refusals = 0;
    let served = 0;
    let skewSum = 0;
    let steps = 0;
    const stepMilliseconds = new LatencyHistogram();
    const firstToken = new LatencyHistogram();
    const isMeasured = (): boolean => now > options.seconds * 200;

    const addArrivals = (milliseconds: number): void => {
        // Exponential inter-arrival times give the bursts that independent callers cause.
        pendingMilliseconds += milliseconds;
        for (let gapMilliseconds = 0; pendingMilliseconds > 0; pendingMilliseconds -= gapMilliseconds) {
            gapMilliseconds = -Math.log(1 - random()) * 1_000 / options.ratePerSecond;
            waiting.push({
                arrivedAt: now,
                entry: entries[Math.floor(random() * entries.length)] as UpstreamDirectory,
                tokens: randomTokenCount(random),
                prefix: `prefix ${Math.floor(prefixCount * random() ** 2)}`,
            });
        }
    };

    const tryStart = (request: ModelRequest): boolean => {
        const { entry, tokens, prefix } = request;
        const choice = options.policy(entry.upstreams(target), { prefix, avoidedHosts: new Set() }, random);
        if (choice.isErr()) {
            return false;
        }
        const { host } = choice.value.record;
        const admissionController = admissionControllers.get(host);
        const inFlight = entry.beginRequest(host, tokens);
        const permit = admissionController?.admit({ tokens, migratable: true });
        if (permit?.isOk() !== true) {
            refusals += isMeasured() ? 1 : 0;
            inFlight.end(admissionController?.load());
            return false;
        }
        running.get(host)?.add({
            ...request,
            permit: permit.value,
            inFlight,
            remainingTokens: tokens,
            hasToken: false,
        });
        return true;
    };

    const recordPrefixUse = (host: string, prefix: string): void => {
        const cache = caches.get(host) ?? new Set();
        prefixHits += isMeasured() && cache.delete(prefix) ? 1 : 0;
        cache.delete(prefix);
        cache.add(prefix);
        const [oldest] = cache;
        if (cache.size > cachedPrefixesPerRank && oldest !== undefined) {
            cache.delete(oldest);
        }
    };

    const generateToken = (host: string, request: RunningRequest): void => {
        request.remainingTokens -= 1;
        request.permit.recordTokens(1);
        request.inFlight.recordTokens(1);
        if (!request.hasToken && isMeasured()) {
            firstToken.record(now - request.arrivedAt);
            served += 1;
            recordPrefixUse(host, request.prefix);
        }
        request.hasToken = true;
        if (request.remainingTokens === 0) {
            running.get(host)?.delete(request);
            request.permit.release({ result: "completed", tokens: request.tokens });
            request.inFlight.end(admissionControllers.get(host)?.load());
        }
    };

    const pollLoad = (): void => {
        for (const entry of entries) {
            for (const { host } of hosts) {
                const load = admissionControllers.get(host)?.load();
                if (load !== undefined && now - entry.lastContact(host).lastHeardAt >= loadPollMilliseconds) {
                    entry.observeLoad(host, load);
                }
            }
        }
    };

    while (now < options.seconds * 1_000) {
        pollLoad();
        waiting = waiting.filter(request => !tryStart(request));
        const counts = [...running.values()].map(requests => requests.size);
        const maximumRunning = Math.max(...counts);
        const milliseconds = baseStepMilliseconds + stepMillisecondsPerRequest * maximumRunning;
        now += milliseconds;
        if (isMeasured()) {
            const mean = counts.reduce((sum, count) => sum + count, 0) / counts.length;
            skewSum += mean === 0 ? 1 : maximumRunning / mean;
            steps += 1;
            stepMilliseconds.record(milliseconds);
        }
        running.forEach((requests, host) => requests.forEach(request => generateToken(host, request)));
        addArrivals(milliseconds);
    }
    return {
        skew: skewSum / steps,
        stepMilliseconds,
        firstToken,
        prefixHitRatio: prefixHits / served,
        refusalsPerRequest: refusals / served,
    };
};
