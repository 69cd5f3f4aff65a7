/**
 * Many entries before upstreams that state a limit on requests, on a stepped clock: all entries together keep to it, and
 * what an upstream takes is used.
 */
import { expect } from "chai";
import { type LimitFleet, type LimitFleetOptions, startLimitFleet } from "../support/limitFleet.js";

/** The users count from this long after a limit was first stated, in any four seconds. */
const settleMilliseconds = 3_000;
const windowMilliseconds = 4_000;

const mostInAnyWindow = (arrivals: number[]): number =>
    Math.max(0, ...arrivals.map(start => arrivals.filter(at => at >= start && at < start + windowMilliseconds).length));

const allowedPerWindow = (limit: number): number => 1.5 * limit * windowMilliseconds / 1_000 + 5;

type Load = LimitFleetOptions & { limited: number; limit: number; };

/** Two thirds of the upstreams state half of what they get. */
const loads: Load[] = [
    { entries: 9, upstreams: 18, limited: 12, limit: 1.5, requestsPerSecond: 54 },
    { entries: 44, upstreams: 60, limited: 40, limit: 1.2, requestsPerSecond: 144 },
    { entries: 99, upstreams: 90, limited: 60, limit: 0.8, requestsPerSecond: 144 },
];

const start = async (load: Load): Promise<LimitFleet> => {
    const fleet = startLimitFleet(load);
    await fleet.play(1_000);
    fleet.stateLimits(load.limited, load.limit);
    return fleet;
};

const limitedArrivals = ({ arrivals }: LimitFleet, { limited }: Load, since: number): number[][] =>
    arrivals.slice(0, limited).map(times => times.filter(at => at >= since));

const expectKept = (fleet: LimitFleet, load: Load): void => {
    const since = 1_000 + settleMilliseconds;
    const most = Math.max(...limitedArrivals(fleet, load, since).map(mostInAnyWindow));
    expect(most).to.be.at.most(allowedPerWindow(load.limit));
};

/** Requests that the limited upstreams got since then, as a share of what they take. */
const usedShare = (fleet: LimitFleet, load: Load, since: number): number => {
    const total = limitedArrivals(fleet, load, since).reduce((sum, { length }) => sum + length, 0);
    return total / (load.limited * load.limit * (fleet.clock.now() - since) / 1_000);
};

describe("entries before upstreams that state a limit", () => {
    for (const load of loads) {
        const title = `${load.entries} entries, ${load.limit} requests a second`;

        it(`keep to it together, use what the upstreams take, and send the rest elsewhere (${title})`, async () => {
            const fleet = await start(load);
            await fleet.play(14_000);
            fleet.stop();
            expectKept(fleet, load);
            expect(usedShare(fleet, load, 4_000)).to.be.within(0.8, 1.1);
            expect(fleet.refused()).to.equal(0);
        }).timeout(60_000);

        it(`keep to it while they restart one after another (${title})`, async () => {
            const fleet = await start(load);
            await fleet.play(3_000);
            for (let entry = 0; entry < Math.min(load.entries, 10); entry += 1) {
                fleet.restart(entry);
                await fleet.play(1_000);
            }
            fleet.stop();
            expectKept(fleet, load);
        }).timeout(60_000);

        it(`keep to it while some are cut off one by one and others freeze (${title})`, async () => {
            const fleet = await start(load);
            await fleet.play(3_000);
            fleet.partition(entry => entry === 1 ? 1 : 0);
            fleet.freeze(2, true);
            await fleet.play(6_000);
            expect(usedShare(fleet, load, 7_000)).to.be.at.least(0.6);
            fleet.freeze(2, false);
            fleet.partition(() => 0);
            await fleet.play(4_000);
            fleet.stop();
            expectKept(fleet, load);
            expect(usedShare(fleet, load, 11_000)).to.be.within(0.7, 1.2);
        }).timeout(60_000);

        it(`keep to it while a zone of them is cut off (${title})`, async () => {
            const fleet = await start(load);
            await fleet.play(3_000);
            fleet.partition(entry => entry % 3 === 1 ? 1 : 0);
            await fleet.play(8_000);
            fleet.partition(() => 0);
            await fleet.play(4_000);
            fleet.stop();
            expectKept(fleet, load);
        }).timeout(60_000);

        it(`keep to it while none of them hears another (${title})`, async () => {
            const fleet = await start(load);
            await fleet.play(3_000);
            fleet.partition(entry => entry);
            await fleet.play(14_000);
            fleet.stop();
            expectKept(fleet, load);
        }).timeout(60_000);
    }

    it("ask each other no more than thrice for each request", async () => {
        const load = loads.at(-1) as Load;
        const fleet = await start(load);
        await fleet.play(8_000);
        fleet.stop();
        const requests = fleet.arrivals.flat().length;
        expect(fleet.asked() / requests).to.be.at.most(3);
    }).timeout(60_000);

    it("use the upstreams in full again once these state no limit", async () => {
        const load = loads[0] as Load;
        const fleet = await start(load);
        await fleet.play(6_000);
        fleet.stateLimits(load.limited, undefined);
        await fleet.play(6_000);
        fleet.stop();
        expect(usedShare(fleet, load, 9_000)).to.be.at.least(1.7);
    });
});
