/**
 * `cyclamengap settings`: checks, plans and applies settings documents, and shows the settings tree.
 */
import { defineCommand } from "citty";
import { v7 as newId } from "uuid";
import type { SettingsHistory } from "../../coordination/settingsChange.js";
import { describeEdits, planEdits } from "../../protocol/settingsDocument.js";
import type { SettingsDocument } from "../../protocol/settingsDocument.js";
import { effectiveValues, livePaths, nodeAt, valueOrigins } from "../../state/settingsTree.js";
import type { SettingsState } from "../../state/settingsTree.js";
import type { SettingsChange, SettingsPath } from "../../state/types.js";
import {
    changeArguments,
    exitStatus,
    fail,
    interruptSignal,
    loadDocument,
    loadSettings,
    openSettings,
    platformArgument,
    print,
} from "./commandSupport.js";
import { history } from "./history.js";
import { submitChange } from "./submit.js";

const fileArgument = {
    file: { type: "positional", required: true, description: "settings document, JSON with comments" },
} as const;

const check = defineCommand({
    meta: { name: "check", description: "check a settings document without sending anything" },
    args: fileArgument,
    run: ({ args }) => {
        const document = loadDocument(args.file);
        if (document !== undefined) {
            print(`${args.file}: ${Object.keys(document.nodes).length} nodes, no problems`);
        }
    },
});

const plan = defineCommand({
    meta: { name: "plan", description: "show what a settings document would change" },
    args: { ...fileArgument, ...platformArgument },
    run: async ({ args }) => {
        const document = loadDocument(args.file);
        const reading = document && await loadSettings(openSettings(args.platform), interruptSignal());
        if (document !== undefined && reading !== undefined) {
            const edits = planEdits(reading.state, document);
            print(...describeEdits(reading.state, edits));
            print(`${edits.length} nodes differ from the current settings at offset ${reading.state.offset}`);
        }
    },
});

const changeIdPrefix = (document: SettingsDocument): string => `${document.digest}.`;

type EarlierChange = { offset: number; id: string; };

/** The last accepted change made from an identical document, if the log still holds it. */
const earlierChange = ({ steps }: SettingsHistory, document: SettingsDocument): EarlierChange | undefined =>
    steps.flatMap(({ record, verdict }) =>
        verdict.kind === "accepted" && verdict.change.id.startsWith(changeIdPrefix(document))
            ? [{ offset: record.offset, id: verdict.change.id }]
            : []
    ).at(-1);

const apply = defineCommand({
    meta: { name: "apply", description: "make the settings equal to a document and wait for the outcome" },
    args: {
        ...fileArgument,
        ...changeArguments,
        again: { type: "boolean", default: false, description: "apply a document again that was already accepted" },
    },
    run: async ({ args }) => {
        const signal = interruptSignal();
        const stream = openSettings(args.platform);
        const document = loadDocument(args.file);
        const reading = document && await loadSettings(stream, signal);
        if (document === undefined || reading === undefined) {
            return;
        }
        const { state } = reading;
        const edits = planEdits(state, document);
        if (edits.length === 0) {
            print(`nothing to change: the settings at offset ${state.offset} already match the document`);
            return;
        }
        const earlier = earlierChange(reading, document);
        if (earlier !== undefined && !args.again) {
            fail(
                exitStatus.rejected,
                `this document was accepted at offset ${earlier.offset} (change ${earlier.id}); others changed since:`,
                ...describeEdits(state, edits),
                "pass --again to undo their changes",
            );
            return;
        }
        const { author, comment } = args;
        const id = changeIdPrefix(document) + newId();
        const change: SettingsChange = { kind: "change", id, author, comment, edits };
        print(...describeEdits(state, edits), `sending change ${id}`);
        await submitChange(change, stream, args["timeout-seconds"], signal);
    },
});

const pathPrefixes: Record<string, string> = {
    "availability-zone": "availabilityZones/",
    "client-account": "clientAccounts/",
    "group": "groups/",
    "service": "services/",
};

const printEffective = (state: SettingsState, path: SettingsPath): void => {
    if (nodeAt(state, path) === undefined) {
        fail(exitStatus.rejected, `node "${path}" does not exist; it would inherit these values:`);
    }
    const values = effectiveValues(state, path);
    const sources = Object.entries(valueOrigins(state, path)).sort();
    print(...sources.map(([name, source]) => `${name}: ${JSON.stringify(values[name])}  (from "${source}")`));
};

const printTree = (state: SettingsState): void => {
    const nodes = livePaths(state).map(path => [path, nodeAt(state, path)]);
    print(`// current settings at offset ${state.offset}`, JSON.stringify(Object.fromEntries(nodes), undefined, 4));
};

const show = defineCommand({
    meta: { name: "show", description: "show the settings tree, or with --effective the effective values of one node" },
    args: {
        ...platformArgument,
        effective: { type: "string", description: `${Object.keys(pathPrefixes).join(", ")}; its name follows` },
        name: { type: "positional", required: false, description: "name of the node for --effective" },
    },
    run: async ({ args }) => {
        const prefix = args.effective === undefined ? "" : pathPrefixes[args.effective];
        if (prefix === undefined || (args.effective !== undefined && args.name === undefined)) {
            fail(
                exitStatus.invalidInput,
                `option "effective": one of ${Object.keys(pathPrefixes).join(", ")}, and a name`,
            );
            return;
        }
        const reading = await loadSettings(openSettings(args.platform), interruptSignal());
        if (reading !== undefined && args.effective !== undefined) {
            printEffective(reading.state, `${prefix}${args.name ?? ""}`);
        }
        else if (reading !== undefined) {
            printTree(reading.state);
        }
    },
});

export const settings = defineCommand({
    meta: { name: "settings", description: "the settings tree on the platform's log" },
    subCommands: { check, plan, apply, show, history },
});
