/**
 * Reads answers from the text of a caller's connection, strictly by their framing.
 */
export type ConnectionEnd = "closed" | "reset";

export type ParsedAnswer = {
    status: number;
    /** By lower-case name. */
    fields: Record<string, string>;
    body: string;
    isComplete: boolean;
    /** What follows the answer. */
    rest: string;
};

const headEndMark = "\r\n\r\n";
const bodilessStatuses = [204, 304];

const readChunks = (text: string): Pick<ParsedAnswer, "body" | "isComplete" | "rest"> => {
    let body = "";
    for (let at = 0;;) {
        const lineEnd = text.indexOf("\r\n", at);
        const size = parseInt(text.slice(at, Math.max(lineEnd, at)), 16);
        if (lineEnd < 0 || Number.isNaN(size)) {
            return { body, isComplete: false, rest: "" };
        }
        if (size === 0) {
            const end = text.startsWith("\r\n", lineEnd + 2) ? lineEnd : text.indexOf(headEndMark, lineEnd);
            return { body, isComplete: end >= 0 && text.length >= end + 4, rest: text.slice(end + 4) };
        }
        const chunkEnd = lineEnd + 2 + size;
        body += text.slice(lineEnd + 2, chunkEnd);
        if (text.length < chunkEnd + 2) {
            return { body, isComplete: false, rest: "" };
        }
        at = chunkEnd + 2;
    }
};

/** The first answer in `text`; undefined before its head is complete. `end`: how the connection has ended, if it has. */
export const parseAnswer = (text: string, end: ConnectionEnd | undefined): ParsedAnswer | undefined => {
    const headEnd = text.indexOf(headEndMark);
    if (headEnd < 0) {
        return undefined;
    }
    const [statusLine = "", ...lines] = text.slice(0, headEnd).split("\r\n");
    const status = Number(/^HTTP\/1\.[01] (\d{3})/.exec(statusLine)?.[1] ?? 0);
    const fields = Object.fromEntries(lines.map(line => {
        const colon = line.indexOf(":");
        return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
    }));
    const rest = text.slice(headEnd + headEndMark.length);
    if (status >= 100 && status < 200) {
        return parseAnswer(rest, end);
    }
    if (bodilessStatuses.includes(status)) {
        return { status, fields, body: "", isComplete: true, rest };
    }
    if (fields["transfer-encoding"] === "chunked") {
        return { status, fields, ...readChunks(rest) };
    }
    const length = Number(fields["content-length"] ?? NaN);
    return Number.isNaN(length)
        ? { status, fields, body: rest, isComplete: end === "closed", rest: "" }
        : { status, fields, body: rest.slice(0, length), isComplete: rest.length >= length, rest: rest.slice(length) };
};
