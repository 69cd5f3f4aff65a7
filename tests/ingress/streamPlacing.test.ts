/**
 * Plays streams that many entries place by counts of each other which are some tenths of a second old, and checks how
 * many of them the servers turn away.
 */
import { expect } from "chai";
import { setMaxListeners } from "node:events";
import { chooseGroup, chooseRank } from "../../src/coordination/ingress/chooseByFreePlaces.js";
import type { KnownUpstream } from "../../src/coordination/ingress/deploymentState.js";
import { createIngressLog } from "../../src/coordination/ingress/ingressLog.js";
import { createStreamScheduler } from "../../src/coordination/ingress/streamScheduler.js";
import { createUpstreamHealth } from "../../src/coordination/ingress/upstreamHealth.js";
import { createUpstreamPauses } from "../../src/coordination/ingress/upstreamPauses.js";
import { noUpstreamLimits } from "../support/noUpstreamLimits.js";
import { seededRandom } from "../support/random.js";
import { steppedClock } from "../support/steppedClock.js";
import { listedUpstream } from "../support/upstreams.js";

type Load = {
    entries: number;
    groups: number;
    ranksPerGroup: number;
    slots: number;
    /** Streams in progress as a share of all slots. */
    load: number;
    /** Interval at which an entry tells the others its counts. */
    tellMilliseconds: number;
};

const meanStreamMilliseconds = 1_200;
const seconds = 6;

/** Streams that the servers turned away, as a share of those that they took. */
const playTurnedAway = async (play: Load, seed: number): Promise<number> => {
    const { entries, groups, ranksPerGroup, slots, load, tellMilliseconds } = play;
    const random = seededRandom(seed);
    const clock = steppedClock(0);
    const end = new AbortController();
    setMaxListeners(0, end.signal);
    const upstreams: KnownUpstream[] = [...Array(groups * ranksPerGroup).keys()].map(index => ({
        ...listedUpstream({
            id: `u${index}`,
            slots,
            group: { name: `g${index % groups}`, epoch: 1, rank: Math.floor(index / groups), isOpen: true },
        }),
        goneAt: undefined,
    }));
    const log = createIngressLog(() => undefined, clock);
    const told: Map<string, number>[] = [...Array(entries).keys()].map(() => new Map());
    const toldTotals = new Map<string, number>();
    const schedulers = [...Array(entries).keys()].map(entry =>
        createStreamScheduler({
            state: { usable: () => upstreams, all: () => upstreams },
            health: createUpstreamHealth(clock, log),
            pauses: createUpstreamPauses(clock, log),
            upstreamLimits: noUpstreamLimits,
            clock,
            peerStatuses: {
                runningOn: id => (toldTotals.get(id) ?? 0) - (told[entry]?.get(id) ?? 0),
                // The groups bear all their slots, so that only the placing decides.
                limitOf: () => ranksPerGroup * slots,
                countAgeSeconds: () => (entries - 1) * tellMilliseconds / 2 / 1_000,
            },
            queryEngine: async () => undefined,
            log,
            random,
            signal: end.signal,
        })
    );
    const tell = (entry: number): void => {
        const running = schedulers[entry]?.running() ?? new Map<string, number>();
        for (const [id, count] of running) {
            toldTotals.set(id, (toldTotals.get(id) ?? 0) + count - (told[entry]?.get(id) ?? 0));
        }
        told[entry] = new Map(running);
    };
    const running = new Map<string, number>();
    const ends: { at: number; finish: () => void; }[] = [];
    let taken = 0;
    let turnedAway = 0;
    const startsPerMillisecond = load * upstreams.length * slots / meanStreamMilliseconds;
    for (let now = 0; now < seconds * 1_000; now += 1) {
        ends.filter(({ at }) => at === now).forEach(({ finish }) => finish());
        schedulers.forEach((scheduler, entry) => {
            if ((now + entry * 37) % tellMilliseconds === 0) {
                tell(entry);
            }
        });
        for (let due = startsPerMillisecond; random() < due; due -= 1) {
            const scheduler = schedulers[Math.floor(random() * entries)]!;
            const reservation = scheduler.reserve("model", new Set(), { admissionClass: "new" });
            if (reservation === undefined) {
                continue;
            }
            const { id } = reservation.upstream;
            if ((running.get(id) ?? 0) >= slots) {
                turnedAway += 1;
                reservation.release();
                continue;
            }
            taken += 1;
            running.set(id, (running.get(id) ?? 0) + 1);
            ends.push({
                at: now + Math.max(50, Math.round(-Math.log(1 - random()) * meanStreamMilliseconds)),
                finish: () => {
                    running.set(id, (running.get(id) ?? 1) - 1);
                    reservation.release();
                },
            });
        }
        await clock.advance(1);
    }
    end.abort();
    return turnedAway / taken;
};

const large = { entries: 99, groups: 2, ranksPerGroup: 96, slots: 6, tellMilliseconds: 300 };
const grown = { entries: 44, groups: 2, ranksPerGroup: 32, slots: 7, tellMilliseconds: 200 };
const standing = { entries: 9, groups: 2, ranksPerGroup: 8, slots: 8, tellMilliseconds: 100 };

describe("placing of streams by many entries", () => {
    it("lets servers turn away fewer than one stream in twenty while half of their slots are free", async () => {
        for (const deployment of [large, grown, standing]) {
            const turnedAway = await playTurnedAway({ ...deployment, load: 0.5 }, 1);
            expect(turnedAway, `${deployment.entries} entries`).to.be.lessThan(0.05);
        }
    }).timeout(60_000);

    it("lets servers turn away fewer than one stream in eight while a third of their slots are free", async () => {
        for (const deployment of [large, grown, standing]) {
            const turnedAway = await playTurnedAway({ ...deployment, load: 0.66 }, 2);
            expect(turnedAway, `${deployment.entries} entries`).to.be.lessThan(0.125);
        }
    }).timeout(60_000);
});

describe("choice by free places", () => {
    const options = (unseenStarts: number, seed: number) => ({
        freePlaces: (places: number) => places,
        unseenStarts,
        random: seededRandom(seed),
    });

    it("never takes a candidate that is full, and none if all are", () => {
        for (const choose of [chooseGroup, chooseRank]) {
            for (const unseenStarts of [0, 5, 100]) {
                const choice = options(unseenStarts, 3);
                for (let turn = 0; turn < 200; turn += 1) {
                    expect(choose([0, 3, -2, 1], choice)).to.be.oneOf([3, 1]);
                }
                expect(choose([0, -1], choice)).to.equal(undefined);
                expect(choose([], choice)).to.equal(undefined);
            }
        }
    });

    it("takes the candidate with the most free places while the counts are fresh", () => {
        for (const choose of [chooseGroup, chooseRank]) {
            expect(choose([2, 5, 4], options(0.5, 1))).to.equal(5);
        }
    });

    it("prefers the group with more free places by the square of their ratio while many streams are unseen", () => {
        const choice = options(100, 4);
        const chosen = Array.from({ length: 5_000 }, () => chooseGroup([1, 3], choice));
        expect(chosen.filter(places => places === 3).length / 5_000).to.be.within(0.87, 0.93);
    });
});
