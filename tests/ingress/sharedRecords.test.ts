/**
 * Records of the store that few entries read for all others: what that costs, and what each entry still learns in time
 * when readers die, freeze, hang or lose the store, and when the store comes back from an older copy.
 */
import { expect } from "chai";
import { err, ok } from "neverthrow";
import type { FeedRecord } from "../../src/coordination/ingress/deploymentFeed.js";
import type { DeploymentState } from "../../src/coordination/ingress/deploymentState.js";
import { createIngressLog } from "../../src/coordination/ingress/ingressLog.js";
import { createRecordCache } from "../../src/coordination/ingress/recordCache.js";
import type {
    FeedPosition,
    FeedTopic,
    RecordBatch,
    StoredRecord,
} from "../../src/coordination/ingress/recordSource.js";
import { createSharedRecords } from "../../src/coordination/ingress/sharedRecords.js";
import { chooseReadFrom, type ReaderCandidate, storeTurnOf } from "../../src/coordination/ingress/storeReaders.js";
import { createTopicFreshness } from "../../src/coordination/ingress/topicFreshness.js";
import type { Upstream } from "../../src/state/ingressTypes.js";
import { type RecordFleet, startRecordFleet } from "../support/recordFleet.js";
import { steppedClock } from "../support/steppedClock.js";
import { listedUpstream } from "../support/upstreams.js";

const zones = 3;

const upstream = (id: string, fields: Partial<Upstream> = {}): FeedRecord => ({
    kind: "upstream",
    upstream: listedUpstream({ id, ...fields }),
});

const knows = (state: DeploymentState, id: string): boolean => state.usable("model").some(known => known.id === id);

/** Milliseconds until all states satisfy `condition`, at most ten seconds. */
const timeUntil = async (fleet: RecordFleet, condition: (state: DeploymentState) => boolean): Promise<number> => {
    const startedAt = fleet.clock.now();
    while (!fleet.states().every(condition) && fleet.clock.now() - startedAt < 10_000) {
        await fleet.clock.advance(10);
    }
    return fleet.clock.now() - startedAt;
};

/** A fleet that has been running for a while and knows the upstream `u1`. */
const startSettledFleet = async (entries: number): Promise<RecordFleet> => {
    const fleet = startRecordFleet({ entries, zones, startSpreadMilliseconds: 300 });
    fleet.write("upstreams", "u1", upstream("u1", { bornAt: 1, revision: 5 }));
    await fleet.clock.advance(4_000);
    expect(fleet.states().filter(state => knows(state, "u1"))).to.have.length(entries);
    return fleet;
};

describe("records of the store that few entries read for all", () => {
    it("cost as many calls of the store at 9, 44 and 99 entries", async () => {
        const callsOf = async (entries: number): Promise<{ changes: number; start: number; }> => {
            const fleet = startRecordFleet({ entries, zones, startSpreadMilliseconds: 300 });
            await fleet.clock.advance(4_000);
            const start = fleet.storeCalls();
            for (let change = 0; change < 20; change += 1) {
                fleet.write("upstreams", `u${change}`, upstream(`u${change}`));
                await fleet.clock.advance(500);
            }
            fleet.states().forEach(state => expect(state.all()).to.have.length(20));
            fleet.stop();
            return { changes: fleet.storeCalls() - start, start };
        };
        const [few, more, many] = [await callsOf(9), await callsOf(44), await callsOf(99)];
        // One entry reads each change, and a probe now and then spares all others theirs.
        [few, more, many].forEach(({ changes }) => expect(changes).to.be.lessThan(20 + 25));
        // At the start each entry reads the list of entries for itself, and little else.
        expect(many.start).to.be.lessThan(99 * 2.5);
    }).timeout(60_000);

    it("reach all entries within 0.2 s, and cross to each other zone once", async () => {
        const fleet = await startSettledFleet(44);
        const acrossBefore = fleet.recordsAcrossZones();
        fleet.write("upstreams", "u1", undefined);
        expect(await timeUntil(fleet, state => !knows(state, "u1"))).to.be.lessThan(200);
        expect(fleet.recordsAcrossZones() - acrossBefore).to.equal(zones - 1);
        fleet.stop();
    });

    const removalAfter = async (injectFault: (fleet: RecordFleet) => void): Promise<number> => {
        const fleet = await startSettledFleet(44);
        injectFault(fleet);
        fleet.write("upstreams", "u1", undefined);
        const milliseconds = await timeUntil(fleet, state => !knows(state, "u1"));
        fleet.stop();
        return milliseconds;
    };

    it("reach all entries within a second when the readers of all zones die", async () => {
        expect(await removalAfter(fleet => [0, 1, 2].forEach(fleet.kill))).to.be.lessThan(1_000);
    });

    it("reach all entries within a second when the store turns all readers away", async () => {
        expect(await removalAfter(fleet => [0, 1, 2].forEach(entry => fleet.setStoreFault(entry, "refuses"))))
            .to.be.lessThan(1_000);
    });

    it("reach all entries within 1.5 s when the store leaves all readers without an answer", async () => {
        expect(await removalAfter(fleet => [0, 1, 2].forEach(entry => fleet.setStoreFault(entry, "silent"))))
            .to.be.lessThan(1_500);
    });

    it("reach the entries of a zone that the store turns away as a whole", async () => {
        const turnedAway = [...Array(44).keys()].filter(entry => entry % zones === 0);
        expect(await removalAfter(fleet => turnedAway.forEach(entry => fleet.setStoreFault(entry, "refuses"))))
            .to.be.lessThan(2_000);
    });

    it("are asked for by a few calls a second while the store serves nobody, and flow again at its return", async () => {
        const fleet = await startSettledFleet(99);
        const all = [...Array(99).keys()];
        all.forEach(entry => fleet.setStoreFault(entry, "refuses"));
        fleet.write("upstreams", "u2", upstream("u2"));
        await fleet.clock.advance(4_000);
        const before = fleet.storeCalls();
        await fleet.clock.advance(10_000);
        expect((fleet.storeCalls() - before) / 10).to.be.lessThan(8);
        all.forEach(entry => fleet.setStoreFault(entry, undefined));
        expect(await timeUntil(fleet, state => knows(state, "u2"))).to.be.lessThan(1_500);
        fleet.stop();
    }).timeout(60_000);

    it("are learnt by an entry that starts while the store turns it away", async () => {
        const fleet = await startSettledFleet(9);
        fleet.kill(4);
        fleet.setStoreFault(4, "refuses");
        await fleet.clock.advance(2_000);
        fleet.start(4);
        expect(await timeUntil(fleet, state => knows(state, "u1"))).to.be.lessThan(2_000);
        fleet.stop();
    });

    describe("when the store comes back from an older copy", () => {
        it("never let a draining upstream be used again", async () => {
            const fleet = await startSettledFleet(9);
            const draining = upstream("u1", { bornAt: 1, revision: 6, isDraining: true });
            fleet.write("upstreams", "u1", draining);
            await fleet.clock.advance(1_000);
            fleet.restoreFromCopy(1);
            for (let step = 0; step < 400; step += 1) {
                await fleet.clock.advance(10);
                expect(fleet.states().some(state => knows(state, "u1"))).to.equal(false);
                if (step === 100) {
                    fleet.write("upstreams", "u1", draining);
                }
            }
            await fleet.clock.advance(8_000);
            expect(fleet.states().some(state => knows(state, "u1"))).to.equal(false);
            fleet.stop();
        });

        it("keep an upstream that the copy lacks until it has registered again", async () => {
            const fleet = await startSettledFleet(9);
            fleet.restoreFromCopy(1);
            for (let step = 0; step < 150; step += 1) {
                await fleet.clock.advance(10);
                expect(fleet.states().every(state => knows(state, "u1"))).to.equal(true);
            }
            fleet.write("upstreams", "u1", upstream("u1", { bornAt: 1, revision: 9 }));
            await fleet.clock.advance(10_000);
            expect(fleet.states().every(state => knows(state, "u1"))).to.equal(true);
            fleet.stop();
        });

        it("drop an upstream that does not register again", async () => {
            const fleet = await startSettledFleet(9);
            fleet.restoreFromCopy(1);
            expect(await timeUntil(fleet, state => !knows(state, "u1"))).to.be.within(1_500, 4_000);
            fleet.stop();
        });

        it("keep zones evacuated until the operator has written again", async () => {
            const fleet = await startSettledFleet(9);
            fleet.write("operator", "evacuate/medina", { kind: "zone-evacuated", availabilityZone: "medina" });
            await fleet.clock.advance(1_000);
            fleet.restoreFromCopy(1);
            for (let step = 0; step < 300; step += 1) {
                await fleet.clock.advance(10);
                expect(fleet.states().every(state => state.evacuatedZones().includes("medina"))).to.equal(true);
                if (step === 200) {
                    fleet.write("operator", "evacuate/medina", { kind: "zone-evacuated", availabilityZone: "medina" });
                }
            }
            await fleet.clock.advance(8_000);
            expect(fleet.states().every(state => state.evacuatedZones().includes("medina"))).to.equal(true);
            fleet.write("operator", "evacuate/medina", undefined);
            await fleet.clock.advance(500);
            expect(fleet.states().some(state => state.evacuatedZones().includes("medina"))).to.equal(false);
            fleet.stop();
        });

        it("deliver what is written at offsets that are given out again", async () => {
            const fleet = await startSettledFleet(9);
            fleet.write("upstreams", "u2", upstream("u2"));
            await fleet.clock.advance(500);
            fleet.restoreFromCopy(1);
            fleet.write("upstreams", "u3", upstream("u3"));
            expect(await timeUntil(fleet, state => knows(state, "u3"))).to.be.lessThan(2_500);
            fleet.restoreFromCopy(1);
            fleet.write("upstreams", "u4", upstream("u4"));
            expect(await timeUntil(fleet, state => knows(state, "u4"))).to.be.lessThan(2_500);
            fleet.stop();
        });

        it("reach an entry that was cut off from the store meanwhile", async () => {
            const fleet = await startSettledFleet(9);
            fleet.setStoreFault(8, "refuses");
            fleet.isolate(8, true);
            await fleet.clock.advance(3_000);
            fleet.restoreFromCopy(1);
            fleet.write("upstreams", "u3", upstream("u3"));
            await fleet.clock.advance(3_000);
            fleet.setStoreFault(8, undefined);
            fleet.isolate(8, false);
            // While it is cut off from all, its turn for the store comes rarely.
            expect(await timeUntil(fleet, state => knows(state, "u3"))).to.be.lessThan(3_000);
            fleet.stop();
        });

        it("tell an entry that starts then what the store has forgotten", async () => {
            const fleet = await startSettledFleet(9);
            fleet.write("operator", "evacuate/medina", { kind: "zone-evacuated", availabilityZone: "medina" });
            await fleet.clock.advance(500);
            fleet.kill(0);
            fleet.restoreFromCopy(1);
            await fleet.clock.advance(1_500);
            fleet.start(0);
            await fleet.clock.advance(2_000);
            expect(fleet.states().every(state => state.evacuatedZones().includes("medina"))).to.equal(true);
            fleet.stop();
        });
    });
});

describe("choice of the entry to read from", () => {
    const candidate = (host: string, fields: Partial<ReaderCandidate> = {}): ReaderCandidate => ({
        host,
        availabilityZone: "a",
        isServed: true,
        hasRead: true,
        ...fields,
    });
    const choose = (self: ReaderCandidate, peers: ReaderCandidate[], isStarting = false, unheard: string[] = []) =>
        chooseReadFrom({
            self: { ...self, isStarting },
            peers,
            unheard: unheard.map(host => ({ host, availabilityZone: "a" })),
        });

    it("is the first served entry of the zone; for that one, the first of all zones, and for this the store", () => {
        expect(choose(candidate("a2"), [candidate("a1"), candidate("a3")])).to.deep.equal({ kind: "peer", host: "a1" });
        expect(choose(candidate("a1"), [candidate("a2")])).to.deep.equal({ kind: "store" });
        const other = candidate("b1", { availabilityZone: "b" });
        expect(choose(other, [candidate("a1"), candidate("a2")])).to.deep.equal({ kind: "peer", host: "a1" });
        expect(choose(candidate("a1"), [other])).to.deep.equal({ kind: "store" });
        expect(choose(candidate("a2"), [candidate("a1", { isServed: false })])).to.deep.equal({ kind: "store" });
    });

    it("is the reader of another zone if the store serves none of the own zone", () => {
        const remote = candidate("b1", { availabilityZone: "b" });
        expect(choose(candidate("a1", { isServed: false }), [remote])).to.deep.equal({ kind: "peer", host: "b1" });
        expect(choose(candidate("a1", { isServed: false }), [])).to.deep.equal({ kind: "none" });
    });

    it("waits for an entry that starts at the same time, for a while", () => {
        expect(choose(candidate("a2"), [], true, ["a1"])).to.deep.equal({ kind: "wait" });
        expect(choose(candidate("a2"), [], false, ["a1"])).to.deep.equal({ kind: "store" });
        expect(choose(candidate("a2"), [candidate("a1", { hasRead: false })], true)).to.deep.equal({ kind: "wait" });
    });

    it("gives the first turns with the store to one entry of each zone", () => {
        const hosts = ["a1", "a2", "a3", "b1", "b2"];
        const all = hosts.map(host => candidate(host, { availabilityZone: host[0]! }));
        const turns = all.map(self => storeTurnOf(self, all.filter(other => other !== self)));
        expect(turns).to.deep.equal([0, 2, 4, 1, 3]);
    });
});

describe("records kept for other entries", () => {
    const record = (key: string, value: string, offset: number): StoredRecord => ({
        key,
        value: Buffer.from(value),
        offset,
    });
    const { signal } = new AbortController();

    it("tell who continues what changed and what was removed, also by a complete read", async () => {
        const cache = createRecordCache(steppedClock(0), () => undefined);
        cache.replace("upstreams", {
            records: [record("x", "1", 0), record("y", "1", 1)],
            next: { era: 1, offset: 2 },
        });
        cache.append("upstreams", { records: [record("x", "2", 2), record("x", "3", 3)], next: { era: 1, offset: 4 } });
        cache.replace("upstreams", { records: [record("x", "3", 3)], next: { era: 1, offset: 6 } });
        const newer = (await cache.readNewer("upstreams", { era: 1, offset: 2 }, 0, signal))._unsafeUnwrap();
        expect(newer.records.map(({ key, value }) => [key, value.toString()])).to.deep.equal([["x", "3"], ["y", ""]]);
        expect(newer.next).to.deep.equal({ era: 1, offset: 6 });
    });

    it("are not continued from a position before the first complete read or in another era", async () => {
        const cache = createRecordCache(steppedClock(0), () => undefined);
        cache.replace("operator", { records: [], next: { era: 2, offset: 10 } });
        const failureAt = async (era: number, offset: number): Promise<string> =>
            (await cache.readNewer("operator", { era, offset }, 0, signal))._unsafeUnwrapErr().kind;
        expect(await failureAt(2, 9)).to.equal("truncated");
        expect(await failureAt(1, 12)).to.equal("truncated");
        // That entry knows more than this one.
        expect(await failureAt(2, 11)).to.equal("unavailable");
        expect(await failureAt(3, 0)).to.equal("unavailable");
    });
});

describe("complete reads", () => {
    it("never take a draining upstream back to an earlier record of a source that lags", async () => {
        const clock = steppedClock(0);
        const lifetime = new AbortController();
        const { signal } = lifetime;
        const next = (offset: number): FeedPosition => ({ era: 1, offset });
        const batchAt = (offset: number): RecordBatch => ({
            records: [{ key: "u1", value: Buffer.from(offset < 8 ? "ready" : "draining"), offset: offset - 1 }],
            next: next(offset),
        });
        const answers = [batchAt(9), batchAt(7), batchAt(7), batchAt(10)];
        const asked: FeedTopic[] = [];
        const shared = createSharedRecords({
            host: "a1",
            availabilityZone: "a",
            store: {
                readAll: async topic => {
                    asked.push(topic);
                    return ok(answers.shift() ?? batchAt(10));
                },
                readNewer: async () => err({ kind: "truncated", reason: "the history was deleted" }),
            },
            peers: {
                candidates: () => [],
                ahead: () => [],
                unheard: () => [],
                sourceOf: () => {
                    throw new Error("there are no other entries");
                },
            },
            freshness: createTopicFreshness(clock, () => 0),
            revisionOf: () => undefined,
            onNews: () => undefined,
            clock,
            log: createIngressLog(() => undefined, clock),
            signal,
        });
        await clock.advance(1_000);
        expect((await shared.source.readAll("upstreams", signal))._unsafeUnwrap().next).to.deep.equal(next(9));
        const secondRead = shared.source.readAll("upstreams", signal);
        await clock.advance(2_000);
        expect((await secondRead)._unsafeUnwrap().next).to.deep.equal(next(10));
        expect(asked).to.have.length(4);
        lifetime.abort();
    });
});
