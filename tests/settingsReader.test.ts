import { expect } from "chai";
import { createSettingsReader, type SettingsReader } from "../src/protocol/settingsReader.js";
import type { SettingsState } from "../src/state/settingsTree.js";
import type { SettingsNode } from "../src/state/types.js";

describe("settings reader", () => {
    let state: SettingsState;
    let reader: SettingsReader;

    const applyChange = (nodes: Record<string, SettingsNode>): void => {
        const offset = state.offset + 1;
        const changed = Object.entries(nodes).map(([path, value]) => [path, { offset, value }] as const);
        state = { offset, nodes: new Map([...state.nodes, ...changed]) };
    };

    beforeEach(() => {
        state = { offset: -1, nodes: new Map() };
        reader = createSettingsReader(() => state);
    });

    it("keeps a zone out of service when its next value is invalid", () => {
        applyChange({ "availabilityZones/medina": { state: "out" } });
        expect(reader.isZoneOut("medina")).to.equal(true);
        applyChange({ "availabilityZones/medina": { state: "half" } });
        expect(reader.isZoneOut("medina")).to.equal(true);
        expect(reader.unreadable().map(({ path }) => path)).to.deep.equal(["availabilityZones/medina"]);
        applyChange({ "availabilityZones/medina": { state: "in" } });
        expect(reader.isZoneOut("medina")).to.equal(false);
        expect(reader.unreadable()).to.deep.equal([]);
    });

    it("treats a zone without a node as in service", () => {
        expect(reader.isZoneOut("ifrane")).to.equal(false);
    });

    it("uses the last valid values of a group", () => {
        applyChange({ "groups/council": { model: "council", ranks: 2, capacity: 8 } });
        expect(reader.group("council")?.capacity).to.equal(8);
        applyChange({ "groups/council": { model: "council", ranks: 2, capacity: "many" } });
        expect(reader.group("council")?.capacity).to.equal(8);
        expect(reader.groupsOfModel("council")).to.deep.equal(["council"]);
    });

    it("follows an API key that moves from one account to another", () => {
        const digest = "a".repeat(64);
        applyChange({ "clientAccounts/portal": { apiKeyDigests: [digest] } });
        expect(reader.clientAccountOfKey(digest)).to.equal("portal");
        applyChange({
            "clientAccounts/portal": { apiKeyDigests: [] },
            "clientAccounts/clerks": { apiKeyDigests: [digest] },
        });
        expect(reader.clientAccountOfKey(digest)).to.equal("clerks");
    });
});
