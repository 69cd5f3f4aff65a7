/**
 * Follows one stream of the log from a given offset until a signal aborts.
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
    /** Whether the end of the stream has been reached; until then, reads do not wait for new records. */
    isCaughtUp: () => boolean;
    onSlice: (slice: LogSlice<Body>) => void;
    onFailure: (failure: ReadFailure) => void;
};

/** Reads the stream slice by slice; retries failed reads with exponential backoff up to one second. */
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
        // Prevents a tight loop if the log answers empty reads without waiting.
        if (slice.value.records.length === 0 && clock.now() - startedAt < emptyReadPauseMilliseconds) {
            await clock.sleep(emptyReadPauseMilliseconds, signal);
        }
    }
};
