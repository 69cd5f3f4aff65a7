/**
 * Follows a group's log stream and keeps the state that it amounts to.
 */
import { emptyGroup, foldGroupRecord, type GroupRecord } from "../state/groupFold.js";
import type { Clock, LogRecord } from "../state/types.js";
import type { LogStream } from "./logStream.js";
import type { GroupLog } from "./mapParts.js";
import { followStream } from "./streamTail.js";

export type GroupLogOptions = {
    stream: LogStream<GroupRecord>;
    /** Checks a record's body; a body that is not one of ours is skipped. */
    decode: (body: unknown) => GroupRecord | undefined;
    clock: Clock;
    signal: AbortSignal;
};

/** Starts the task that follows the stream until the signal aborts. */
export const startGroupLog = ({ stream, decode, clock, signal }: GroupLogOptions): GroupLog => {
    const listeners = new Set<() => void>();
    let state = emptyGroup;
    let nextOffset = 0;
    let atEnd = false;

    const take = ({ body, ...place }: LogRecord<GroupRecord>): void => {
        const decoded = decode(body);
        if (decoded !== undefined) {
            state = foldGroupRecord(state, { ...place, body: decoded });
        }
    };

    void followStream({
        stream,
        clock,
        nextOffset: () => nextOffset,
        atEnd: () => atEnd,
        onSlice: slice => {
            slice.records.forEach(take);
            nextOffset = Math.max(slice.records.at(-1)?.offset ?? -1, nextOffset - 1) + 1;
            atEnd = nextOffset >= slice.nextOffset;
            if (slice.records.length > 0) {
                listeners.forEach(listener => listener());
            }
        },
        onFailure: () => undefined,
    }, signal);

    return {
        state: () => state,
        atEnd: () => atEnd,
        onChange: (listener, until) => {
            listeners.add(listener);
            until.addEventListener("abort", () => listeners.delete(listener), { once: true });
        },
    };
};
