/**
 * Sends one request to one upstream over a dedicated connection, with Node's HTTP client.
 *
 * The connection is established first, so a failure at that stage means that nothing was sent. How a response ended is
 * reported as it was seen; whether it is whole is decided elsewhere.
 */
import { err, ok, type Result } from "neverthrow";
import { type IncomingMessage, request as startRequest } from "node:http";
import type { Duplex } from "node:stream";
import type { HeldBytes } from "../../coordination/ingress/bufferBudget.js";
import type { HeaderAdapter } from "../../coordination/ingress/headerAdapter.js";
import type {
    BodyEnd,
    BodyEnding,
    BodyFraming,
    SendToUpstream,
    TransportFailure,
    UpstreamResponse,
} from "../../coordination/ingress/upstreamAttempt.js";
import { isFinalStatus } from "../../protocol/responseStatus.js";
import { splitAddress } from "../address.js";
import { connectMetered, type MeteredSocket } from "./meteredSocket.js";
import type { RequestBuffers } from "./requestBuffers.js";
import type { UpstreamReads } from "./upstreamReads.js";

/** Ten round trips between zones; a lost packet exceeds it, so that another upstream is tried instead. */
const connectTimeoutMilliseconds = 150;
/** Bytes of an answer that are read ahead of its reader; a single read may bring more. */
const readAheadBytes = 16_384;
/** Parts read ahead; each takes some hundred bytes beside its own, so that many parts of one byte would add up. */
const readAheadParts = 256;

const waitForConnection = (
    { connection, stream }: MeteredSocket,
    signal: AbortSignal,
): Promise<Result<Duplex, TransportFailure>> =>
    new Promise(resolve => {
        const settle = (result: Result<Duplex, TransportFailure>): void => {
            clearTimeout(timer);
            signal.removeEventListener("abort", abortConnect);
            connection.removeListener("error", failConnect);
            if (result.isErr()) {
                stream.destroy();
            }
            resolve(result);
        };
        const failConnect = (error: Error): void => settle(err({ kind: "unreachable", reason: error.message }));
        const abortConnect = (): void => failConnect(new Error("aborted while connecting"));
        const timer = setTimeout(
            () => failConnect(new Error(`connection timed out after ${connectTimeoutMilliseconds} ms`)),
            connectTimeoutMilliseconds,
        );
        signal.addEventListener("abort", abortConnect);
        connection.once("error", failConnect);
        connection.once("connect", () => settle(ok(stream)));
    });

const bodilessStatuses = new Set([204, 304]);

/** How the end of the body is marked. Transfer codings other than chunked are not decoded here. */
const framingOf = ({ headers, statusCode = 0 }: IncomingMessage, method: string | undefined): BodyFraming => {
    if (method === "HEAD" || bodilessStatuses.has(statusCode)) {
        return "none";
    }
    const coding = headers["transfer-encoding"];
    if (coding !== undefined) {
        return coding.trim().toLowerCase() === "chunked" ? "chunks" : "other-coding";
    }
    return headers["content-length"] === undefined ? "connection" : "length";
};

/**
 * Reads the body of a response, with a timeout between chunks. The connection is read only as fast as the body, and the
 * timeout is suspended while it isn't read. `onRead` is called when the body is read no further.
 */
const readBody = (
    message: IncomingMessage,
    method: string | undefined,
    socket: Duplex,
    idleMilliseconds: number,
    held: HeldBytes | undefined,
    onRead: () => void,
) => {
    const framing = framingOf(message, method);
    let bodyBytes = 0;
    let end: BodyEnd | undefined;
    const chunks: Buffer[] = [];
    let wakeReader: (() => void) | undefined;
    const notifyReader = (): void => {
        wakeReader?.();
        wakeReader = undefined;
    };
    const endBody = (seen: BodyEnd): void => {
        if (end === undefined) {
            end = seen;
            clearTimeout(timer);
            removeGauge?.();
            notifyReader();
        }
    };
    /** A failure behind the last byte of a body whose end is marked doesn't concern it. */
    const failBody = (seen: BodyEnd): void => {
        if (!message.complete || framing === "connection") {
            endBody(seen);
        }
    };
    let unreadBytes = 0;
    let isPaused = false;
    // Node reads on for a while after a pause.
    const removeGauge = held?.addGauge(() => message.readableLength);
    const pauseIfAhead = (): void => {
        if (unreadBytes >= readAheadBytes || chunks.length >= readAheadParts) {
            isPaused = true;
            message.pause();
        }
    };
    const resume = (): void => {
        if (isPaused) {
            isPaused = false;
            timer.refresh();
            message.resume();
        }
    };
    const timer = setTimeout(() => {
        if (isPaused) {
            return;
        }
        endBody("silent");
        socket.destroy();
    }, idleMilliseconds);
    socket.once("error", () => failBody("reset"));
    message.on("data", (chunk: Buffer) => {
        timer.refresh();
        bodyBytes += chunk.length;
        // The reader of the body accounts for the part that it has taken, so it takes small parts.
        for (let start = 0; start < chunk.length; start += readAheadBytes) {
            chunks.push(chunk.subarray(start, start + readAheadBytes));
        }
        held?.add(chunk.length);
        unreadBytes += chunk.length;
        pauseIfAhead();
        notifyReader();
    });
    message.once("error", () => endBody("closed"));
    message.once("aborted", () => endBody("closed"));
    message.once("end", () => endBody(message.complete && framing !== "connection" ? "marked" : "closed"));
    message.once("close", () => endBody("closed"));

    async function* read(): AsyncGenerator<Buffer> {
        try {
            for (;;) {
                const chunk = chunks.shift();
                if (chunk !== undefined) {
                    held?.add(-chunk.length);
                    unreadBytes -= chunk.length;
                    yield chunk;
                }
                else if (end !== undefined) {
                    return;
                }
                else {
                    resume();
                    await new Promise<void>(resolve => {
                        wakeReader = resolve;
                    });
                }
            }
        }
        finally {
            held?.add(-unreadBytes);
            onRead();
        }
    }

    return {
        body: read(),
        ending: (): BodyEnding => ({ framing, end, bodyBytes }),
        fail: failBody,
    };
};

/** Adds the server at the other end of `socket` as the reader of the request's body; returns a function that ends it. */
const watchBodyReader = ({ held, addReader }: RequestBuffers, socket: Duplex, end: () => void): () => void => {
    const sentAt = performance.now();
    return addReader({
        kind: "server",
        // A body goes to the connection as one part, so its progress can't be seen until it is complete.
        heldBytes: () => socket.writableLength === 0 ? 0 : held.bytes(),
        lastProgressAt: () => socket.writableLength === 0 ? performance.now() : sentAt,
        heldBackSince: () => undefined,
        dueAt: () => Infinity,
        readAhead: () => undefined,
        end,
    });
};

/**
 * Creates the function that sends the caller's `request`, whose body has been read, with headers from `headerAdapter`.
 */
export const createSender = (
    headerAdapter: HeaderAdapter,
    reads: UpstreamReads,
    request: IncomingMessage,
    body: Buffer,
    buffers?: RequestBuffers,
): SendToUpstream =>
async (upstream, metadata, timeouts, signal) => {
    let read = reads.open("answer");
    const pending = reads.openBuffer();
    let exceeded: string | undefined;
    let onExceeded = (): void => undefined;
    const exceed = (reason: string): void => {
        exceeded = `too much was sent: ${reason}`;
        onExceeded();
    };
    const metered = connectMetered(splitAddress(upstream.address), read.keep, exceed);
    let isFinished = false;
    const finishRead = (): void => {
        if (isFinished) {
            return;
        }
        isFinished = true;
        read.close();
        pending.close();
        if (exceeded !== undefined || metered.slowedMilliseconds() > 0) {
            reads.onFinished({
                requestId: headerAdapter.readEnvelope(request).requestId,
                upstreamId: upstream.id,
                readBytes: metered.bytesRead(),
                slowedMilliseconds: metered.slowedMilliseconds(),
                exceeded,
            });
        }
    };
    const opened = await waitForConnection(metered, signal);
    if (opened.isErr()) {
        finishRead();
        return err(opened.error);
    }
    const socket = opened.value;
    return new Promise(resolve => {
        const headers = headerAdapter.upstreamRequestHeaders(request, {
            ...metadata,
            upstreamId: upstream.id,
            bodyBytes: body.length,
        });
        const outgoing = startRequest({
            createConnection: () => socket,
            method: request.method,
            path: request.url,
            // Node's client accepts a flat list of raw headers, which its types don't declare.
            headers: headers as unknown as Record<string, string>,
        });
        let bodyReader: ReturnType<typeof readBody> | undefined;
        const close = (): void => {
            bodyReader?.fail("abandoned");
            clearTimeout(timer);
            signal.removeEventListener("abort", close);
            stopWatching?.();
            outgoing.destroy();
            socket.destroy();
            finishRead();
        };
        let isAnswered = false;
        const failAttempt = (reason: string): void => {
            // Once the response headers have arrived, the body reader reports failures.
            if (!isAnswered) {
                isAnswered = true;
                close();
                resolve(err({ kind: "broken", reason }));
            }
        };
        onExceeded = () => {
            bodyReader?.fail("oversized");
            failAttempt(exceeded ?? "");
        };
        const timer = setTimeout(
            () => failAttempt(`no response headers within ${Math.round(timeouts.headersMilliseconds)} ms`),
            timeouts.headersMilliseconds,
        );
        signal.addEventListener("abort", close, { once: true });
        outgoing.on("error", error => {
            failAttempt(error.message);
            bodyReader?.fail(
                (error as NodeJS.ErrnoException).code?.startsWith("HPE_") === true ? "invalid" : "reset",
            );
        });
        outgoing.once("close", () => failAttempt("the connection was closed before a response"));
        outgoing.on("information", () => {
            const verdict = read.takeInterim();
            if (verdict.kind === "end") {
                exceed(verdict.reason);
            }
        });
        outgoing.once("response", message => {
            const status = message.statusCode ?? 0;
            if (!isFinalStatus(status)) {
                failAttempt(`status ${status} is no answer`);
                return;
            }
            isAnswered = true;
            clearTimeout(timer);
            stopWatching?.();
            const isEventStream = message.headers["content-type"]?.startsWith("text/event-stream") === true;
            if (isEventStream) {
                // Its events are passed on as they arrive, so its bytes aren't kept.
                read.close();
                read = reads.open("stream");
                metered.count(read.take, true);
            }
            else {
                metered.count(read.keep, framingOf(message, request.method) === "chunks");
            }
            const reader = readBody(
                message,
                request.method,
                socket,
                timeouts.idleMilliseconds,
                buffers?.held,
                finishRead,
            );
            bodyReader = reader;
            const response: UpstreamResponse = {
                status,
                metadata: headerAdapter.readResponseMetadata(message),
                headers: headerAdapter.callerResponseHeaders(message, isEventStream),
                body: reader.body,
                ending: () => ({ ...reader.ending(), ...(exceeded === undefined ? {} : { exceeded }) }),
                keepPending: pending.resize,
                close,
            };
            socket.once("close", () => signal.removeEventListener("abort", close));
            resolve(ok(response));
        });
        const stopWatching = buffers === undefined
            ? undefined
            : watchBodyReader(buffers, socket, () => failAttempt("the server did not read the request"));
        outgoing.end(body);
    });
};
