/**
 * What coordination needs from one stream of the platform's append-only log.
 *
 * Transport implements it over HTTP; tests implement it in memory. An append carries one record, however many claims
 * or edits its body batches. The order of records in a stream is the only order that all readers share.
 */
import type { Result } from "neverthrow";
import type { LogSlice } from "../state/types.js";

/**
 * Why an append failed: `refused` means that the log certainly did not take the record; `unknown` means that the answer
 * was lost, so the record may or may not be there and the caller settles it by reading back.
 */
export type AppendFailure = { kind: "refused" | "unknown"; reason: string; };

export type ReadFailure = { kind: "unavailable"; reason: string; };

export type LogStream<Body> = {
    /** Name of the stream, for messages. */
    readonly name: string;
    /** Appends one record and gives its offset. */
    append: (body: Body, signal: AbortSignal) => Promise<Result<number, AppendFailure>>;
    /** Reads from `fromOffset` on; waits up to `waitMilliseconds` for a record if there is none yet. */
    read: (
        fromOffset: number,
        waitMilliseconds: number,
        signal: AbortSignal,
    ) => Promise<Result<LogSlice<Body>, ReadFailure>>;
};
