import { expect } from "chai";
import { describeProblem } from "../src/protocol/jsoncFile.js";
import { decodeSettingsDocument, describeEdits, planEdits } from "../src/protocol/settingsDocument.js";
import {
    clientAccountSettings,
    groupSettings,
    isIdempotentRoute,
    serviceSettings,
} from "../src/protocol/settingsSchema.js";
import { applySettingsRecord } from "../src/state/settingsStateMachine.js";
import { emptySettings, livePaths, nodeAt } from "../src/state/settingsTree.js";
import type { SettingsState } from "../src/state/settingsTree.js";

const digest = "a".repeat(64);

const document = `{
    // Defaults of the whole deployment.
    "": { "requestTimeoutMilliseconds": 30000 },
    "availabilityZones/fes-medina": {},
    "groups": { "coldCapacity": 2 },
    "groups/council": { "model": "council", "ranks": 4 },
    "services/dispatch": { "routes": [{ "method": "POST", "pathPrefix": "/search", "idempotent": true }] },
    "clientAccounts/clerks": { "apiKeyDigests": ["${digest}"], "requestsPerSecond": 20 },
    "clientAccounts/clerks/fes": { "priority": "interactive" },
}`;

const decode = (text: string) => decodeSettingsDocument("council.jsonc", text)._unsafeUnwrap();

const describeProblems = (text: string): string[] =>
    decodeSettingsDocument("council.jsonc", text)._unsafeUnwrapErr().map(describeProblem);

const applyDocument = (state: SettingsState, text: string): SettingsState =>
    applySettingsRecord(state, {
        offset: state.offset + 1,
        appendedAt: 0,
        body: { kind: "change", id: "x", author: "", comment: "", edits: planEdits(state, decode(text)) },
    }).state;

describe("settings document", () => {
    it("resolves values from the node, then its parents, then the defaults", () => {
        const state = applyDocument(emptySettings, document);
        expect(groupSettings(state, "council")._unsafeUnwrap())
            .to.include({ ranks: 4, coldCapacity: 2, capacity: 64, requestTimeoutMilliseconds: 30_000 });
        expect(clientAccountSettings(state, "clerks/fes")._unsafeUnwrap())
            .to.deep.equal({ apiKeyDigests: [], requestsPerSecond: 20, priority: "interactive" });
        const dispatch = serviceSettings(state, "dispatch")._unsafeUnwrap();
        expect(isIdempotentRoute(dispatch, "POST", "/search/pallets")).to.be.true;
        expect(isIdempotentRoute(dispatch, "POST", "/dispatches")).to.be.false;
        expect(clientAccountSettings(state, "buyers")._unsafeUnwrapErr()).to.include({ kind: "absent" });
    });

    it("reports all problems at once, each with file, line, path and expectation", () => {
        const wrong = document
            .replace(`"ranks": 4`, `"ranks": "four", "colour": "red"`)
            .replace(`"interactive"`, `"urgent"`)
            .replace(`"services/dispatch"`, `"service/dispatch"`);
        expect(describeProblems(wrong)).to.have.lengthOf(4);
        expect(describeProblems(wrong).join("\n"))
            .to.match(/council\.jsonc:6: field "groups\/council\.colour": one of/)
            .and.to.match(/council\.jsonc:6: field "groups\/council\.ranks": .*expected number/)
            .and.to.match(/council\.jsonc:7: field "service\/dispatch": a path that/)
            .and.to.match(/council\.jsonc:9: field "clientAccounts\/clerks\/fes\.priority": .*"interactive"/);
    });

    it("reports values missing after inheritance, duplicate keys and an API key of two accounts", () => {
        expect(describeProblems(`{ "groups/council": { "ranks": 4 } }`).join())
            .to.match(/field "groups\/council\.model": .*here or at a parent/);
        expect(describeProblems(`{\n "": {},\n "": {} }`)).to.deep.equal([
            `council.jsonc:3: field "": a key that occurs only once in its object`,
        ]);
        const shared = document.replace(`"priority"`, `"apiKeyDigests": ["${digest}"], "priority"`);
        expect(describeProblems(shared).join()).to.contain(
            `an API key of only one account, but "clientAccounts/clerks" also has it`,
        );
        expect(describeProblems(`{ "": `)[0]).to.match(/^council\.jsonc:1: field "": ValueExpected/);
    });

    it("plans no edits if the tree equals the document, and describes each changed value", () => {
        const state = applyDocument(emptySettings, document);
        expect(planEdits(state, decode(document))).to.deep.equal([]);
        const edited = decode(document.replace(`"coldCapacity": 2`, `"coldCapacity": 3`));
        expect(describeEdits(state, planEdits(state, edited)))
            .to.deep.equal([`~ "groups" (last changed at offset 0)`, "    coldCapacity: 2 → 3"]);
    });

    it("removes nodes that the document omits, and keeps listed nodes below a removed parent", () => {
        const state = applyDocument(emptySettings, document);
        const without = document.replace(/.*"clientAccounts\/clerks":.*\n/, "");
        const after = applyDocument(state, without);
        expect(nodeAt(after, "clientAccounts/clerks")).to.be.undefined;
        expect(nodeAt(after, "clientAccounts/clerks/fes")).to.deep.equal({ priority: "interactive" });
        expect(livePaths(applyDocument(after, "{}"))).to.deep.equal([]);
    });

    it("keeps a zone out of service that an operator took out, unless the document sets its state", () => {
        const out = applyDocument(emptySettings, `{ "availabilityZones/fes-medina": { "state": "out" } }`);
        expect(nodeAt(applyDocument(out, document), "availabilityZones/fes-medina")).to.deep.equal({ state: "out" });
        expect(nodeAt(applyDocument(out, "{}"), "availabilityZones/fes-medina")).to.deep.equal({ state: "out" });
        const back = applyDocument(out, `{ "availabilityZones/fes-medina": { "state": "in" } }`);
        expect(nodeAt(back, "availabilityZones/fes-medina")).to.deep.equal({ state: "in" });
    });
});
