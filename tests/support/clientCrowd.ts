/**
 * Clients that keep to no limit: each opens a connection, sends one form of input and never reads what comes back.
 */
import { connect, type Socket } from "node:net";
import { headerNames } from "../../platform/names.js";
import { splitAddress } from "../../src/transport/address.js";
import { validApiKey } from "./platformDeployment.js";

const kilobyte = 1_000;
const megabyte = 1_000_000;

const head = (requestId: string, fields: string[], path = "/book/1"): string =>
    [
        `POST ${path} HTTP/1.1`,
        "Host: portal.example",
        `${headerNames.requestId}: ${requestId}`,
        `Authorization: Bearer ${validApiKey}`,
        ...fields,
        "",
        "",
    ].join("\r\n");

const chunked = ["Transfer-Encoding: chunked"];
const repeat = (text: string, bytes: number): string => text.repeat(Math.ceil(bytes / text.length));
const oneByteChunk = "1\r\na\r\n";

type Sending = {
    start: string;
    /** Sent again and again behind the start. */
    part: string;
    /** How often. */
    parts: number;
};

const largeChunk = `${(64 * kilobyte).toString(16)}\r\n${"a".repeat(64 * kilobyte)}\r\n`;
const withKeyAndBody = (client: number): string =>
    Array.from(
        { length: 20 },
        (unused, index) =>
            `${head(`ahead-${client}-${index}`, [`Content-Length: ${3 * kilobyte}`])}${"a".repeat(3 * kilobyte)}`,
    ).join("");

/** What one client sends; all of it is bounded. */
export const crowdForms = {
    "announced bodies far over the limit": client => ({
        start: head(`announced-${client}`, ["Content-Length: 1000000000000"]),
        part: "a".repeat(64 * kilobyte),
        parts: 500,
    }),
    "bodies far over the limit that are just sent": client => ({
        start: head(`sent-${client}`, chunked),
        part: largeChunk,
        parts: 500,
    }),
    "bodies in chunks of one byte that stop short of their end": client => ({
        start: head(`bytes-${client}`, chunked),
        part: repeat(oneByteChunk, 60 * kilobyte),
        parts: 40,
    }),
    "bodies in one large chunk that stop short of its end": client => ({
        start: `${head(`chunk-${client}`, chunked)}${(4 * megabyte).toString(16)}\r\n`,
        part: "a".repeat(60 * kilobyte),
        parts: 60,
    }),
    "bodies with a length that stop short of it": client => ({
        start: head(`length-${client}`, [`Content-Length: ${4 * megabyte}`]),
        part: "a".repeat(60 * kilobyte),
        parts: 60,
    }),
    "bare requests sent ahead": () => ({
        start: "",
        part: repeat("GET / HTTP/1.1\r\n\r\n", 60 * kilobyte),
        parts: 40,
    }),
    "bare requests with a host sent ahead": () => ({
        start: "",
        part: repeat("GET / HTTP/1.1\r\nHost: a\r\n\r\n", 60 * kilobyte),
        parts: 40,
    }),
    "requests with key and body sent ahead": client => ({
        start: "",
        part: withKeyAndBody(client),
        parts: 40,
    }),
    "requests that expect what nobody knows sent ahead": () => ({
        start: "",
        part: repeat("GET / HTTP/1.1\r\nHost: a\r\nExpect: b\r\n\r\n", 60 * kilobyte),
        parts: 40,
    }),
    "requests for a dump sent ahead": () => ({
        start: "",
        part: repeat("GET /state HTTP/1.1\r\nHost: a\r\n\r\n", 60 * kilobyte),
        parts: 40,
    }),
    "heads without end": client => ({
        start: `GET /read/${client} HTTP/1.1\r\n`,
        part: repeat("a: b\r\n", 15 * kilobyte),
        parts: 40,
    }),
    "heads of short fields that stop short of their end": client => ({
        start: `GET /read/${client} HTTP/1.1\r\n`,
        part: repeat("a: b\r\n", 15 * kilobyte),
        parts: 1,
    }),
    "nothing": () => ({ start: "", part: "", parts: 0 }),
} satisfies Record<string, (client: number) => Sending>;

export type CrowdForm = keyof typeof crowdForms;

export type Crowd = {
    /** Resolves once no client gets rid of anything more: it has sent all, is held back or was disconnected. */
    settled: () => Promise<void>;
    /** Clients that are still connected. */
    connected: () => number;
    close: () => void;
};

const checkMilliseconds = 100;
/** Senders that are held back for longer may go on, but the process has taken in what it takes in at once. */
const quietMilliseconds = 1_500;
/** Of senders that are slowed down, most is still to come after it. */
const maximumMilliseconds = 8_000;

const send = (socket: Socket, { start, part, parts }: Sending): void => {
    let sent = 0;
    const sendNext = (): void => {
        while (sent < parts && socket.writable) {
            sent += 1;
            if (!socket.write(part, "latin1")) {
                socket.once("drain", sendNext);
                return;
            }
        }
    };
    if (start !== "") {
        socket.write(start, "latin1");
    }
    sendNext();
};

/** Connects `count` clients, each of which sends one of the forms in turn. */
export const startCrowd = async (address: string, forms: CrowdForm[], count: number): Promise<Crowd> => {
    const sockets = await Promise.all(Array.from({ length: count }, (unused, index) =>
        new Promise<Socket>(resolve => {
            const socket = connect(splitAddress(address));
            socket.on("error", () => resolve(socket));
            socket.once("connect", () => {
                socket.pause();
                const form = forms[index % forms.length] as CrowdForm;
                send(socket, crowdForms[form](index));
                resolve(socket);
            });
        })));
    const written = (): number =>
        sockets.reduce((sum, socket) => sum + (socket.destroyed ? 0 : socket.bytesWritten - socket.writableLength), 0);
    return {
        settled: async () => {
            const startedAt = performance.now();
            let before = -1;
            let quietSince = startedAt;
            while (
                performance.now() - quietSince < quietMilliseconds
                && performance.now() - startedAt < maximumMilliseconds
            ) {
                const now = written();
                if (now !== before) {
                    quietSince = performance.now();
                }
                before = now;
                await new Promise(resolve => setTimeout(resolve, checkMilliseconds));
            }
        },
        connected: () => sockets.filter(socket => !socket.destroyed).length,
        close: () => sockets.forEach(socket => socket.destroy()),
    };
};
