/**
 * Splits a server-sent event stream into complete events, so that a truncated event is never forwarded.
 *
 * The body of a response without a length also holds what the server writes after it. Bytes that are no event, such as an
 * error's text or the head of another response, are told apart by their lines.
 */

export type StreamEvent = {
    /** The unchanged bytes of the event, including the empty line that ends it. */
    bytes: Buffer;
    id: string | undefined;
    /** Whether all lines are fields or comments. */
    isWellFormed: boolean;
};

/** Bytes behind the last complete event. */
export type UnfinishedEvent = StreamEvent & {
    /** Whether they end with a line, so that only the empty line is missing. */
    endsWithLine: boolean;
    /** Whether they have fields but no data, which an event has: the rest of the event is missing. */
    lacksData: boolean;
};

export type EventSplitter = {
    /** Appends bytes and returns the events that they complete. */
    push: (chunk: Buffer) => StreamEvent[];
    /** Buffered bytes of the incomplete event. */
    pendingBytes: () => number;
    /** What is left at the end of the stream; undefined if nothing is. */
    unfinished: () => UnfinishedEvent | undefined;
};

const lineFeed = 0x0a;
const carriageReturn = 0x0d;
const emptyLine = Buffer.from("\r\r");
/** A larger event is treated as invalid; the largest of the deployments in use has 420 bytes. */
export const maximumEventBytes = 1_048_576;

/** A byte order mark may stand before the first event; leftover empty lines may stand before any. */
const leadingPattern = "^(?:\\u00ef\\u00bb\\u00bf)?(?:\\r\\n|\\n|\\r)*";
const linesPattern = "(?:[\\w-]*:[^\\r\\n]*(?:\\r\\n|\\n|\\r)|(?:data|event|id|retry)(?:\\r\\n|\\n|\\r))*";
const eventPattern = new RegExp(`${leadingPattern}${linesPattern}(?:\\r\\n|\\n|\\r)$`);
const unfinishedPattern = new RegExp(`${leadingPattern}${linesPattern}(?:[\\w-]*(?::[^\\r\\n]*)?)$`);
/** A status line at the end of a line, followed by a header field. */
const responseHeadPattern = /HTTP\/1\.[01] \d{3}[^\r\n]*\r?\n(?!(?:data|event|id|retry)?:)[\w-]+:/;
const fieldPattern = /(?:^|[\r\n])[\w-]/;
const dataPattern = /(?:^|[\r\n])data[:\r\n]/;
const idPattern = /(?:^|[\r\n])id: ?([^\r\n]*)/;

const toEvent = (bytes: Buffer, pattern: RegExp): StreamEvent => {
    const text = bytes.toString("latin1");
    return {
        bytes,
        id: idPattern.exec(text)?.[1],
        isWellFormed: pattern.test(text) && !responseHeadPattern.test(text),
    };
};

/** Position after the first empty line at or after `from` behind a line feed; -1 if there is none. */
const findEndBehindLineFeed = (bytes: Buffer, from: number): number => {
    for (
        let position = bytes.indexOf(lineFeed, from);
        position >= 0;
        position = bytes.indexOf(lineFeed, position + 1)
    ) {
        if (bytes[position + 1] === lineFeed) {
            return position + 2;
        }
        if (bytes[position + 1] === carriageReturn && bytes[position + 2] === lineFeed) {
            return position + 3;
        }
    }
    return -1;
};

/** Position after the first empty line at or after `from`; -1 if there is none. */
const findEventEnd = (bytes: Buffer, from: number): number => {
    const behindLineFeed = findEndBehindLineFeed(bytes, from);
    const behindCarriageReturn = bytes.subarray(0, behindLineFeed < 0 ? bytes.length : behindLineFeed)
        .indexOf(emptyLine, from);
    return behindCarriageReturn < 0 ? behindLineFeed : behindCarriageReturn + emptyLine.length;
};

/** The longest end of an event that may begin in one part and end in the next. */
const longestEndBytes = 3;

export const createEventSplitter = (): EventSplitter => {
    let buffered: Buffer = Buffer.alloc(0);
    /** Holds `buffered` from `offset` on if that came in several parts. */
    let storage = buffered;
    let offset = 0;

    /** Grows in proportion, so that an event in many parts is copied a constant number of times. */
    const append = (chunk: Buffer): void => {
        const length = buffered.length + chunk.length;
        if (offset + length > storage.length) {
            storage = Buffer.allocUnsafeSlow(length + (length >> 1));
            buffered.copy(storage);
            offset = 0;
        }
        chunk.copy(storage, offset + buffered.length);
        buffered = storage.subarray(offset, offset + length);
    };

    return {
        push: chunk => {
            const searchFrom = Math.max(0, buffered.length - longestEndBytes);
            if (buffered.length === 0) {
                buffered = chunk;
                storage = buffered.subarray(0, 0);
                offset = 0;
            }
            else {
                append(chunk);
            }
            const events: StreamEvent[] = [];
            let start = 0;
            for (let end = findEventEnd(buffered, searchFrom); end >= 0; end = findEventEnd(buffered, start)) {
                events.push(toEvent(buffered.subarray(start, end), eventPattern));
                start = end;
            }
            buffered = buffered.subarray(start);
            offset += start;
            return events;
        },
        pendingBytes: () => buffered.length,
        unfinished: () =>
            buffered.length === 0 ? undefined : {
                ...toEvent(buffered, unfinishedPattern),
                lacksData: fieldPattern.test(buffered.toString("latin1"))
                    && !dataPattern.test(buffered.toString("latin1")),
                endsWithLine: [lineFeed, carriageReturn].includes(buffered.at(-1) ?? 0),
            },
    };
};
