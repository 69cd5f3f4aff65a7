/**
 * The HTTP listener of the ingress for callers, on Node's HTTP server.
 *
 * The complete request is read before it is handled: an error response then never closes a connection on which part of
 * the request is still in transit, and the body can be sent again in a retry.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { type HeldBytes, requestOverheadBytes } from "../../coordination/ingress/bufferBudget.js";
import type { HeaderAdapter } from "../../coordination/ingress/headerAdapter.js";
import type { ResponseSink } from "../../coordination/ingress/requestContext.js";
import { errorBody } from "../../protocol/callerProtocol.js";
import { type Refusal, refusal } from "../../state/errors.js";
import type { CallerLimits } from "../../state/ingressTypes.js";
import { splitAddress } from "../address.js";
import { disconnectSignal, sendClientError } from "../httpServer.js";
import type { Buffering } from "./buffering.js";
import { paceSink } from "./pacedSink.js";
import { openRequestBuffers, type RequestBuffers } from "./requestBuffers.js";

export type CallerRequest = {
    message: IncomingMessage;
    body: Buffer;
    sink: ResponseSink;
    /** Aborts when the caller disconnects. */
    callerGone: AbortSignal;
    /** Absent if what the entry holds isn't budgeted. */
    buffers: RequestBuffers | undefined;
    /** When the request headers arrived, on the monotonic clock. */
    arrivedAt: number;
};

export type CallerServer = {
    /** The bound `ip:port`. */
    address: string;
    /** From now on, connections are closed after their current response. */
    startDraining: () => void;
    /** Accepts no new connections and closes idle ones. */
    closeIdle: () => void;
    /** Whether a request is being read or handled, or a connection was accepted whose first request may be on its way. */
    isBusy: () => boolean;
    close: () => void;
};

/** The body limit applies until a configuration is known, the others for the lifetime of the listener. */
const defaultLimits: CallerLimits = {
    headerBytes: 16_384,
    bodyBytes: 4_194_304,
    headerTimeoutMilliseconds: 3_000,
    idleTimeoutMilliseconds: 15_000,
};
/** Added to the idle timeout of callers, so that they close idle connections first. */
const keepAliveMarginMilliseconds = 2_000;
/** A caller that leaves this much of its response unread is disconnected, as the response would fill the memory. */
const maximumUnreadBytes = 4_194_304;
/** A caller sends its first request as soon as its connection is established. */
const firstRequestMilliseconds = 500;
/** Enough for all callers of a zone to reconnect at once after a restart. */
const listenBacklog = 1_024;

/** Reads the body to its end; undefined if it exceeds `limit`, or once `onSpent` was called as it exceeds the budget. */
const readBody = async (
    message: IncomingMessage,
    limit: number,
    held: HeldBytes | undefined,
    onSpent: () => void,
): Promise<Buffer | undefined> => {
    const chunks: Buffer[] = [];
    let length = 0;
    let heldLength = 0;
    let isDropped = false;
    for await (const chunk of message as AsyncIterable<Buffer>) {
        length += chunk.length;
        if (!isDropped && held?.fits(chunk.length) === false) {
            isDropped = true;
            onSpent();
        }
        if (length > limit || isDropped) {
            held?.add(-heldLength);
            heldLength = 0;
            chunks.length = 0;
        }
        else {
            held?.add(chunk.length);
            heldLength += chunk.length;
            chunks.push(chunk);
        }
    }
    return length > limit || isDropped ? undefined : Buffer.concat(chunks);
};

const createResponseSink = (
    response: ServerResponse,
    requestIdHeader: string,
    requestId: string | undefined,
    beforeHead: () => void,
): ResponseSink => {
    const refuse = (refused: Refusal): void => {
        beforeHead();
        const body = JSON.stringify(errorBody(refused));
        response.writeHead(refused.status, {
            "Content-Type": "application/json",
            "Content-Length": Buffer.byteLength(body),
            "Cyclamengap-Outcome": refused.outcome,
            ...(requestId === undefined ? {} : { [requestIdHeader]: requestId }),
            ...(refused.retryAfterSeconds === undefined ? {} : { "Retry-After": String(refused.retryAfterSeconds) }),
        });
        response.end(body);
    };
    const abort = (): void => void response.destroy();
    return {
        start: (status, headers) => {
            beforeHead();
            response.sendDate = false;
            response.writeHead(status, headers);
            response.flushHeaders();
        },
        write: bytes => {
            response.write(bytes);
            if (response.writableLength > maximumUnreadBytes) {
                abort();
            }
        },
        end: () => void response.end(),
        refuse,
        abort,
        hasStarted: () => response.headersSent,
    };
};

export type CallerServerOptions = {
    address: string;
    headerAdapter: HeaderAdapter;
    limits: () => CallerLimits | undefined;
    /** Whether connections should be closed after each response, so that callers reconnect to another entry. */
    shouldCloseConnections: () => boolean;
    handle: (request: CallerRequest) => Promise<void>;
    onError: (error: Error) => void;
    /** Absent if what the entry holds isn't budgeted. */
    buffering: Omit<Buffering, "metricsText"> | undefined;
};

/** Starts the server; resolves once it accepts connections. */
export const startCallerServer = async (options: CallerServerOptions): Promise<CallerServer> => {
    const {
        address,
        headerAdapter,
        limits,
        shouldCloseConnections,
        handle,
        onError,
        buffering,
    } = options;
    let isDraining = false;
    let inProgress = 0;
    /** Connections without a request so far, with the time at which they were accepted. */
    const unusedConnections = new Map<Socket, number>();
    /** Connections that this entry has ended: what still arrives on them could not be answered, and is not handled. */
    const endedConnections = new WeakSet<Socket>();
    /** Requests of a connection that have no complete response yet; there are several if they are pipelined. */
    const openRequests = new Map<Socket, number>();

    const serve = async (message: IncomingMessage, response: ServerResponse): Promise<void> => {
        const arrivedAt = performance.now();
        response.on("error", onError);
        // A response that started before draining has announced keep-alive; another request on its connection could not
        // finish.
        response.once("finish", () => {
            if (isDraining && openRequests.get(message.socket) === 1) {
                endedConnections.add(message.socket);
                message.socket.end();
            }
        });
        const requestId = message.headers[headerAdapter.requestIdHeader];
        const announceClose = (): void => {
            // A connection with further requests that have been read stays open for their responses.
            if ((isDraining || shouldCloseConnections()) && openRequests.get(message.socket) === 1) {
                response.shouldKeepAlive = false;
            }
        };
        const unpacedSink = createResponseSink(
            response,
            headerAdapter.requestIdHeader,
            typeof requestId === "string" ? requestId : undefined,
            announceClose,
        );
        const callerGone = disconnectSignal(response);
        const { bodyBytes } = limits() ?? defaultLimits;
        const declaredBytes = Number(message.headers["content-length"] ?? 0);
        if (buffering !== undefined && declaredBytes <= bodyBytes && !buffering.budget.admits(declaredBytes)) {
            unpacedSink.refuse(buffering.refuse(message));
            message.resume();
            return;
        }
        const buffers = buffering === undefined
            ? undefined
            : openRequestBuffers(buffering.budget, String(requestId ?? ""), buffering.onReaderEnded);
        const sink = buffers === undefined
            ? unpacedSink
            : paceSink(unpacedSink, response, buffers, () => performance.now());
        try {
            buffers?.held.add(requestOverheadBytes);
            const refuseSpent = (): void => {
                if (buffering !== undefined) {
                    sink.refuse(buffering.refuse(message));
                }
            };
            const body = await readBody(message, bodyBytes, buffers?.held, refuseSpent);
            if (body === undefined) {
                if (!sink.hasStarted()) {
                    sink.refuse(refusal("body-too-large", [String(bodyBytes)]));
                }
                return;
            }
            await handle({ message, body, sink, callerGone, buffers, arrivedAt });
        }
        finally {
            buffers?.held.close();
        }
    };

    const server: Server = createServer({
        maxHeaderSize: defaultLimits.headerBytes,
        headersTimeout: defaultLimits.headerTimeoutMilliseconds,
        keepAliveTimeout: defaultLimits.idleTimeoutMilliseconds + keepAliveMarginMilliseconds,
        noDelay: true,
    }, (message, response) => {
        if (endedConnections.has(message.socket)) {
            message.resume();
            return;
        }
        inProgress += 1;
        unusedConnections.delete(message.socket);
        openRequests.set(message.socket, (openRequests.get(message.socket) ?? 0) + 1);
        // Counts a request until its response has been sent, which is later than its handling ends if it was pipelined.
        response.once("close", () => {
            const remaining = (openRequests.get(message.socket) ?? 1) - 1;
            if (remaining === 0) {
                openRequests.delete(message.socket);
            }
            else {
                openRequests.set(message.socket, remaining);
            }
        });
        serve(message, response)
            .catch((error: unknown) => {
                // The caller disconnected while its request was read, or the handler failed; no complete response is
                // possible.
                onError(error instanceof Error ? error : new Error(String(error)));
                response.destroy();
            })
            .finally(() => {
                inProgress -= 1;
            });
    });
    server.on("clientError", sendClientError);
    server.on("connection", (socket: Socket) => {
        socket.on("error", () => socket.destroy());
        unusedConnections.set(socket, performance.now());
        socket.once("close", () => unusedConnections.delete(socket));
    });
    await new Promise<void>((resolve, reject) => {
        server.once("error", reject);
        server.listen({ ...splitAddress(address), backlog: listenBacklog }, resolve);
    });
    const bound = server.address() as AddressInfo;
    return {
        address: `${bound.address}:${bound.port}`,
        startDraining: () => {
            isDraining = true;
        },
        closeIdle: () => {
            server.close();
            server.closeIdleConnections();
        },
        isBusy: () => {
            const acceptedSince = performance.now() - firstRequestMilliseconds;
            return inProgress > 0 || openRequests.size > 0
                || [...unusedConnections.values()].some(acceptedAt => acceptedAt > acceptedSince);
        },
        close: () => {
            server.close();
            server.closeAllConnections();
        },
    };
};
