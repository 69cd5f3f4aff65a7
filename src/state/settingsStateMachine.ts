/**
 * State machine of the `settings` stream: the rules by which all readers build the same tree.
 *
 * A change is accepted only if none of the paths that it touches has been touched since the revision on which it is
 * based. The rule considers offsets and paths only, never values: daemons of different versions, which understand
 * different values, must accept the same history. For the same reason the structural validation of records in this
 * module must never change.
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

/** A path that changed after the revision on which an edit is based, and the offset of the change that won. */
export type SettingsConflict = { path: SettingsPath; base: number; winningOffset: number; };

/**
 * How one record was evaluated: a `repeated` record had already been applied, and a `gap` means that earlier records
 * are missing, so that nothing was applied.
 */
export type SettingsVerdict =
    | { kind: "accepted"; change: SettingsChange; }
    | { kind: "conflict"; change: SettingsChange; conflicts: SettingsConflict[]; }
    | { kind: "snapshot"; upToOffset: number; }
    | { kind: "malformed" | "repeated" | "gap"; };

export type AppliedSettingsRecord = { state: SettingsState; verdict: SettingsVerdict; };

const pathsBelow = ({ nodes }: SettingsState, path: SettingsPath): SettingsPath[] =>
    [...nodes.keys()].filter(other => isBelow(other, path));

/**
 * Offset of the last accepted change that touched `path`, or -1. The removal of an ancestor touches all paths below it.
 * An edit that itself removes `path` also touches all paths below it, so that their last changes count as well.
 */
export const lastTouchedOffset = (state: SettingsState, path: SettingsPath, removes: boolean): number => {
    const ownOffset = state.nodes.get(path)?.offset ?? -1;
    const removals = ancestorsOf(path).map(ancestor => state.nodes.get(ancestor)?.removedAt ?? -1);
    const touched = Math.max(ownOffset, ...removals);
    return removes
        ? pathsBelow(state, path).reduce((last, below) => Math.max(last, state.nodes.get(below)?.offset ?? -1), touched)
        : touched;
};

/** Builds an edit of `path` based on `state`; `value` is absent to remove the node and all nodes below it. */
export const editFrom = (state: SettingsState, path: SettingsPath, value?: SettingsEdit["value"]): SettingsEdit =>
    value === undefined
        ? { path, base: lastTouchedOffset(state, path, true) }
        : { path, base: lastTouchedOffset(state, path, false), value };

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

const isSnapshotBefore = (body: unknown, offset: number): body is SettingsSnapshot =>
    isObject(body) && body["kind"] === "snapshot" && isOffset(body["upToOffset"]) && body["upToOffset"] < offset
    && isObject(body["nodes"]) && Object.entries(body["nodes"]).every(([path, node]) =>
        isPath(path) && isTreeNode(node)
    );

const conflictsOf = (state: SettingsState, change: SettingsChange): SettingsConflict[] =>
    change.edits
        .map(edit => ({
            path: edit.path,
            base: edit.base,
            winningOffset: lastTouchedOffset(state, edit.path, edit.value === undefined),
        }))
        .filter(({ base, winningOffset }) => base !== winningOffset);

/**
 * A mutable copy of a state, made before its first change, so that a batch of records copies a large tree only once.
 */
type Draft = { offset: number; nodes: Map<SettingsPath, SettingsTreeNode>; };

const applyEdit = (draft: Draft, { path, value }: SettingsEdit, offset: number): void => {
    if (value === undefined) {
        pathsBelow(draft, path).forEach(below => draft.nodes.delete(below));
        draft.nodes.set(path, { offset, removedAt: offset });
        return;
    }
    const removedAt = draft.nodes.get(path)?.removedAt;
    draft.nodes.set(path, { value, offset, ...(removedAt === undefined ? {} : { removedAt }) });
};

/** Evaluates `record` against `state`; the caller advances the offset and applies the edits. */
const evaluateRecord = (state: SettingsState, { offset, body }: LogRecord<SettingsRecord>): SettingsVerdict => {
    if (offset !== state.offset + 1) {
        return { kind: offset <= state.offset ? "repeated" : "gap" };
    }
    if (isSnapshotBefore(body, offset)) {
        return { kind: "snapshot", upToOffset: body.upToOffset };
    }
    if (!isChange(body)) {
        return { kind: "malformed" };
    }
    const conflicts = conflictsOf(state, body);
    return conflicts.length === 0
        ? { kind: "accepted", change: body }
        : { kind: "conflict", change: body, conflicts };
};

/** All records that were read, with their verdicts, and the state after the last one. */
export type SettingsReplay = {
    state: SettingsState;
    steps: { record: LogRecord<SettingsRecord>; verdict: SettingsVerdict; }[];
};

const replayFrom = (base: SettingsState, records: readonly LogRecord<SettingsRecord>[]): SettingsReplay => {
    let draft: Draft | undefined;
    let state = base;
    const steps = records.map(record => {
        const verdict = evaluateRecord(state, record);
        if (verdict.kind === "accepted") {
            const ownDraft = draft ??= { offset: state.offset, nodes: new Map(state.nodes) };
            verdict.change.edits.forEach(edit => applyEdit(ownDraft, edit, record.offset));
            state = ownDraft;
        }
        if (verdict.kind !== "repeated" && verdict.kind !== "gap") {
            state = { offset: record.offset, nodes: state.nodes };
        }
        return { record, verdict };
    });
    return { state, steps };
};

/** Applies the next record to `state`; a record at or below its offset, or after a gap, leaves the state unchanged. */
export const applySettingsRecord = (state: SettingsState, record: LogRecord<SettingsRecord>): AppliedSettingsRecord => {
    const replay = replayFrom(state, [record]);
    return { state: replay.state, verdict: replay.steps[0]?.verdict ?? { kind: "gap" } };
};

/** Returns the state with the higher offset; `other` comes from another daemon or from a snapshot. */
export const adoptSettings = (state: SettingsState, other: SettingsState): SettingsState =>
    other.offset > state.offset ? other : state;

/** A snapshot of `state`, to be appended to the stream or sent to another daemon. */
export const snapshotOf = (state: SettingsState): SettingsSnapshot => ({
    kind: "snapshot",
    upToOffset: state.offset,
    nodes: Object.fromEntries(state.nodes),
});

/** The state contained in a snapshot. */
export const stateFromSnapshot = ({ upToOffset, nodes }: SettingsSnapshot): SettingsState => ({
    offset: upToOffset,
    nodes: new Map(Object.entries(nodes)),
});

const startingStateFor = (state: SettingsState, records: readonly LogRecord<SettingsRecord>[]): SettingsState => {
    const first = records[0];
    if (first === undefined || first.offset <= state.offset + 1) {
        return state;
    }
    const snapshots = records.flatMap(({ offset, body }) => isSnapshotBefore(body, offset) ? [body] : []);
    // A snapshot is usable only if the stream still holds every record after the last one that the snapshot includes.
    const newest = snapshots.filter(({ upToOffset }) => upToOffset + 1 >= first.offset)
        .reduce<SettingsSnapshot | undefined>(
            (best, snapshot) => best === undefined || snapshot.upToOffset > best.upToOffset ? snapshot : best,
            undefined,
        );
    return newest === undefined ? state : adoptSettings(state, stateFromSnapshot(newest));
};

/**
 * Applies consecutive records. If records before the first one are missing, starts from the newest snapshot in
 * `records` whose `upToOffset` connects to them; without such a snapshot, the state is unchanged and every verdict is
 * `gap`.
 */
export const applySettingsRecords = (
    state: SettingsState,
    records: readonly LogRecord<SettingsRecord>[],
): SettingsReplay => replayFrom(startingStateFor(state, records), records);
