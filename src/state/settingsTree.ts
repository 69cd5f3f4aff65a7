/**
 * The tree of settings as a pure value: nodes by path, each overriding only what differs from its parent.
 *
 * The parent of `clientAccounts/clerks/fes` is `clientAccounts/clerks`, then `clientAccounts`, then the root `""`. A
 * path without a node of its own inherits everything. A removed node stays as a tombstone, since its offset still
 * decides which changes conflict with the removal.
 */
import type { SettingsNode, SettingsPath, SettingsTreeNode } from "./types.js";

/** What the log's records up to and including `offset` amount to; -1 when nothing has been read. */
export type SettingsState = {
    readonly offset: number;
    readonly nodes: ReadonlyMap<SettingsPath, SettingsTreeNode>;
};

export const emptySettings: SettingsState = { offset: -1, nodes: new Map() };

// A digest of an API key names exactly one client account, so the accounts below it must not take it over.
const valuesNotInherited = new Set(["apiKeyDigests"]);

/** The paths that `path` inherits from, nearest first, without `path` itself; empty for the root. */
export const ancestorsOf = (path: SettingsPath): SettingsPath[] => {
    if (path === "") {
        return [];
    }
    const segments = path.split("/");
    const ancestors = [...segments.keys()].map(length => segments.slice(0, length).join("/"));
    return ancestors.reverse();
};

/** Whether `path` lies below `ancestor`; a path is not below itself. */
export const isBelow = (path: SettingsPath, ancestor: SettingsPath): boolean =>
    path !== ancestor && (ancestor === "" || path.startsWith(`${ancestor}/`));

/** The node at `path` if the tree holds one that has not been removed. */
export const nodeAt = (state: SettingsState, path: SettingsPath): SettingsNode | undefined =>
    state.nodes.get(path)?.value;

/** Every path that holds a node, sorted, so that a parent comes before its children. */
export const livePaths = (state: SettingsState): SettingsPath[] =>
    [...state.nodes.keys()].filter(path => nodeAt(state, path) !== undefined).sort();

/** The names one level below `parent`, for example every client account: `childNames(state, "clientAccounts")`. */
export const childPaths = (state: SettingsState, parent: SettingsPath): SettingsPath[] =>
    livePaths(state).filter(path => isBelow(path, parent));

/** For each value in force at `path`, the path of the node that it comes from. */
export const valueOrigins = (state: SettingsState, path: SettingsPath): Record<string, SettingsPath> => {
    const result: Record<string, SettingsPath> = {};
    for (const source of [...ancestorsOf(path).reverse(), path]) {
        for (const name of Object.keys(nodeAt(state, source) ?? {})) {
            if (source === path || !valuesNotInherited.has(name)) {
                result[name] = source;
            }
        }
    }
    return result;
};

/** The values in force at `path`: its own overrides over those that it inherits. */
export const effectiveValues = (state: SettingsState, path: SettingsPath): SettingsNode =>
    Object.fromEntries(
        Object.entries(valueOrigins(state, path)).map(([name, source]) => [name, nodeAt(state, source)?.[name]]),
    );
