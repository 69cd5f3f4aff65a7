/**
 * Follows one stream of the log from an offset on, for as long as its signal lives.
 */
import type { Clock, LogSlice } from "../state/types.js";
import type { LogStream, ReadFailure } from "./logStream.js";

const longPollMilliseconds = 10_000;
const firstBackoffMilliseconds = 50;
const maximumBackoffMilliseconds = 1_000;
const emptyReadPauseMilliseconds = 10;

export type FollowStreamOptions<Body> = {
    stream: LogStream<Body>;
    clock: Clock;
    /** Offset of the first record that is still needed. */
    nextOffset: () => number;
    /** Whether the end of the stream was reached; until then a read does not wait for further records. */
    isCaughtUp: () => boolean;
    onSlice: (slice: LogSlice<Body>) => void;
    onFailure: (failure: ReadFailure) => void;
};

/** Reads the stream slice by slice; a failed read is tried again, at first soon and then once a second. */
export const followStream = async <Body>(options: FollowStreamOptions<Body>, signal: AbortSignal): Promise<void> => {
    const { stream, clock } = options;
    let backoffMilliseconds = firstBackoffMilliseconds;
    while (!signal.aborted) {
        const startedAt = clock.now();
        const waitMilliseconds = options.isCaughtUp() ? longPollMilliseconds : 0;
        const slice = await stream.read(options.nextOffset(), waitMilliseconds, signal);
        if (signal.aborted) {
            return;
        }
        if (slice.isErr()) {
            options.onFailure(slice.error);
            await clock.sleep(backoffMilliseconds, signal);
            backoffMilliseconds = Math.min(backoffMilliseconds * 2, maximumBackoffMilliseconds);
            continue;
        }
        backoffMilliseconds = firstBackoffMilliseconds;
        options.onSlice(slice.value);
        // A log that does not wait for records must not be asked in a tight loop.
        if (slice.value.records.length === 0 && clock.now() - startedAt < emptyReadPauseMilliseconds) {
            await clock.sleep(emptyReadPauseMilliseconds, signal);
        }
    }
};
