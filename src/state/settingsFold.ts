/**
 * The rule by which every reader of the `settings` stream arrives at the same tree.
 *
 * A change is accepted only if none of the paths that it touches has been touched since the revision it was made from.
 * The rule looks at offsets and paths alone, never at values: daemons of different versions, which understand different
 * values, must accept the same history. For the same reason the structural check of records here must never change.
 */
import { ancestorsOf, isBelow } from "./settingsTree.js";
import type { SettingsState } from "./settingsTree.js";
import type {
    LogRecord,
    SettingsChange,
    SettingsEdit,
    SettingsPath,
    SettingsRecord,
    SettingsSnapshot,
    SettingsTreeNode,
} from "./types.js";

/** One path that changed after the revision an edit was made from, and the offset of the change that won. */
export type SettingsConflict = { path: SettingsPath; base: number; winningOffset: number; };

/**
 * What became of one record: `repeated` records were folded before, and a `gap` means that records before this one
 * are missing, so that nothing was folded.
 */
export type SettingsVerdict =
    | { kind: "accepted"; change: SettingsChange; }
    | { kind: "conflict"; change: SettingsChange; conflicts: SettingsConflict[]; }
    | { kind: "snapshot"; upToOffset: number; }
    | { kind: "malformed" | "repeated" | "gap"; };

export type SettingsFoldStep = { state: SettingsState; verdict: SettingsVerdict; };

/**
 * The offset of the last accepted change that touched `path`, or -1. An ancestor's removal touches all paths below it;
 * an edit that itself removes `path` touches all below it too, so that their last changes count.
 */
export const lastTouched = (state: SettingsState, path: SettingsPath, removes: boolean): number => {
    const own = Object.hasOwn(state.nodes, path) ? state.nodes[path]?.offset ?? -1 : -1;
    const removals = ancestorsOf(path).map(ancestor => state.nodes[ancestor]?.removedAt ?? -1);
    const below = removes
        ? Object.entries(state.nodes).filter(([other]) => isBelow(other, path)).map(([, node]) => node.offset)
        : [];
    return Math.max(own, ...removals, ...below);
};

/** Builds an edit of `path` made from `state`; `value` is absent to remove the node and all below it. */
export const editFrom = (state: SettingsState, path: SettingsPath, value?: SettingsEdit["value"]): SettingsEdit =>
    value === undefined
        ? { path, base: lastTouched(state, path, true) }
        : { path, base: lastTouched(state, path, false), value };

const isObject = (value: unknown): value is Record<string, unknown> =>
    typeof value === "object" && value !== null && !Array.isArray(value);

const isOffset = (value: unknown): value is number => Number.isSafeInteger(value) && (value as number) >= -1;

const isPath = (value: unknown): value is SettingsPath =>
    typeof value === "string" && value !== "__proto__" && (value === "" || value.split("/").every(part => part !== ""));

const isEdit = (value: unknown): value is SettingsEdit =>
    isObject(value) && isPath(value["path"]) && isOffset(value["base"])
    && (value["value"] === undefined || isObject(value["value"]));

const isChange = (body: unknown): body is SettingsChange =>
    isObject(body) && body["kind"] === "change" && typeof body["id"] === "string"
    && Array.isArray(body["edits"]) && body["edits"].every(isEdit);

const isTreeNode = (value: unknown): value is SettingsTreeNode =>
    isObject(value) && isOffset(value["offset"])
    && (value["value"] === undefined || isObject(value["value"]))
    && (value["removedAt"] === undefined || isOffset(value["removedAt"]));

const isSnapshotOf = (body: unknown, offset: number): body is SettingsSnapshot =>
    isObject(body) && body["kind"] === "snapshot" && isOffset(body["upToOffset"]) && body["upToOffset"] < offset
    && isObject(body["nodes"]) && Object.entries(body["nodes"]).every(([path, node]) =>
        isPath(path) && isTreeNode(node)
    );

const conflictsOf = (state: SettingsState, change: SettingsChange): SettingsConflict[] =>
    change.edits
        .map(edit => ({
            path: edit.path,
            base: edit.base,
            winningOffset: lastTouched(state, edit.path, edit.value === undefined),
        }))
        .filter(({ base, winningOffset }) => base !== winningOffset);

type MutableNodes = Record<SettingsPath, SettingsTreeNode>;

const removeNode = (nodes: MutableNodes, path: SettingsPath, offset: number): void => {
    for (const other of Object.keys(nodes)) {
        if (isBelow(other, path)) {
            Reflect.deleteProperty(nodes, other);
        }
    }
    nodes[path] = { offset, removedAt: offset };
};

const setNode = (nodes: MutableNodes, edit: SettingsEdit, offset: number): void => {
    const removedAt = nodes[edit.path]?.removedAt;
    nodes[edit.path] = { value: edit.value ?? {}, offset, ...(removedAt === undefined ? {} : { removedAt }) };
};

const applyChange = (state: SettingsState, change: SettingsChange, offset: number): SettingsState => {
    const nodes: MutableNodes = { ...state.nodes };
    for (const edit of change.edits) {
        if (edit.value === undefined) {
            removeNode(nodes, edit.path, offset);
        }
        else {
            setNode(nodes, edit, offset);
        }
    }
    return { offset, nodes };
};

/** Folds the next record into `state`; a record at or below its offset, or after a gap, leaves it as it was. */
export const foldSettingsRecord = (state: SettingsState, record: LogRecord<SettingsRecord>): SettingsFoldStep => {
    const { offset, body } = record;
    if (offset <= state.offset) {
        return { state, verdict: { kind: "repeated" } };
    }
    if (offset > state.offset + 1) {
        return { state, verdict: { kind: "gap" } };
    }
    const unchanged: SettingsState = { offset, nodes: state.nodes };
    if (isSnapshotOf(body, offset)) {
        return { state: unchanged, verdict: { kind: "snapshot", upToOffset: body.upToOffset } };
    }
    if (!isChange(body)) {
        return { state: unchanged, verdict: { kind: "malformed" } };
    }
    const conflicts = conflictsOf(state, body);
    return conflicts.length === 0
        ? { state: applyChange(state, body, offset), verdict: { kind: "accepted", change: body } }
        : { state: unchanged, verdict: { kind: "conflict", change: body, conflicts } };
};

/** Takes over the state that another daemon or a snapshot holds, unless this one's offset is as high. */
export const adoptSettings = (state: SettingsState, other: SettingsState): SettingsState =>
    other.offset > state.offset ? other : state;

/** The snapshot of `state`, to be appended to the stream. */
export const snapshotOf = (state: SettingsState): SettingsSnapshot => ({
    kind: "snapshot",
    upToOffset: state.offset,
    nodes: { ...state.nodes },
});

/** Every record that was folded, with its verdict, and the state after the last. */
export type SettingsFoldRun = {
    state: SettingsState;
    steps: { record: LogRecord<SettingsRecord>; verdict: SettingsVerdict; }[];
};

const baseForRecords = (state: SettingsState, records: readonly LogRecord<SettingsRecord>[]): SettingsState => {
    const first = records[0];
    if (first === undefined || first.offset <= state.offset + 1) {
        return state;
    }
    return records.reduce((base, { offset, body }) => {
        // A snapshot is of use only if the stream still holds every record after the last one that it includes.
        const usable = isSnapshotOf(body, offset) && body.upToOffset + 1 >= first.offset;
        return usable ? adoptSettings(base, { offset: body.upToOffset, nodes: body.nodes }) : base;
    }, state);
};

/**
 * Folds consecutive records. When records before the first are missing, starts from the newest snapshot among them
 * whose `upToOffset` they connect to; without one, the state stays as it was and every verdict is `gap`.
 */
export const foldSettingsRecords = (
    state: SettingsState,
    records: readonly LogRecord<SettingsRecord>[],
): SettingsFoldRun => {
    let current = baseForRecords(state, records);
    const steps: SettingsFoldRun["steps"] = [];
    for (const record of records) {
        const step = foldSettingsRecord(current, record);
        current = step.state;
        steps.push({ record, verdict: step.verdict });
    }
    return { state: current, steps };
};
