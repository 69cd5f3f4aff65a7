/**
 * Follows one stream of the log from an offset on, for as long as its signal lives.
 */
import type { Clock, LogSlice } from "../state/types.js";
import type { LogStream, ReadFailure } from "./logStream.js";

const longestReadMilliseconds = 10_000;
const firstBackoffMilliseconds = 50;
const longestBackoffMilliseconds = 1_000;
const emptyReadPauseMilliseconds = 10;

export type StreamTail<Body> = {
    stream: LogStream<Body>;
    clock: Clock;
    /** Offset of the first record that is still needed. */
    nextOffset: () => number;
    /** Whether the end of the stream was reached; until then a read does not wait for further records. */
    atEnd: () => boolean;
    onSlice: (slice: LogSlice<Body>) => void;
    onFailure: (failure: ReadFailure) => void;
};

/** Reads the stream slice by slice; a failed read is tried again, at first soon and then once a second. */
export const followStream = async <Body>(tail: StreamTail<Body>, signal: AbortSignal): Promise<void> => {
    const { stream, clock } = tail;
    let backoff = firstBackoffMilliseconds;
    while (!signal.aborted) {
        const startedAt = clock.now();
        const waitMilliseconds = tail.atEnd() ? longestReadMilliseconds : 0;
        const slice = await stream.read(tail.nextOffset(), waitMilliseconds, signal);
        if (signal.aborted) {
            return;
        }
        if (slice.isErr()) {
            tail.onFailure(slice.error);
            await clock.sleep(backoff, signal);
            backoff = Math.min(backoff * 2, longestBackoffMilliseconds);
            continue;
        }
        backoff = firstBackoffMilliseconds;
        tail.onSlice(slice.value);
        // A log that does not wait for records must not be asked in a tight loop.
        if (slice.value.records.length === 0 && clock.now() - startedAt < emptyReadPauseMilliseconds) {
            await clock.sleep(emptyReadPauseMilliseconds, signal);
        }
    }
};
