/**
 * Many entries on one store: their combined call rate must stay low, and each must detect changes, outages and hanging
 * polls in time.
 */
import { expect } from "chai";
import type { FeedRecord } from "../../src/coordination/ingress/deploymentFeed.js";
import type { DeploymentState } from "../../src/coordination/ingress/deploymentState.js";
import { deploymentTopics } from "../../src/coordination/ingress/recordSource.js";
import { emptyConfiguration } from "../support/configurations.js";
import { type RecordFleet, startRecordFleet } from "../support/recordFleet.js";
import { listedUpstream } from "../support/upstreams.js";

const entries = 12;

const upstream = (index: number): FeedRecord => ({ kind: "upstream", upstream: listedUpstream({ id: `u${index}` }) });

const list = (fleet: RecordFleet, index: number): void => fleet.write("upstreams", `u${index}`, upstream(index));

const configuration = (version: number): FeedRecord => ({
    kind: "configuration",
    configuration: emptyConfiguration(version),
});

const versionOf = (state: DeploymentState): number | undefined => state.routeTable()?.configuration.version;

const knows = (state: DeploymentState, id: string): boolean => state.all().some(known => known.id === id);

/** By topic, the milliseconds since a time before which the entry has missed nothing. */
const unconfirmedFor = (fleet: RecordFleet, entry: number): number[] =>
    deploymentTopics.map(topic => fleet.clock.now() - (fleet.freshness(entry).confirmedAt(topic) ?? -Infinity));

describe("store monitoring by many entries", () => {
    const callsPerSecond = async (isGossiping: boolean): Promise<number> => {
        const fleet = startRecordFleet({ entries, isGossiping });
        await fleet.clock.advance(3_000);
        const before = fleet.storeCalls();
        await fleet.clock.advance(25_000);
        fleet.stop();
        return (fleet.storeCalls() - before) / 25;
    };

    it("makes fewer than 3 calls a second in total if entries share their status", async () => {
        expect(await callsPerSecond(false)).to.be.greaterThan(14);
        expect(await callsPerSecond(true)).to.be.lessThan(3);
    });

    const removalMilliseconds = async (injectFault: (fleet: RecordFleet) => void): Promise<number> => {
        const fleet = startRecordFleet({ entries });
        list(fleet, 1);
        await fleet.clock.advance(4_000);
        expect(fleet.states().filter(state => knows(state, "u1")).length).to.equal(entries);
        injectFault(fleet);
        fleet.write("upstreams", "u1", undefined);
        const startedAt = fleet.clock.now();
        while (fleet.states().some(state => knows(state, "u1")) && fleet.clock.now() - startedAt < 20_000) {
            await fleet.clock.advance(10);
        }
        fleet.stop();
        return fleet.clock.now() - startedAt;
    };

    it("delivers the removal of an upstream to all entries within 0.1 s", async () => {
        expect(await removalMilliseconds(() => undefined)).to.be.lessThan(100);
    });

    it("delivers it within a second to entries whose polls hang on dead connections", async () => {
        expect(await removalMilliseconds(fleet => [0, 3, 7].forEach(fleet.hangPolls))).to.be.lessThan(1_000);
    });

    it("delivers it even if the history is deleted while all polls hang, with about two calls per entry", async () => {
        let callsBefore = 0;
        let fleet: RecordFleet | undefined;
        const durationMilliseconds = await removalMilliseconds(started => {
            fleet = started;
            [...Array(entries).keys()].forEach(started.hangPolls);
            callsBefore = started.storeCalls();
            list(started, 2);
            list(started, 3);
            void started.clock.sleep(1, AbortSignal.timeout(10_000)).then(() => started.dropHistory("upstreams"));
        });
        expect(durationMilliseconds).to.be.lessThan(1_500);
        expect((fleet?.storeCalls() ?? Infinity) - callsBefore).to.be.at.most(2 * entries + 12);
    });

    it("keeps an entry that the store refuses up to date by its peers", async () => {
        const fleet = startRecordFleet({ entries });
        await fleet.clock.advance(3_000);
        fleet.setStoreFault(5, "refuses");
        await fleet.clock.advance(5_000);
        expect(Math.max(...unconfirmedFor(fleet, 5))).to.be.lessThan(1_000);
        list(fleet, 2);
        await fleet.clock.advance(500);
        expect(knows(fleet.states()[5]!, "u2")).to.equal(true);
        expect(Math.max(...unconfirmedFor(fleet, 5))).to.be.lessThan(1_000);
        fleet.stop();
    });

    it("lets an entry that is cut off from the store and all others know that it may miss records", async () => {
        const fleet = startRecordFleet({ entries });
        await fleet.clock.advance(3_000);
        fleet.setStoreFault(5, "refuses");
        fleet.isolate(5, true);
        await fleet.clock.advance(5_000);
        expect(Math.min(...unconfirmedFor(fleet, 5))).to.be.greaterThan(2_000);
        fleet.stop();
    });

    it("detects a store outage within two seconds, even if several entries die with it", async () => {
        const fleet = startRecordFleet({ entries });
        list(fleet, 1);
        await fleet.clock.advance(3_000);
        const living = [...Array(entries).keys()].slice(3);
        [0, 1, 2].forEach(fleet.kill);
        living.forEach(entry => fleet.setStoreFault(entry, "refuses"));
        await fleet.clock.advance(2_000);
        // An entry that has detected the outage keeps upstreams whose records expire.
        fleet.states().forEach((state, index) => {
            state.apply([{ kind: "upstream-gone", id: "u1" }]);
            expect(knows(state, "u1"), `entry ${living[index]}`).to.equal(true);
        });
        fleet.stop();
    });

    /** Milliseconds until all entries have the configuration, at most 20 s. */
    const timeToApply = async (fleet: RecordFleet, version: number): Promise<number> => {
        const startedAt = fleet.clock.now();
        while (
            fleet.states().some(state => versionOf(state) !== version) && fleet.clock.now() - startedAt < 20_000
        ) {
            await fleet.clock.advance(10);
        }
        return fleet.clock.now() - startedAt;
    };

    const startConfiguredFleet = async (zones: number): Promise<RecordFleet> => {
        const fleet = startRecordFleet({ entries, zones });
        fleet.write("operator", "config", configuration(1));
        list(fleet, 1);
        await fleet.clock.advance(4_000);
        expect(fleet.states().map(versionOf)).to.deep.equal(Array(entries).fill(1));
        return fleet;
    };

    for (const silentMilliseconds of [300, 1_000, 4_500]) {
        it(`applies a configuration within 2 s after only the operator's partition was silent for ${silentMilliseconds} ms`, async () => {
            const fleet = await startConfiguredFleet(3);
            fleet.silenceTopic("operator", true);
            for (let elapsed = 0; elapsed < silentMilliseconds; elapsed += 100) {
                list(fleet, elapsed);
                await fleet.clock.advance(100);
            }
            fleet.silenceTopic("operator", false);
            await fleet.clock.advance(500);
            fleet.write("operator", "config", configuration(2));
            expect(await timeToApply(fleet, 2)).to.be.lessThan(2_000);
            fleet.stop();
        });
    }

    it("applies a configuration within 2 s at entries that the store serves, while it is silent for the reader's zone", async () => {
        const fleet = await startConfiguredFleet(3);
        const silent = [...Array(entries).keys()].filter(entry => entry % 3 === 0);
        silent.forEach(entry => fleet.setStoreFault(entry, "silent"));
        await fleet.clock.advance(300);
        fleet.write("operator", "config", configuration(2));
        expect(await timeToApply(fleet, 2)).to.be.lessThan(2_000);
        fleet.stop();
    });

    it("knows that it may miss configurations while only the operator's partition is silent", async () => {
        const fleet = await startConfiguredFleet(3);
        fleet.silenceTopic("operator", true);
        await fleet.clock.advance(4_000);
        for (const entry of Array(entries).keys()) {
            const [operator, upstreams] = unconfirmedFor(fleet, entry);
            expect(operator).to.be.greaterThan(3_000);
            expect(upstreams).to.be.lessThan(1_200);
        }
        fleet.stop();
    });

    it("keeps upstreams whose records expire while only their partition is silent", async () => {
        const fleet = await startConfiguredFleet(3);
        fleet.silenceTopic("upstreams", true);
        await fleet.clock.advance(4_000);
        fleet.write("upstreams", "u1", undefined);
        fleet.silenceTopic("upstreams", false);
        for (let elapsed = 0; elapsed < 1_500; elapsed += 10) {
            await fleet.clock.advance(10);
            expect(fleet.states().every(state => knows(state, "u1"))).to.equal(true);
        }
        fleet.stop();
    });
});
