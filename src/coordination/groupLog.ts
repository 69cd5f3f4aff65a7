/**
 * Follows a group's log stream and maintains the state derived from it.
 */
import { applyGroupRecord, emptyGroupState, type GroupRecord } from "../state/groupState.js";
import type { Clock, LogRecord } from "../state/types.js";
import { followStream } from "./followStream.js";
import type { LogStream } from "./logStream.js";
import type { GroupLog } from "./mapSwitchInterfaces.js";

export type GroupLogOptions = {
    stream: LogStream<GroupRecord>;
    /** Validates the body of a record; a record for which it returns undefined is skipped. */
    decode: (body: unknown) => GroupRecord | undefined;
    clock: Clock;
    signal: AbortSignal;
};

/** Starts to follow the stream, until the signal aborts. */
export const startGroupLog = ({ stream, decode, clock, signal }: GroupLogOptions): GroupLog => {
    const listeners = new Set<() => void>();
    let state = emptyGroupState;
    let nextOffset = 0;
    let isCaughtUp = false;

    const applyRecord = ({ body, ...position }: LogRecord<GroupRecord>): void => {
        const decoded = decode(body);
        if (decoded !== undefined) {
            state = applyGroupRecord(state, { ...position, body: decoded });
        }
    };

    void followStream({
        stream,
        clock,
        nextOffset: () => nextOffset,
        isCaughtUp: () => isCaughtUp,
        onSlice: slice => {
            slice.records.forEach(applyRecord);
            nextOffset = Math.max(slice.records.at(-1)?.offset ?? -1, nextOffset - 1) + 1;
            isCaughtUp = nextOffset >= slice.nextOffset;
            if (slice.records.length > 0) {
                listeners.forEach(listener => listener());
            }
        },
        onFailure: () => undefined,
    }, signal);

    return {
        state: () => state,
        isCaughtUp: () => isCaughtUp,
        onChange: (listener, until) => {
            listeners.add(listener);
            until.addEventListener("abort", () => listeners.delete(listener), { once: true });
        },
    };
};
