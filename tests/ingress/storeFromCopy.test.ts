/**
 * Records of the operator that are written after the store came back from an older copy, before any entry has read it again.
 * The bounds are those of the rules for evacuations and configurations.
 */
import { expect } from "chai";
import type { FeedRecord } from "../../src/coordination/ingress/deploymentFeed.js";
import type { DeploymentState } from "../../src/coordination/ingress/deploymentState.js";
import { emptyConfiguration } from "../support/configurations.js";
import { type RecordFleet, startRecordFleet } from "../support/recordFleet.js";

const entries = 9;
const evacuateMilliseconds = 5_000;
const applyMilliseconds = 2_000;

const evacuation: FeedRecord = { kind: "zone-evacuated", availabilityZone: "medina" };
const isEvacuated = (state: DeploymentState): boolean => state.evacuatedZones().includes("medina");

/** Milliseconds until all states satisfy `condition`, at most ten seconds. */
const timeUntil = async (fleet: RecordFleet, condition: (state: DeploymentState) => boolean): Promise<number> => {
    const startedAt = fleet.clock.now();
    while (!fleet.states().every(condition) && fleet.clock.now() - startedAt < 10_000) {
        await fleet.clock.advance(10);
    }
    return fleet.clock.now() - startedAt;
};

const startSettledFleet = async (): Promise<RecordFleet> => {
    const fleet = startRecordFleet({ entries, zones: 3, startSpreadMilliseconds: 300 });
    fleet.write("operator", "config", { kind: "configuration", configuration: emptyConfiguration(1) });
    await fleet.clock.advance(4_000);
    expect(fleet.states().every(state => state.routeTable() !== undefined)).to.equal(true);
    return fleet;
};

/** The store goes away, comes back without its latest records, and takes records before any entry has read it. */
const returnWith = async (fleet: RecordFleet, lost: number, write: () => void): Promise<void> => {
    const all = [...Array(entries).keys()];
    all.forEach(entry => fleet.setStoreFault(entry, "refuses"));
    await fleet.clock.advance(2_000);
    fleet.restoreFromCopy(lost);
    write();
    all.forEach(entry => fleet.setStoreFault(entry, undefined));
};

describe("the operator's records after the store came back from an older copy", () => {
    it("carry out an evacuation that is accepted before any entry has read the store again", async () => {
        const fleet = await startSettledFleet();
        await returnWith(fleet, 1, () => fleet.write("operator", "evacuate/medina", evacuation));
        expect(await timeUntil(fleet, isEvacuated)).to.be.lessThan(evacuateMilliseconds);
        await fleet.clock.advance(12_000);
        expect(fleet.states().every(isEvacuated)).to.equal(true);
        fleet.stop();
    });

    it("carry out an evacuation that is accepted once more at the offset of one that was lost and taken back", async () => {
        const fleet = await startSettledFleet();
        fleet.write("operator", "evacuate/medina", evacuation);
        await fleet.clock.advance(500);
        fleet.write("operator", "evacuate/medina", undefined);
        await fleet.clock.advance(500);
        await returnWith(fleet, 2, () => fleet.write("operator", "evacuate/medina", evacuation));
        expect(await timeUntil(fleet, isEvacuated)).to.be.lessThan(evacuateMilliseconds);
        fleet.stop();
    });

    it("end an evacuation that is taken back before any entry has read the store again", async () => {
        const fleet = await startSettledFleet();
        fleet.write("operator", "evacuate/medina", evacuation);
        await fleet.clock.advance(500);
        await returnWith(fleet, 1, () => fleet.write("operator", "evacuate/medina", undefined));
        expect(await timeUntil(fleet, state => !isEvacuated(state))).to.be.lessThan(evacuateMilliseconds);
        fleet.stop();
    });

    it("tell an entry that starts meanwhile of an evacuation that the store has lost, and of its end", async () => {
        const fleet = await startSettledFleet();
        fleet.write("operator", "evacuate/medina", evacuation);
        await fleet.clock.advance(500);
        await returnWith(fleet, 1, () => undefined);
        await fleet.clock.advance(1_500);
        fleet.kill(4);
        await fleet.clock.advance(500);
        fleet.start(4);
        await fleet.clock.advance(7_000);
        expect(fleet.states().every(isEvacuated)).to.equal(true);
        fleet.write("operator", "evacuate/medina", undefined);
        expect(await timeUntil(fleet, state => !isEvacuated(state))).to.be.lessThan(evacuateMilliseconds);
        fleet.stop();
    });

    it("put a configuration in force that is written with another content under the version that was lost", async () => {
        const fleet = await startSettledFleet();
        const timeouts = (state: DeploymentState) => state.routeTable()?.configuration.limits.idleTimeoutMilliseconds;
        const write = (version: number, idleTimeoutMilliseconds: number): void => {
            const configuration = emptyConfiguration(version);
            const limits = { ...configuration.limits, idleTimeoutMilliseconds };
            fleet.write("operator", "config", {
                kind: "configuration",
                configuration: { ...configuration, limits },
            });
        };
        write(7, 1_000);
        await fleet.clock.advance(500);
        write(8, 2_000);
        await fleet.clock.advance(500);
        await returnWith(fleet, 1, () => write(8, 3_000));
        expect(await timeUntil(fleet, state => timeouts(state) === 3_000)).to.be.lessThan(applyMilliseconds);
        await fleet.clock.advance(8_000);
        expect(fleet.states().every(state => timeouts(state) === 3_000)).to.equal(true);
        fleet.stop();
    });
});
