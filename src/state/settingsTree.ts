/**
 * The settings tree as an immutable value: nodes by path, each overriding only what differs from its parent.
 *
 * The parent of `clientAccounts/clerks/fes` is `clientAccounts/clerks`, then `clientAccounts`, then the root `""`. A
 * path without its own node inherits everything. A removed node remains as a tombstone, because its offset still
 * determines which changes conflict with the removal.
 */
import type { SettingsNode, SettingsPath, SettingsTreeNode } from "./types.js";

/** The state after all log records up to and including `offset`, which is -1 when no record has been read. */
export type SettingsState = {
    readonly offset: number;
    readonly nodes: ReadonlyMap<SettingsPath, SettingsTreeNode>;
};

export const emptySettings: SettingsState = { offset: -1, nodes: new Map() };

// An API key digest identifies exactly one client account, so accounts below that account must not inherit it.
const valuesNotInherited = new Set(["apiKeyDigests"]);

/** The paths that `path` inherits from, nearest first, excluding `path` itself; empty for the root. */
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

/** The node at `path`, unless the tree has none or it has been removed. */
export const nodeAt = (state: SettingsState, path: SettingsPath): SettingsNode | undefined =>
    state.nodes.get(path)?.value;

/** The paths of all nodes that have not been removed, sorted so that a parent precedes its children. */
export const livePaths = (state: SettingsState): SettingsPath[] =>
    [...state.nodes.keys()].filter(path => nodeAt(state, path) !== undefined).sort();

/** The paths of all nodes below `parent` at any depth, for example `childPaths(state, "clientAccounts")`. */
export const childPaths = (state: SettingsState, parent: SettingsPath): SettingsPath[] =>
    livePaths(state).filter(path => isBelow(path, parent));

/** For each value in effect at `path`, the path of the node that it comes from. */
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

/** The values in effect at `path`: its own overrides on top of those that it inherits. */
export const effectiveValues = (state: SettingsState, path: SettingsPath): SettingsNode =>
    Object.fromEntries(
        Object.entries(valueOrigins(state, path)).map(([name, source]) => [name, nodeAt(state, source)?.[name]]),
    );
