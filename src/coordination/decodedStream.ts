/**
 * A log stream whose records are validated as they are read.
 */
import type { LogSlice } from "../state/types.js";
import type { LogStream } from "./logStream.js";

/** Wraps `stream` so that `decode` validates the body of each record that is read; appends pass through unchanged. */
export const decodedStream = <Body>(stream: LogStream<unknown>, decode: (body: unknown) => Body): LogStream<Body> => {
    const decodeSlice = (slice: LogSlice<unknown>): LogSlice<Body> => ({
        ...slice,
        records: slice.records.map(record => ({ ...record, body: decode(record.body) })),
    });
    return {
        name: stream.name,
        append: stream.append,
        read: async (...parameters) => (await stream.read(...parameters)).map(decodeSlice),
    };
};
