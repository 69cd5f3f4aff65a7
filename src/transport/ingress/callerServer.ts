/**
 * The HTTP listener of the ingress for callers, on Node's HTTP server.
 *
 * The complete request is read before it is handled: an error response then never closes a connection on which part of
 * the request is still in transit, and the body can be sent again in a retry.
 */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { type AddressInfo, Server as NetServer } from "node:net";
import { requestOverheadBytes } from "../../coordination/ingress/bufferBudget.js";
import type { HeaderAdapter } from "../../coordination/ingress/headerAdapter.js";
import type { ResponseSink } from "../../coordination/ingress/requestContext.js";
import type { PeerBuffer, PeerReads } from "../../coordination/peerReads.js";
import { errorBody } from "../../protocol/callerProtocol.js";
import { type Refusal, refusal } from "../../state/errors.js";
import type { CallerLimits } from "../../state/ingressTypes.js";
import { splitAddress } from "../address.js";
import { createBoundedServer } from "../boundedServer.js";
import { disconnectSignal, sendClientError } from "../httpServer.js";
import type { BodyRefusal, ClientBounds } from "../processClients.js";
import { readRequestBody } from "../requestBody.js";
import type { Buffering } from "./buffering.js";
import { createCallerConnections } from "./callerConnections.js";
import { paceSink, windowBytes } from "./pacedSink.js";
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
    /** Whether the request was sent before an earlier one on its connection had been answered. */
    isBehindOthers: boolean;
};

export type CallerServer = {
    /** The bound `ip:port`. */
    address: string;
    /** From now on, responses announce that their connection closes. */
    startDraining: () => void;
    /** Accepts no new connections and ends those on which no request is open or expected. */
    closeIdle: () => void;
    /** Whether a request is being read or handled, or may be on its way. */
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
/** Others' bodies have been read or dropped by then; spread over as much again. */
const noRoomRetrySeconds = 0.5;
/** Enough for all callers of a zone to reconnect at once after a restart. */
const listenBacklog = 1_024;

/** Resolves when the caller has read what was written, and also when it is gone or `signal` aborts. */
const whenDrained = (response: ServerResponse, signal: AbortSignal): Promise<void> =>
    new Promise(resolve => {
        const wake = (): void => {
            response.removeListener("drain", wake);
            response.removeListener("close", wake);
            signal.removeEventListener("abort", wake);
            resolve();
        };
        response.once("drain", wake);
        response.once("close", wake);
        signal.addEventListener("abort", wake, { once: true });
    });

const createResponseSink = (
    response: ServerResponse,
    requestIdHeader: string,
    requestId: string | undefined,
    beforeHead: () => void,
    unread: PeerBuffer,
): ResponseSink => {
    response.on("drain", () => void unread.resize(response.writableLength));
    response.once("close", unread.close);
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
    const abort = (): void => {
        if (response.headersSent && !response.chunkedEncoding) {
            // To a caller in HTTP/1.0, an orderly close would look like the end of the answer.
            response.socket?.resetAndDestroy();
        }
        response.destroy();
    };
    return {
        start: (status, headers) => {
            beforeHead();
            response.sendDate = false;
            response.writeHead(status, headers);
            response.flushHeaders();
        },
        write: bytes => {
            response.write(bytes);
            const unreadBytes = response.writableLength;
            if (unreadBytes > maximumUnreadBytes || unread.resize(unreadBytes).kind === "end") {
                abort();
            }
        },
        whenWritable: signal =>
            response.writableLength < windowBytes || response.destroyed || signal.aborted
                ? undefined
                : whenDrained(response, signal),
        end: () => void response.end(),
        refuse,
        abort,
        hasStarted: () => response.headersSent,
    };
};

export type CallerServerOptions = {
    address: string;
    /** This entry, for error messages. */
    host: string;
    /** Aborts when requests that have not been read completely are to be refused. */
    lastCall: AbortSignal;
    headerAdapter: HeaderAdapter;
    limits: () => CallerLimits | undefined;
    /** Whether connections should be closed after each response, so that callers reconnect to another entry. */
    shouldCloseConnections: () => boolean;
    handle: (request: CallerRequest) => Promise<void>;
    onError: (error: Error) => void;
    /** Absent if what the entry holds isn't budgeted. */
    buffering: Omit<Buffering, "metricsText"> | undefined;
    /** Accounts for what callers leave unread where it isn't budgeted. */
    openBuffer: PeerReads["openBuffer"];
    bounds: ClientBounds;
};

/** Starts the server; resolves once it accepts connections. */
export const startCallerServer = async (options: CallerServerOptions): Promise<CallerServer> => {
    const {
        address,
        host,
        lastCall,
        headerAdapter,
        limits,
        shouldCloseConnections,
        handle,
        onError,
        buffering,
        openBuffer,
        bounds,
    } = options;
    let isDraining = false;
    let inProgress = 0;
    const connections = createCallerConnections();

    const serve = async (
        message: IncomingMessage,
        response: ServerResponse,
        answersBefore: Promise<void>,
    ): Promise<void> => {
        const arrivedAt = performance.now();
        const isBehindOthers = !connections.hasOneRequest(message.socket);
        response.on("error", onError);
        const requestId = message.headers[headerAdapter.requestIdHeader];
        const announceClose = (): void => {
            // A connection with further requests that have been read stays open for their responses.
            if ((isDraining || shouldCloseConnections()) && connections.hasOneRequest(message.socket)) {
                response.shouldKeepAlive = false;
            }
        };
        const unpacedSink = createResponseSink(
            response,
            headerAdapter.requestIdHeader,
            typeof requestId === "string" ? requestId : undefined,
            announceClose,
            openBuffer(),
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
        const refuseUnread = (): void => {
            if (!sink.hasStarted()) {
                sink.refuse(refusal("stopping", [host], 0));
            }
        };
        try {
            buffers?.held.add(requestOverheadBytes);
            const refuseBody = (reason: BodyRefusal): void => {
                if (!sink.hasStarted()) {
                    sink.refuse(
                        reason === "too-large"
                            ? refusal("body-too-large", [String(bodyBytes)])
                            : buffering?.refuse(message)
                                ?? refusal("buffers-full", [host], noRoomRetrySeconds * (1 + Math.random())),
                    );
                }
            };
            lastCall.addEventListener("abort", refuseUnread);
            const body = await readRequestBody({
                message,
                response,
                maximumBytes: bodyBytes,
                account: buffers?.held,
                onRefused: refuseBody,
            });
            lastCall.removeEventListener("abort", refuseUnread);
            if (body === undefined) {
                return;
            }
            await answersBefore;
            // An answer before it may have closed the connection for writing.
            if (!sink.hasStarted() && message.socket.writable) {
                await handle({ message, body, sink, callerGone, buffers, arrivedAt, isBehindOthers });
            }
        }
        finally {
            lastCall.removeEventListener("abort", refuseUnread);
            buffers?.held.close();
        }
    };

    const server: Server = createBoundedServer({
        ...bounds,
        onConnection: connections.add,
        maxHeaderSize: defaultLimits.headerBytes,
        headersTimeout: defaultLimits.headerTimeoutMilliseconds,
        keepAliveTimeout: defaultLimits.idleTimeoutMilliseconds + keepAliveMarginMilliseconds,
        noDelay: true,
    }, (message, response) => {
        const answersBefore = connections.begin(message.socket, response);
        if (answersBefore === undefined) {
            message.resume();
            return;
        }
        inProgress += 1;
        serve(message, response, answersBefore)
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
            // The HTTP server's own method would also close connections on which a request is expected.
            NetServer.prototype.close.call(server);
            connections.endIdle();
        },
        isBusy: () => inProgress > 0 || connections.isBusy(),
        close: () => {
            server.close();
            server.closeAllConnections();
        },
    };
};
