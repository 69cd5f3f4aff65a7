/**
 * The interface to one stream of the platform's append-only log.
 *
 * `transport` implements it over HTTP, tests implement it in memory. An append carries one record, whose body may batch
 * any number of claims or edits. The order of records in a stream is the only order that all readers share.
 */
import type { Result } from "neverthrow";
import type { LogSlice } from "../state/types.js";

/**
 * Why an append failed: `refused` means that the log definitely did not accept the record. `unknown` means that the
 * response was lost, so that the record may or may not be in the log and the caller has to find out by reading.
 */
export type AppendFailure = { kind: "refused" | "unknown"; reason: string; };

export type ReadFailure = { kind: "unavailable"; reason: string; };

export type LogStream<Body> = {
    /** Name of the stream, for messages. */
    readonly name: string;
    /** Appends one record and returns its offset. */
    append: (body: Body, signal: AbortSignal) => Promise<Result<number, AppendFailure>>;
    /** Reads records from `fromOffset` on; if there are none yet, waits up to `waitMilliseconds` for one. */
    read: (
        fromOffset: number,
        waitMilliseconds: number,
        signal: AbortSignal,
    ) => Promise<Result<LogSlice<Body>, ReadFailure>>;
};
