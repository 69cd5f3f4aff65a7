/**
 * The operators' settings document: the complete settings tree as one JSONC file with one member per path.
 *
 * Decoding reports all problems at once. Comparing the document with the current tree gives the edits that make the
 * tree equal to the document; each edit names the revision of the node that it is based on.
 */
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import { createHash } from "node:crypto";
import { isDeepStrictEqual } from "node:util";
import { editFrom } from "../state/settingsStateMachine.js";
import { ancestorsOf, isBelow, livePaths, nodeAt } from "../state/settingsTree.js";
import type { SettingsState } from "../state/settingsTree.js";
import type { SettingsEdit, SettingsNode, SettingsPath } from "../state/types.js";
import { decodeValue } from "./decoding.js";
import { parseJsoncFile } from "./jsoncFile.js";
import type { FileProblem, JsoncFile } from "./jsoncFile.js";
import {
    clientAccountSettings,
    fieldNames,
    groupSettings,
    kindOfPath,
    nodeSchemas,
    serviceSettings,
} from "./settingsSchema.js";
import type { SettingsFailure } from "./settingsSchema.js";

export type SettingsDocument = {
    nodes: Record<SettingsPath, SettingsNode>;
    /** First half of the SHA-256 digest of the nodes, in hexadecimal; equal documents have equal digests. */
    digest: string;
};

const segmentPattern = /^[A-Za-z0-9][A-Za-z0-9._-]*$/;
const digestCharacters = 32;

const isObject = (value: unknown): value is Record<string, unknown> =>
    typeof value === "object" && value !== null && !Array.isArray(value);

const validatePath = (path: SettingsPath): string | undefined => {
    if (kindOfPath(path) === undefined) {
        return `a path that is "" or starts with "availabilityZones", "groups", "services" or "clientAccounts"`;
    }
    return path === "" || path.split("/").every(segment => segmentPattern.test(segment))
        ? undefined
        : `names of letters, digits, ".", "_" and "-", joined by "/"`;
};

const validateNode = (file: JsoncFile, path: SettingsPath, node: unknown): FileProblem[] => {
    const kind = kindOfPath(path);
    const pathProblem = validatePath(path);
    if (pathProblem !== undefined || kind === undefined) {
        return [file.problemAt([path], pathProblem ?? "a known path")];
    }
    return decodeValue(nodeSchemas[kind], node).match(
        () => [],
        ({ problems }) =>
            problems.map(problem => {
                const isUnknown = problem.path.length === 1 && isObject(node)
                    && !fieldNames(kind).includes(String(problem.path[0]));
                const expected = isUnknown ? `one of ${fieldNames(kind).join(", ")}` : problem.expected;
                return file.problemAt([path, ...problem.path], expected);
            }),
    );
};

type EffectiveReader = (state: SettingsState, name: string) => Result<unknown, SettingsFailure>;

const effectiveReaders: Record<string, EffectiveReader> = {
    groups: groupSettings,
    services: serviceSettings,
    clientAccounts: clientAccountSettings,
};

/** Builds a settings tree from `nodes` alone. */
const buildTree = (nodes: Record<SettingsPath, SettingsNode>): SettingsState => ({
    offset: 0,
    nodes: new Map(Object.entries(nodes).map(([path, value]) => [path, { value, offset: 0 }])),
});

/** Finds values that are missing or invalid after inheritance is applied. */
const validateEffectiveSettings = (file: JsoncFile, nodes: Record<SettingsPath, SettingsNode>): FileProblem[] => {
    const tree = buildTree(nodes);
    return Object.keys(nodes).flatMap(path => {
        const [first = "", ...rest] = path.split("/");
        const reader = Object.hasOwn(effectiveReaders, first) ? effectiveReaders[first] : undefined;
        if (reader === undefined || rest.length === 0) {
            return [];
        }
        return reader(tree, rest.join("/")).match(
            () => [],
            failure =>
                failure.kind === "absent"
                    ? []
                    : failure.problems.map(problem =>
                        file.problemAt([path, ...problem.path], `${problem.expected}, here or at a parent`)
                    ),
        );
    });
};

const validateUniqueApiKeys = (file: JsoncFile, nodes: Record<SettingsPath, SettingsNode>): FileProblem[] => {
    const owners = new Map<unknown, SettingsPath>();
    return Object.entries(nodes).flatMap(([path, node]) => {
        const digests: unknown = node["apiKeyDigests"];
        return (Array.isArray(digests) ? digests as unknown[] : []).flatMap((digest, position) => {
            const owner = owners.get(digest);
            owners.set(digest, owner ?? path);
            return owner === undefined
                ? []
                : [file.problemAt(
                    [path, "apiKeyDigests", position],
                    `an API key of only one account, but "${owner}" also has it`,
                )];
        });
    });
};

const digestOf = (nodes: Record<SettingsPath, SettingsNode>): string =>
    createHash("sha256").update(JSON.stringify(nodes)).digest("hex").slice(0, digestCharacters);

/** Decodes the text of a document; `name` is the file name used in problems. */
export const decodeSettingsDocument = (name: string, text: string): Result<SettingsDocument, FileProblem[]> =>
    parseJsoncFile(name, text).andThen(file => {
        if (!isObject(file.value)) {
            return err([file.problemAt([], "an object with one member for each path of the tree")]);
        }
        const nodeProblems = Object.entries(file.value).flatMap(([path, node]) => validateNode(file, path, node));
        if (nodeProblems.length > 0) {
            return err(nodeProblems);
        }
        const nodes = file.value as Record<SettingsPath, SettingsNode>;
        const treeProblems = [...validateEffectiveSettings(file, nodes), ...validateUniqueApiKeys(file, nodes)];
        return treeProblems.length > 0 ? err(treeProblems) : ok({ nodes, digest: digestOf(nodes) });
    });

/** Values of `path` according to the document; a zone whose `state` the document omits keeps its current state. */
const targetNode = (state: SettingsState, path: SettingsPath, node: SettingsNode): SettingsNode => {
    const currentState = nodeAt(state, path)?.["state"];
    return kindOfPath(path) === "availabilityZone" && node["state"] === undefined && currentState !== undefined
        ? { ...node, state: currentState }
        : node;
};

const isZoneOut = (state: SettingsState, path: SettingsPath): boolean =>
    kindOfPath(path) === "availabilityZone" && nodeAt(state, path)?.["state"] === "out";

/** Computes the edits that make the tree of `state` equal to `document`; removals come first. */
export const planEdits = (state: SettingsState, document: SettingsDocument): SettingsEdit[] => {
    const missingPaths = livePaths(state).filter(path =>
        !Object.hasOwn(document.nodes, path) && !isZoneOut(state, path)
    );
    const removalRoots = missingPaths.filter(path =>
        !ancestorsOf(path).some(ancestor => missingPaths.includes(ancestor))
    );
    const edits = Object.entries(document.nodes).flatMap(([path, node]) => {
        const target = targetNode(state, path, node);
        const isRemoved = removalRoots.some(ancestor => isBelow(path, ancestor));
        return isDeepStrictEqual(nodeAt(state, path), target) && !isRemoved ? [] : [editFrom(state, path, target)];
    });
    return [...removalRoots.map(path => editFrom(state, path)), ...edits];
};

const formatValue = (value: unknown): string => value === undefined ? "(not set)" : JSON.stringify(value);

const describeChangedFields = (before: SettingsNode, after: SettingsNode): string[] =>
    [...new Set([...Object.keys(before), ...Object.keys(after)])]
        .filter(name => !isDeepStrictEqual(before[name], after[name]))
        .map(name => `    ${name}: ${formatValue(before[name])} → ${formatValue(after[name])}`);

/** Formats the changes that `edits` would make in the tree of `state`, as lines. */
export const describeEdits = (state: SettingsState, edits: readonly SettingsEdit[]): string[] =>
    edits.flatMap(({ path, base, value }) => {
        const before = nodeAt(state, path);
        if (value === undefined) {
            return [`- "${path}" and all below it (last changed at offset ${base})`];
        }
        return before === undefined
            ? [`+ "${path}"`, ...describeChangedFields({}, value)]
            : [`~ "${path}" (last changed at offset ${base})`, ...describeChangedFields(before, value)];
    });
