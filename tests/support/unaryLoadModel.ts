/**
 * Plays unary requests that many entries place on the servers of one service, by counts of each other that are some
 * tenths of a second old.
 *
 * The entries run the product's own scheduler and response times; the servers, each with a queue before its slots, and
 * the callers are simulated by the millisecond.
 */
import type { KnownUpstream } from "../../src/coordination/ingress/deploymentState.js";
import { createIngressLog } from "../../src/coordination/ingress/ingressLog.js";
import { createOutstandingWork } from "../../src/coordination/ingress/outstandingWork.js";
import { type CostSubject, createRequestCosts } from "../../src/coordination/ingress/requestCosts.js";
import { createResponseTimes } from "../../src/coordination/ingress/responseTimes.js";
import { createUnaryScheduler, type UnaryScheduler } from "../../src/coordination/ingress/unaryScheduler.js";
import { createUpstreamHealth } from "../../src/coordination/ingress/upstreamHealth.js";
import { createUpstreamPauses } from "../../src/coordination/ingress/upstreamPauses.js";
import { createMetrics } from "../../src/coordination/metrics.js";
import { noUpstreamLimits } from "./noUpstreamLimits.js";
import { seededRandom } from "./random.js";
import { toldWork } from "./toldWork.js";
import { listedUpstream } from "./upstreams.js";

export type UnaryLoad = {
    entries: number;
    servers: number;
    /** Work in progress as a share of all slots, if it were spread evenly. */
    load: number;
    /** Interval at which an entry tells the others its counts. */
    tellMilliseconds: number;
    seed?: number;
    /** Routes by their share of the requests and their work relative to the mean; one route if not given. */
    routes?: { share: number; work: number; }[];
    /** Undefined: not routed by cost. */
    minimumVariation?: number;
    /** Share of the entries that tell no work, as those of earlier builds. */
    silentShare?: number;
};

export type UnaryLoadModel = {
    /** Plays the load for some milliseconds. */
    play: (milliseconds: number) => void;
    /** Makes the work of a server `factor` times as long for requests that arrive from now on. */
    slowDown: (server: number, factor: number) => void;
    /** Takes a server away, with all requests there answered, until `comeBack`. */
    takeAway: (server: number) => void;
    /** Lists a server that was taken away, under another id. */
    comeBack: (server: number) => void;
    /** Number of requests that arrived at each server since the last call. */
    takeArrivals: () => number[];
    /** Times from request to answer since the last call. */
    takeAnswerTimes: () => number[];
    /** Mean time that requests waited for a slot since the last call. */
    takeMeanWait: () => number;
    now: () => number;
};

const zones = ["medina", "centre", "nord"];
const slotsPerServer = 6;
const meanWorkMilliseconds = 60;
const networkMilliseconds = 2;

type Server = {
    upstream: KnownUpstream;
    isListed: boolean;
    factor: number;
    /** When each slot is free again. */
    slotsFreeAt: number[];
};

type Entry = {
    scheduler: UnaryScheduler;
    responseTimes: ReturnType<typeof createResponseTimes>;
    costs: ReturnType<typeof createRequestCosts>;
    work: ReturnType<typeof createOutstandingWork>;
};

export const startUnaryLoadModel = (load: UnaryLoad): UnaryLoadModel => {
    const random = seededRandom(load.seed ?? 1);
    let now = 0;
    const clock = { now: () => now };
    const log = createIngressLog(() => undefined, clock);
    const servers: Server[] = [...Array(load.servers).keys()].map(index => ({
        upstream: {
            ...listedUpstream({
                id: `s${index}-1`,
                service: "plain",
                slots: slotsPerServer,
                availabilityZone: zones[index % zones.length] as string,
            }),
            goneAt: undefined,
        },
        isListed: true,
        factor: 1,
        slotsFreeAt: Array<number>(slotsPerServer).fill(0),
    }));
    const told = toldWork(load.entries);
    const routes = load.routes ?? [{ share: 1, work: 1 }];
    const { minimumVariation } = load;
    const metrics = createMetrics();
    const entries: Entry[] = [...Array(load.entries).keys()].map(index => {
        const responseTimes = createResponseTimes(clock, random);
        const work = createOutstandingWork(clock, id => told.workOn(index, id));
        const costs = createRequestCosts({ minimumVariation, profileOf: () => undefined, clock, log, metrics });
        const scheduler = createUnaryScheduler({
            state: { usable: () => servers.filter(({ isListed }) => isListed).map(({ upstream }) => upstream) },
            health: createUpstreamHealth(clock, log),
            responseTimes,
            pauses: createUpstreamPauses(clock, log),
            upstreamLimits: noUpstreamLimits,
            availabilityZone: zones[index % zones.length] as string,
            runningOnOtherEntries: id => told.runningOn(index, id),
            random,
            work,
        });
        return { scheduler, responseTimes, costs, work };
    });

    const tell = (index: number): void => {
        const { scheduler, work } = entries[index] as Entry;
        told.tell(index, scheduler.running(), index < load.entries * (load.silentShare ?? 0) ? {} : work.own());
    };

    const arrivals = servers.map(() => 0);
    let waits: number[] = [];
    const answerTimes: number[] = [];
    const answers: { at: number; receive: () => void; }[] = [];

    const drawRoute = (): number => {
        let remaining = routes.length > 1 ? random() : 0;
        return Math.max(0, routes.findIndex(({ share }) => (remaining -= share) < 0));
    };

    const request = ({ scheduler, responseTimes, costs }: Entry): void => {
        const route = drawRoute();
        const subject: CostSubject = {
            service: "plain",
            route: { name: `route-${route}` },
            clientAccount: "a",
            envelope: { promptTokens: 0, maximumAnswerTokens: 0, expectedAnswerTokens: undefined },
        };
        const cost = costs.unaryCost(subject);
        const reservation = scheduler.reserve("plain", new Set(), false, cost);
        const index = servers.findIndex(({ upstream }) => upstream === reservation?.upstream);
        const server = servers[index];
        if (reservation === undefined || server === undefined) {
            return;
        }
        arrivals[index] = (arrivals[index] ?? 0) + 1;
        const firstFree = server.slotsFreeAt.indexOf(Math.min(...server.slotsFreeAt));
        const arrivesAt = now + networkMilliseconds;
        const startsAt = Math.max(arrivesAt, server.slotsFreeAt[firstFree] ?? 0);
        const endsAt = startsAt + meanWorkMilliseconds * (0.5 + random()) * server.factor
                * (routes[route]?.work ?? 1);
        server.slotsFreeAt[firstFree] = endsAt;
        waits.push(startsAt - arrivesAt);
        const sentAt = now;
        answers.push({
            at: Math.ceil(endsAt + networkMilliseconds),
            receive: () => {
                reservation.release();
                responseTimes.record(
                    reservation.upstream,
                    now - sentAt,
                    cost && cost.workMilliseconds / cost.meanMilliseconds,
                );
                costs.recordUnary(subject, now - sentAt);
                answerTimes.push(now - sentAt);
            },
        });
    };

    const perMillisecond = load.load * load.servers * slotsPerServer / meanWorkMilliseconds;

    return {
        play: milliseconds => {
            const end = now + milliseconds;
            for (; now < end; now += 1) {
                for (let index = answers.length - 1; index >= 0; index -= 1) {
                    const answer = answers[index];
                    if (answer !== undefined && answer.at <= now) {
                        answers.splice(index, 1);
                        answer.receive();
                    }
                }
                [...entries.keys()].filter(index => (now + index) % load.tellMilliseconds === 0).forEach(tell);
                for (let due = perMillisecond; random() < due; due -= 1) {
                    // The balancer before the entries spreads unevenly.
                    request(entries[Math.floor(entries.length * random() ** 1.5)] as Entry);
                }
            }
        },
        slowDown: (index, factor) => {
            (servers[index] as Server).factor = factor;
        },
        takeAway: index => {
            (servers[index] as Server).isListed = false;
        },
        comeBack: index => {
            const server = servers[index] as Server;
            server.upstream = { ...server.upstream, id: `${server.upstream.id}+`, bornAt: now };
            server.isListed = true;
        },
        takeArrivals: () => arrivals.splice(0, arrivals.length, ...servers.map(() => 0)),
        takeAnswerTimes: () => answerTimes.splice(0),
        takeMeanWait: () => {
            const mean = waits.reduce((total, wait) => total + wait, 0) / Math.max(1, waits.length);
            waits = [];
            return mean;
        },
        now: () => now,
    };
};
