/**
 * Plays streams of uneven prompts and answers that many entries place on lock-step groups, by counts and work of each
 * other that are some tenths of a second old.
 *
 * The entries run the product's own scheduler, estimates and table of work; the ranks are simulated pass by pass.
 */
import type { KnownUpstream } from "../../src/coordination/ingress/deploymentState.js";
import { createIngressLog } from "../../src/coordination/ingress/ingressLog.js";
import { createOutstandingWork } from "../../src/coordination/ingress/outstandingWork.js";
import { createRequestCosts } from "../../src/coordination/ingress/requestCosts.js";
import { createStreamScheduler, type StreamReservation } from "../../src/coordination/ingress/streamScheduler.js";
import { createUpstreamHealth } from "../../src/coordination/ingress/upstreamHealth.js";
import { createUpstreamPauses } from "../../src/coordination/ingress/upstreamPauses.js";
import { createMetrics } from "../../src/coordination/metrics.js";
import type { EngineProfile } from "../../src/state/ingressTypes.js";
import { noUpstreamLimits } from "./noUpstreamLimits.js";
import { seededRandom } from "./random.js";
import { toldWork } from "./toldWork.js";
import { listedUpstream } from "./upstreams.js";

export type StreamLoad = {
    entries: number;
    arrivalsPerSecond: number;
    tellMilliseconds: number;
    seconds: number;
    ranksPerGroup?: number;
    seed: number;
    /** Undefined: routed by cost nowhere. */
    minimumVariation?: number | undefined;
    /** Callers' estimates are off by up to this factor, either way. */
    hintError?: number;
    isProfileKnown?: boolean;
    /** Share of the entries that tell no work, as those of earlier builds. */
    silentShare?: number;
};

export type StreamOutcome = {
    firstEvents: number[];
    shorts: number[];
    pauses: number[];
    late: number;
    refused: number;
    total: number;
};

export const engineProfile: EngineProfile = {
    tokenMemory: 40_000,
    stepsPerPass: 6,
    millisecondsPerStep: 4.84,
    millisecondsPerStream: 0.543,
    millisecondsPerThousandContextTokens: 0,
    promptTokensPerMillisecond: 80,
    usualPromptTokens: 800,
    usualAnswerTokens: 160,
};

const groups = 3;
const slots = 7;
const readPerStep = 512;
export const objectiveMilliseconds = 400;

type Stream = {
    reservation: StreamReservation;
    heldTokens: number;
    unread: number;
    unwritten: number;
    arrivedAt: number;
    lastAt: number;
    events: number;
    finish: (events: number) => void;
};

export const playStreams = (load: StreamLoad): StreamOutcome => {
    const ranksPerGroup = load.ranksPerGroup ?? 24;
    const random = seededRandom(load.seed);
    const traffic = seededRandom(load.seed + 1_000);
    let now = 0;
    const clock = { now: () => now, sleep: () => new Promise<void>(() => undefined) };
    const log = createIngressLog(() => undefined, clock);
    const upstreams: KnownUpstream[] = [...Array(groups * ranksPerGroup).keys()].map(index => ({
        ...listedUpstream({
            id: `u${index}`,
            slots,
            group: { name: `g${index % groups}`, epoch: 1, rank: Math.floor(index / groups), isOpen: true },
        }),
        goneAt: undefined,
    }));
    const told = toldWork(load.entries);
    const profileOf = () => load.isProfileKnown === false ? undefined : engineProfile;
    const entries = [...Array(load.entries).keys()].map(entry => {
        const work = createOutstandingWork(clock, id => told.workOn(entry, id));
        const costs = createRequestCosts({
            minimumVariation: load.minimumVariation,
            profileOf,
            clock,
            log,
            metrics: createMetrics(),
        });
        const scheduler = createStreamScheduler({
            state: { usable: () => upstreams, all: () => upstreams },
            health: createUpstreamHealth(clock, log),
            pauses: createUpstreamPauses(clock, log),
            upstreamLimits: noUpstreamLimits,
            clock,
            peerStatuses: {
                runningOn: id => told.runningOn(entry, id),
                // The groups bear all their slots, so that only the placing decides.
                limitOf: () => ranksPerGroup * slots,
                countAgeSeconds: () => (load.entries - 1) * load.tellMilliseconds / 2 / 1_000,
            },
            queryEngine: async () => undefined,
            log,
            random,
            signal: new AbortController().signal,
            costRouting: { work, profileOf },
        });
        return { work, costs, scheduler };
    });
    const outcome: StreamOutcome = { firstEvents: [], shorts: [], pauses: [], late: 0, refused: 0, total: 0 };
    const streamsOf = new Map<string, Stream[]>(upstreams.map(({ id }) => [id, []]));

    const arrive = (): void => {
        const isLong = traffic() < 0.08;
        const promptTokens = Math.round((isLong ? 12_000 : 400) * (0.5 + traffic()));
        const answerTokens = Math.round((traffic() < 0.25 ? 420 : 70) * (0.5 + traffic()));
        const error = load.hintError ?? 2;
        const request = {
            service: "model",
            route: { name: "chat" },
            clientAccount: `a${Math.floor(traffic() * 6)}`,
            envelope: {
                promptTokens,
                maximumAnswerTokens: 800,
                expectedAnswerTokens: answerTokens * error ** (2 * traffic() - 1),
            },
        };
        const { scheduler, costs } = entries[Math.floor(traffic() * load.entries)]!;
        const cost = costs.streamCost(request);
        const reservation = scheduler.reserve("model", new Set(), { admissionClass: "new", cost });
        outcome.total += 1;
        if (reservation === undefined) {
            outcome.late += 1;
            outcome.refused += 1;
            return;
        }
        streamsOf.get(reservation.upstream.id)!.push({
            reservation,
            heldTokens: promptTokens + request.envelope.maximumAnswerTokens,
            unread: promptTokens,
            unwritten: answerTokens,
            arrivedAt: now,
            lastAt: now,
            events: 0,
            finish: events => costs.recordStream(request, events),
        });
    };

    /** One pass of a rank, of which the first streams have slots and the others wait; returns its duration. */
    const passOfRank = (streams: Stream[]): { milliseconds: number; events: Stream[]; } => {
        let held = 0;
        const isWaiting = streams.findIndex(({ heldTokens }, index) => {
            held += heldTokens;
            return index >= slots || held > engineProfile.tokenMemory;
        });
        const running = isWaiting < 0 ? streams : streams.slice(0, isWaiting);
        const writing = running.filter(({ unread }) => unread === 0);
        let budget = readPerStep * engineProfile.stepsPerPass;
        const events = [...writing];
        for (const stream of running) {
            const read = Math.min(budget, stream.unread);
            budget -= read;
            if (stream.unread > 0 && stream.unread === read) {
                events.push(stream);
            }
            stream.unread -= read;
        }
        const { stepsPerPass, millisecondsPerStep, millisecondsPerStream, promptTokensPerMillisecond } = engineProfile;
        const read = readPerStep * stepsPerPass - budget;
        return {
            milliseconds: stepsPerPass * (millisecondsPerStep + millisecondsPerStream * running.length)
                + read / promptTokensPerMillisecond,
            events,
        };
    };

    const receive = (stream: Stream): void => {
        const pause = now - stream.lastAt;
        if (stream.events === 0) {
            outcome.firstEvents.push(now - stream.arrivedAt);
            if (stream.heldTokens < 1_500) {
                outcome.shorts.push(now - stream.arrivedAt);
            }
            outcome.late += now - stream.arrivedAt > objectiveMilliseconds ? 1 : 0;
        }
        else {
            outcome.pauses.push(pause);
        }
        stream.reservation.recordEvent(undefined, 120);
        stream.lastAt = now;
        stream.events += 1;
        stream.unwritten -= engineProfile.stepsPerPass;
        if (stream.unwritten <= 0) {
            const streams = streamsOf.get(stream.reservation.upstream.id)!;
            streams.splice(streams.indexOf(stream), 1);
            stream.reservation.release();
            stream.finish(stream.events);
        }
    };

    const passes = [...Array(groups).keys()].map(() => ({ endsAt: 0, events: [] as Stream[] }));
    for (; now < load.seconds * 1_000; now += 1) {
        passes.forEach((pass, group) => {
            if (now < pass.endsAt) {
                return;
            }
            pass.events.forEach(receive);
            const ranks = upstreams.filter(upstream => upstream.group?.name === `g${group}`)
                .map(({ id }) => passOfRank(streamsOf.get(id)!));
            pass.events = ranks.flatMap(({ events }) => events);
            pass.endsAt = now + Math.max(...ranks.map(({ milliseconds }) => milliseconds));
        });
        entries.forEach(({ scheduler, work }, entry) => {
            if ((now + entry * 37) % load.tellMilliseconds === 0) {
                told.tell(entry, scheduler.running(), entry < load.entries * (load.silentShare ?? 0) ? {} : work.own());
            }
        });
        for (let due = load.arrivalsPerSecond / 1_000; traffic() < due; due -= 1) {
            arrive();
        }
    }
    return outcome;
};

export const percentile = (values: number[], share: number): number =>
    [...values].sort((a, b) => a - b)[Math.floor(values.length * share)] ?? NaN;
