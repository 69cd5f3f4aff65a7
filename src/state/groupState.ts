/**
 * State derived from the log stream of a group: its coordinator with the fencing token, and its newest map commit.
 *
 * A commit counts only if it carries the fencing token of the last coordinator claim before it in the stream, so a
 * coordinator that was paused and replaced commits nothing. A snapshot repeats the state for readers that start after
 * retention has dropped older records. It changes nothing for readers that are further ahead.
 */
import type { ExpertMap } from "./expertMap.js";
import type { MapCommit } from "./mapPromise.js";
import type { LogRecord } from "./types.js";

/** Claim of an agent to coordinate the group. The offset of the record is its fencing token. */
export type CoordinateRecord = { kind: "coordinate"; rank: number; incarnation: string; };

export type CommitRecord = { kind: "commit"; fence: number; plan: string; map: ExpertMap; };

export type GroupSnapshot = { kind: "snapshot"; state: GroupState; };

export type GroupRecord = CoordinateRecord | CommitRecord | GroupSnapshot;

export type Coordinator = { rank: number; incarnation: string; fence: number; };

export type GroupState = {
    /** Offset of the last record applied, -1 for none. */
    offset: number;
    coordinator?: Coordinator;
    commit?: MapCommit;
};

export const emptyGroupState: GroupState = { offset: -1 };

const newerOf = <Name extends string, Entry>(
    left: Entry | undefined,
    right: Entry | undefined,
    order: (entry: Entry) => number,
    name: Name,
): { [Key in Name]?: Entry; } => {
    const candidates = [left, right].filter(entry => entry !== undefined);
    const newest = candidates.sort((first, second) => order(second) - order(first))[0];
    return (newest === undefined ? {} : { [name]: newest }) as { [Key in Name]?: Entry; };
};

type RecordReducer<Body> = (state: GroupState, body: Body, offset: number) => GroupState;

const reducers: { [Kind in GroupRecord["kind"]]: RecordReducer<Extract<GroupRecord, { kind: Kind; }>>; } = {
    coordinate: (state, { rank, incarnation }, offset) => ({
        ...state,
        offset,
        coordinator: { rank, incarnation, fence: offset },
    }),
    commit: (state, { fence, plan, map }, offset) =>
        state.coordinator?.fence === fence
            ? { ...state, offset, commit: { commit: offset, plan, map } }
            : { ...state, offset },
    // Keeps the newer of each part, so that a snapshot that raced with other records reverts nothing.
    snapshot: (state, { state: { coordinator, commit } }, offset) => ({
        offset,
        ...newerOf(state.coordinator, coordinator, entry => entry.fence, "coordinator"),
        ...newerOf(state.commit, commit, entry => entry.commit, "commit"),
    }),
};

/** Applies one record; a record that was already applied changes nothing. */
export const applyGroupRecord = (state: GroupState, record: LogRecord<GroupRecord>): GroupState => {
    if (record.offset <= state.offset) {
        return state;
    }
    const reducer = reducers[record.body.kind] as RecordReducer<GroupRecord>;
    return reducer(state, record.body, record.offset);
};
