/**
 * Plays streams of three priorities at many entries that compete for too little capacity, and checks who is served.
 */
import { expect } from "chai";
import { createIngressLog } from "../../src/coordination/ingress/ingressLog.js";
import type { EntryStatus, PeerDemand } from "../../src/coordination/ingress/peerStatusTable.js";
import { createUrgencyShares, divideCapacity } from "../../src/coordination/ingress/urgencyShares.js";
import { createMetrics } from "../../src/coordination/metrics.js";
import { decodeEntryGossip, encodeEntryGossip } from "../../src/protocol/entryGossipMessages.js";
import {
    type Fault,
    mixOf,
    playPriorities,
    type PriorityOutcome,
    type PriorityPlay,
} from "../support/priorityFleet.js";

/** Starts a second of 9 and 44 entries without shared priority, at twice the load that they bear. */
const capacity = 156;
const seconds = 14;
const timeout = 600_000;

const played = new Map<string, Promise<PriorityOutcome>>();
/** Plays a steady load, a multiple of the capacity; each play runs once for all tests. */
const play = (entries: number, load: number, options: Partial<PriorityPlay> = {}): Promise<PriorityOutcome> => {
    const key = JSON.stringify([entries, load, options]);
    const outcome = played.get(key)
        ?? playPriorities({ entries, arrivals: () => mixOf(capacity * load), seconds, seed: 1, ...options });
    played.set(key, outcome);
    return outcome;
};

const fault = (kind: Fault, entries: number): Partial<PriorityPlay> => ({
    faulty: { kind, entries: Math.floor(entries / 3), from: 5_000, until: 11_000 },
});

describe("priorities over all entries", () => {
    for (const entries of [9, 44, 58]) {
        for (const load of [1.5, 2.3]) {
            const title = `at ${load} times the capacity of ${entries} entries`;
            it(`serves priority 0 in time ${title}`, async () => {
                expect((await play(entries, load)).shareInTime(0)).to.be.at.least(0.95);
            }).timeout(timeout);

            it(`serves nine tenths of what a single scheduler does ${title}`, async () => {
                const single = await play(1, load);
                expect((await play(entries, load)).worth / single.worth).to.be.at.least(0.9);
            }).timeout(timeout);

            it(`leaves little idle and exceeds no limit further than before ${title}`, async () => {
                const outcome = await play(entries, load);
                expect(outcome.idle).to.be.below(0.03);
                expect(outcome.overrun).to.be.at.most((await play(entries, load, { isPartOff: true })).overrun);
            }).timeout(timeout);
        }
    }

    it("serves 0.8 of what a single scheduler does while a third of the entries is cut off", async () => {
        for (const load of [1.5, 2.3]) {
            const cutOff = await play(44, load, {
                faulty: { kind: "cut-off", entries: 14, from: 4_000, until: Infinity },
            });
            expect(cutOff.worth / (await play(1, load)).worth, `load ${load}`).to.be.at.least(0.8);
        }
    }).timeout(timeout);

    for (const kind of ["cut-off", "frozen", "restarted", "earlier-build", "one-way"] as const) {
        it(`gives priority 0 no less than before while a third of the entries is ${kind}`, async () => {
            const now = await play(9, 1.5, fault(kind, 9));
            const before = await play(9, 1.5, { ...fault(kind, 9), isPartOff: true });
            expect(now.shareInTime(0)).to.be.at.least(before.shareInTime(0));
            expect(now.overrun).to.be.at.most(before.overrun);
        }).timeout(timeout);
    }

    it("refuses nothing while there is room for all", async () => {
        const outcome = await play(9, 0.7);
        expect(outcome.codes.get("outranked") ?? 0).to.equal(0);
        expect([0, 1, 2].map(outcome.shareInTime)).to.satisfy((shares: number[]) => Math.min(...shares) > 0.99);
    }).timeout(timeout);

    it("decides exactly as before where all streams have one priority", async () => {
        const outcomes = await Promise.all(
            [true, false].map(isPartOff => play(9, 1.5, { isPartOff, onlyPriority: 1 })),
        );
        expect(outcomes[0]?.byClass).to.deep.equal(outcomes[1]?.byClass);
    }).timeout(timeout);

    it("serves priority 0 in time from half a second after a burst of it", async () => {
        const arrivals = (now: number): number[] =>
            mixOf(capacity * 1.2).map((rate, position) =>
                position === 0 && now > 8_000 && now < 11_000 ? rate * 1.9 : rate
            );
        expect((await play(44, 0, { arrivals })).shareInTime(0)).to.be.at.least(0.95);
    }).timeout(timeout);

    it("leaves each priority a tenth of the capacity if it wants that much", async () => {
        const outcome = await play(9, 0, { arrivals: () => [capacity * 1.5, 10, capacity / 2] });
        const perSecond = outcome.byClass[2]!.inTime / (seconds - 4);
        expect(perSecond).to.be.at.least(outcome.startsPerSecond * 0.1);
    }).timeout(timeout);

    it("serves no account less than a quarter as often as all, whichever entries it reaches", async () => {
        // Four large accounts send half of the streams; each account reaches two entries of nine.
        const outcome = await play(9, 2.3, {
            seconds: 24,
            accountOf: random => `a${Math.floor(random() * (random() < 0.5 ? 4 : 24))}`,
            entryOf: (account, random) => (Number(account.slice(1)) + Math.floor(random() * 2)) % 9,
        });
        const accounts = [...outcome.byAccount.values()];
        const total = accounts.reduce((sum, { inTime }) => sum + inTime, 0)
            / accounts.reduce((sum, { offered }) => sum + offered, 0);
        expect(accounts).to.have.length(24);
        accounts.forEach(({ offered, inTime }) => expect(inTime / offered).to.be.at.least(total / 4));
    }).timeout(timeout);
});

describe("shares by urgency", () => {
    const sharesWith = (peerDemand: PeerDemand) => {
        const clock = { now: () => now };
        let now = 0;
        const shares = createUrgencyShares({
            peerStatuses: { demandOf: () => peerDemand },
            load: () => ({ limit: 100, running: 100 }),
            clock,
            random: () => 0.99,
            log: createIngressLog(() => undefined, clock),
            metrics: createMetrics(),
        });
        return { shares, advance: (milliseconds: number) => now += milliseconds };
    };
    const rows = [0, 2].map(priority => ({ priority, arrivalsPerSecond: 60, startsPerSecond: 25, waiting: 1 }));

    it("leave to each priority what the more urgent ones don't want, but a tenth at least", () => {
        expect(divideCapacity([30, 30, 60], 100)).to.deep.equal([30, 30, 40]);
        expect(divideCapacity([200, 5, 60], 100)).to.deep.equal([85, 5, 10]);
        expect(divideCapacity([10, 10], 100)).to.deep.equal([10, 10]);
    });

    it("refuse at once with a time that the caller honours, which grows with the shortage", () => {
        const { shares, advance } = sharesWith({ rows, meanAgeSeconds: 0.1, isComplete: true });
        expect(shares.decide("model", 2)?.kind).to.equal("outranked");
        const early = shares.retryAfterMilliseconds("model", 8_000) ?? 0;
        advance(1_500);
        const later = shares.retryAfterMilliseconds("model", 9_500) ?? 0;
        expect(later).to.be.within(early, 8_000 / 3);
    });

    it("decide nothing while an entry states no demand", () => {
        const { shares } = sharesWith({ rows, meanAgeSeconds: 0.1, isComplete: false });
        expect(shares.decide("model", 2)).to.equal(undefined);
        expect(shares.heldBackPlaces("model", 2)).to.equal(0);
        expect(shares.queuePriority("model", 2)).to.equal(undefined);
    });

    it("tell an entry of an earlier build from one without streams", () => {
        const status = (demand: EntryStatus["demand"]): EntryStatus => ({
            host: "h",
            availabilityZone: "z",
            incarnation: "i",
            sequence: 1,
            running: {},
            limits: {},
            work: {},
            store: undefined,
            unserved: [],
            hasRead: true,
            leaving: {},
            statedLimits: {},
            crashEvidence: undefined,
            demand,
        });
        const decoded = decodeEntryGossip(encodeEntryGossip({
            from: "h",
            news: [status(undefined), status({})],
        }))._unsafeUnwrap().news;
        expect(decoded.map(({ demand }) => demand)).to.deep.equal([undefined, {}]);
    });
});
