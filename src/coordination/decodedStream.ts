/**
 * A stream whose records are checked as they are read.
 */
import type { LogSlice } from "../state/types.js";
import type { LogStream } from "./logStream.js";

/** Reads `stream` through `decode`, which gives each body as the reader may rely on it; appends pass unchanged. */
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
