/**
 * Plays unary requests that many entries place on the servers of one service, by counts of each other that are some
 * tenths of a second old.
 *
 * The entries run the product's own scheduler and response times; the servers, each with a queue before its slots, and
 * the callers are simulated by the millisecond.
 */
import type { KnownUpstream } from "../../src/coordination/ingress/deploymentState.js";
import { createIngressLog } from "../../src/coordination/ingress/ingressLog.js";
import { createResponseTimes } from "../../src/coordination/ingress/responseTimes.js";
import { createUnaryScheduler, type UnaryScheduler } from "../../src/coordination/ingress/unaryScheduler.js";
import { createUpstreamHealth } from "../../src/coordination/ingress/upstreamHealth.js";
import { createUpstreamPauses } from "../../src/coordination/ingress/upstreamPauses.js";
import { noUpstreamLimits } from "./noUpstreamLimits.js";
import { seededRandom } from "./random.js";
import { listedUpstream } from "./upstreams.js";

export type UnaryLoad = {
    entries: number;
    servers: number;
    /** Work in progress as a share of all slots, if it were spread evenly. */
    load: number;
    /** Interval at which an entry tells the others its counts. */
    tellMilliseconds: number;
    seed?: number;
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

type Entry = { scheduler: UnaryScheduler; recordAnswer: (upstream: KnownUpstream, milliseconds: number) => void; };

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
    const told: Map<string, number>[] = [...Array(load.entries).keys()].map(() => new Map());
    const toldTotals = new Map<string, number>();
    const entries: Entry[] = [...Array(load.entries).keys()].map(index => {
        const responseTimes = createResponseTimes(clock, random);
        const scheduler = createUnaryScheduler({
            state: { usable: () => servers.filter(({ isListed }) => isListed).map(({ upstream }) => upstream) },
            health: createUpstreamHealth(clock, log),
            responseTimes,
            pauses: createUpstreamPauses(clock, log),
            upstreamLimits: noUpstreamLimits,
            availabilityZone: zones[index % zones.length] as string,
            runningOnOtherEntries: id => (toldTotals.get(id) ?? 0) - (told[index]?.get(id) ?? 0),
            random,
        });
        return { scheduler, recordAnswer: responseTimes.record };
    });

    const tell = (index: number): void => {
        const running = entries[index]?.scheduler.running() ?? new Map<string, number>();
        for (const [id, count] of running) {
            toldTotals.set(id, (toldTotals.get(id) ?? 0) + count - (told[index]?.get(id) ?? 0));
        }
        told[index] = new Map(running);
    };

    const arrivals = servers.map(() => 0);
    let waits: number[] = [];
    const answers: { at: number; receive: () => void; }[] = [];

    const request = (entry: Entry): void => {
        const reservation = entry.scheduler.reserve("plain", new Set());
        const index = servers.findIndex(({ upstream }) => upstream === reservation?.upstream);
        const server = servers[index];
        if (reservation === undefined || server === undefined) {
            return;
        }
        arrivals[index] = (arrivals[index] ?? 0) + 1;
        const firstFree = server.slotsFreeAt.indexOf(Math.min(...server.slotsFreeAt));
        const arrivesAt = now + networkMilliseconds;
        const startsAt = Math.max(arrivesAt, server.slotsFreeAt[firstFree] ?? 0);
        const endsAt = startsAt + meanWorkMilliseconds * (0.5 + random()) * server.factor;
        server.slotsFreeAt[firstFree] = endsAt;
        waits.push(startsAt - arrivesAt);
        const sentAt = now;
        answers.push({
            at: Math.ceil(endsAt + networkMilliseconds),
            receive: () => {
                reservation.release();
                entry.recordAnswer(reservation.upstream, now - sentAt);
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
        takeMeanWait: () => {
            const mean = waits.reduce((total, wait) => total + wait, 0) / Math.max(1, waits.length);
            waits = [];
            return mean;
        },
        now: () => now,
    };
};
