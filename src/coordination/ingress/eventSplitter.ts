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

export type EventSplitter = {
    /** Appends bytes and returns the events that they complete. */
    push: (chunk: Buffer) => StreamEvent[];
    /** Buffered bytes of the incomplete event. */
    pendingBytes: () => number;
};

const lineFeed = 0x0a;
const carriageReturn = 0x0d;
/** A larger event is treated as invalid; the largest of the deployments in use has 420 bytes. */
export const maximumEventBytes = 1_048_576;

const eventPattern = /^(?:\r?\n)*(?:[\w-]*:[^\n]*\n|(?:data|event|id|retry)\r?\n)*\r?\n$/;
/** A status line at the end of a line, followed by a header field. */
const responseHeadPattern = /HTTP\/1\.[01] \d{3}[^\r\n]*\r?\n(?!(?:data|event|id|retry)?:)[\w-]+:/;
const idPattern = /(?:^|\n)id: ?([^\r\n]*)/;

const toEvent = (bytes: Buffer): StreamEvent => {
    const text = bytes.toString("latin1");
    return {
        bytes,
        id: idPattern.exec(text)?.[1],
        isWellFormed: eventPattern.test(text) && !responseHeadPattern.test(text),
    };
};

/** Position after the first empty line at or after `from`; -1 if there is none. */
const findEventEnd = (bytes: Buffer, from: number): number => {
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

export const createEventSplitter = (): EventSplitter => {
    let buffered: Buffer = Buffer.alloc(0);
    return {
        push: chunk => {
            buffered = buffered.length === 0 ? chunk : Buffer.concat([buffered, chunk]);
            const events: StreamEvent[] = [];
            let start = 0;
            for (let end = findEventEnd(buffered, 0); end >= 0; end = findEventEnd(buffered, start)) {
                events.push(toEvent(buffered.subarray(start, end)));
                start = end;
            }
            buffered = buffered.subarray(start);
            return events;
        },
        pendingBytes: () => buffered.length,
    };
};
