/**
 * Guards against requests of uneven cost being placed as if they were alike, and against wrong, missing or old knowledge
 * of costs making placement worse than counts alone.
 */
import { expect } from "chai";
import { createOutstandingWork } from "../../src/coordination/ingress/outstandingWork.js";
import { createPeerStatusTable, type EntryStatus } from "../../src/coordination/ingress/peerStatusTable.js";
import { rankLoad } from "../../src/coordination/ingress/rankLoad.js";
import { type CostSubject, createRequestCosts } from "../../src/coordination/ingress/requestCosts.js";
import { createMetrics } from "../../src/coordination/metrics.js";
import { engineProfile, percentile, playStreams, type StreamLoad } from "../support/streamLoadModel.js";
import { startUnaryLoadModel } from "../support/unaryLoadModel.js";

const fleets = [
    { entries: 9, tellMilliseconds: 100 },
    { entries: 44, tellMilliseconds: 220 },
    { entries: 58, tellMilliseconds: 300 },
];

const streams = (fleet: typeof fleets[number], extra: Partial<StreamLoad>) => {
    const plays = [1, 2, 3, 4].map(seed =>
        playStreams({ ...fleet, arrivalsPerSecond: 150, seconds: 20, seed, ...extra })
    );
    const firstEvents = plays.flatMap(play => play.firstEvents);
    const late = plays.reduce((total, play) => total + play.late, 0);
    return {
        p99: percentile(firstEvents, 0.99),
        late: late / plays.reduce((total, play) => total + play.total, 0),
        shortP99: percentile(plays.flatMap(play => play.shorts), 0.99),
        firstEvents,
    };
};

const plain = (fleet: typeof fleets[number], minimumVariation: number | undefined, silentShare = 0) => {
    const routes = [{ share: 0.8, work: 0.25 }, { share: 0.2, work: 4 }];
    const model = startUnaryLoadModel({
        ...fleet,
        servers: 20,
        load: 0.5,
        routes,
        silentShare,
        ...minimumVariation === undefined ? {} : { minimumVariation },
    });
    [...Array(20).keys()].forEach(server => model.slowDown(server, [0.4, 0.6, 0.8, 1.2, 2][server % 5]!));
    model.play(6_000);
    model.takeAnswerTimes();
    model.play(20_000);
    const times = model.takeAnswerTimes();
    return {
        p99: percentile(times, 0.99),
        late: times.filter(time => time > 600).length / times.length,
        times,
    };
};

describe("routing by cost", () => {
    for (const fleet of fleets) {
        it(`makes plain answers at uneven servers faster at the 99th percentile, ${fleet.entries} entries`, () => {
            const before = plain(fleet, undefined);
            const after = plain(fleet, 0.3);
            expect(after.p99).to.be.lessThan(before.p99);
            expect(after.late).to.be.at.most(before.late);
        }).timeout(300_000);

        it(`costs plain answers no more than counts do while half of the entries tell no work, ${fleet.entries}`, () => {
            const before = plain(fleet, undefined);
            const after = plain(fleet, 0.3, 0.5);
            expect(after.p99).to.be.at.most(before.p99);
        }).timeout(300_000);

        it(`makes fewer first events late, also with estimates off by ten times, ${fleet.entries} entries`, () => {
            const before = streams(fleet, {});
            for (const hintError of [2, 10]) {
                const after = streams(fleet, { minimumVariation: 0.3, hintError });
                expect(after.p99, `p99 at ${hintError}`).to.be.at.most(before.p99);
                expect(after.late, `late at ${hintError}`).to.be.at.most(before.late);
            }
        }).timeout(600_000);
    }

    it("decides exactly as by counts while costs vary too little or the engines' profile is unknown", () => {
        const [fleet] = fleets;
        const before = streams(fleet!, { seconds: 6 });
        for (const extra of [{ minimumVariation: 100 }, { minimumVariation: 0, isProfileKnown: false }]) {
            expect(streams(fleet!, { seconds: 6, ...extra }).firstEvents).to.deep.equal(before.firstEvents);
        }
        expect(plain(fleet!, 100).times).to.deep.equal(plain(fleet!, undefined).times);
    }).timeout(300_000);
});

describe("estimates of costs", () => {
    const request = (hint: number | undefined, account = "a"): CostSubject => ({
        service: "model",
        route: { name: "chat" },
        clientAccount: account,
        envelope: { promptTokens: 0, maximumAnswerTokens: 4_000, expectedAnswerTokens: hint },
    });
    const learn = (answers: [number | undefined, number][], account = "a") => {
        const costs = createRequestCosts({
            minimumVariation: 0,
            profileOf: () => engineProfile,
            clock: { now: () => 0 },
            log: { stateChange: () => undefined },
            metrics: createMetrics(),
        });
        for (let turn = 0; turn < 60; turn += 1) {
            const [hint, events] = answers[turn % answers.length]!;
            costs.recordStream(request(hint, account), events);
        }
        return (hint: number | undefined, of = account) => costs.streamCost(request(hint, of));
    };

    it("take away a factor by which an account's callers are always off", () => {
        expect(learn([[100, 167], [200, 333]])(150)?.answerTokens).to.be.within(1_400, 1_600);
    });

    it("fall back to the usual length where callers' estimates tell nothing", () => {
        const estimate = learn([[50, 30], [5_000, 30]]);
        expect(estimate(5_000)!.answerTokens).to.be.lessThan(300);
    });

    it("rest on what was seen without an estimate, and on the operator's statement before anything was seen", () => {
        expect(learn([[undefined, 50]])(undefined)?.answerTokens).to.be.closeTo(300, 1);
        const { promptTokens, answerTokens } = learn([[100, 20]])(undefined, "other")!;
        expect([promptTokens, answerTokens]).to.deep.equal([800, 120]);
    });
});

describe("outstanding work", () => {
    it("adds the others' work, counts requests of entries that tell none, and forgets silent entries", () => {
        let now = 0;
        const table = createPeerStatusTable({ now: () => now }, { dependency: () => undefined } as never);
        const work = createOutstandingWork({ now: () => now }, table.workOn);
        const told = { promptTokens: 500, remaining: 90, heldTokens: 700 };
        table.record({ host: "b", sequence: 1, running: { u: 2 }, work: { u: told } } as unknown as EntryStatus, "b");
        table.record({ host: "c", sequence: 1, running: { u: 3 }, work: {} } as unknown as EntryStatus, "c");
        const stream = work.beginStream("u", { promptTokens: 100, answerTokens: 60, heldTokens: 160 });
        expect(work.on("u", 2)).to.deep.equal({
            promptTokens: 600,
            remaining: 150,
            heldTokens: 860,
            unestimated: 4,
        });
        stream.recordEvent(6);
        expect(work.own()).to.deep.equal({ u: { promptTokens: 0, remaining: 54, heldTokens: 160 } });
        stream.end();
        now += 1_600;
        expect(work.own()).to.deep.equal({});
        expect(work.on("u", 0).unestimated + work.on("u", 0).heldTokens).to.equal(0);
    });

    it("never places a stream beyond the engine's token memory", () => {
        const held = { promptTokens: 0, remaining: 0, heldTokens: 39_000, unestimated: 0 };
        const cost = { promptTokens: 500, answerTokens: 100, heldTokens: 1_300 };
        expect(rankLoad(held, 2, cost, engineProfile).fitsMemory).to.equal(false);
        expect(rankLoad({ ...held, heldTokens: 38_000 }, 2, cost, engineProfile).fitsMemory).to.equal(true);
    });
});
