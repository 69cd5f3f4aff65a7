/**
 * The callers' listener of an entry, on Node's HTTP server.
 *
 * A request is read whole before anything is decided about it: a refusal then never closes a connection on which bytes
 * of the request are still under way, and its body can be sent a second time.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import type { HeaderAdapter } from "../../coordination/ingress/headerAdapter.js";
import type { ResponseSink } from "../../coordination/ingress/requestContext.js";
import { errorBody } from "../../protocol/callerProtocol.js";
import { type Refusal, refusal } from "../../state/errors.js";
import type { CallerLimits } from "../../state/ingressTypes.js";
import { splitAddress } from "../address.js";
import { disconnectSignal, sendClientError } from "../httpServer.js";

export type CallerRequest = {
    message: IncomingMessage;
    body: Buffer;
    sink: ResponseSink;
    /** Aborts when the caller has gone. */
    callerGone: AbortSignal;
    /** When the head of the request arrived, by the steady clock. */
    arrivedAt: number;
};

export type CallerServer = {
    /** The bound `ip:port`. */
    address: string;
    /** From now on every answer ends its connection. */
    startDraining: () => void;
    /** Takes no new connection and closes those without a request. */
    closeIdle: () => void;
    /** Requests being read or answered. */
    inProgress: () => number;
    close: () => void;
};

/** Used until a configuration is known. */
const defaultLimits: CallerLimits = {
    headerBytes: 16_384,
    bodyBytes: 4_194_304,
    headerTimeoutMilliseconds: 3_000,
    idleTimeoutMilliseconds: 15_000,
};
/** Beyond the idle time that callers are told, so that they close first. */
const keepAliveMarginMilliseconds = 2_000;
/** A caller that leaves this much unread is cut off, as its answer would only fill memory. */
const maximumUnreadBytes = 4_194_304;
/** Connections that wait to be accepted: the whole herd of a zone's callers after a restart. */
const listenBacklog = 1_024;

const readBody = async (message: IncomingMessage, limit: number): Promise<Buffer | undefined> => {
    const chunks: Buffer[] = [];
    let length = 0;
    for await (const chunk of message as AsyncIterable<Buffer>) {
        length += chunk.length;
        if (length <= limit) {
            chunks.push(chunk);
        }
    }
    return length > limit ? undefined : Buffer.concat(chunks);
};

const createResponseSink = (
    response: ServerResponse,
    requestIdField: string,
    requestId: string | undefined,
): ResponseSink => {
    const refuse = (refused: Refusal): void => {
        const body = JSON.stringify(errorBody(refused));
        response.writeHead(refused.status, {
            "Content-Type": "application/json",
            "Content-Length": Buffer.byteLength(body),
            "Cyclamengap-Outcome": refused.outcome,
            ...(requestId === undefined ? {} : { [requestIdField]: requestId }),
            ...(refused.retryAfterSeconds === undefined ? {} : { "Retry-After": String(refused.retryAfterSeconds) }),
        });
        response.end(body);
    };
    const abort = (): void => void response.destroy();
    return {
        start: (status, headers) => {
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
        abort: abort,
        hasStarted: () => response.headersSent,
    };
};

export type CallerServerOptions = {
    address: string;
    headerAdapter: HeaderAdapter;
    limits: () => CallerLimits | undefined;
    /** Whether callers had better connect anew, to be led to another entry. */
    shouldCloseConnections: () => boolean;
    handle: (request: CallerRequest) => Promise<void>;
    onError: (error: Error) => void;
};

/** Starts to listen; resolves once connections are taken. */
export const startCallerServer = async (options: CallerServerOptions): Promise<CallerServer> => {
    const {
        address,
        headerAdapter: headerAdapter,
        limits,
        shouldCloseConnections: shouldCloseConnections,
        handle,
        onError,
    } = options;
    let isDraining = false;
    let inProgress = 0;

    const serve = async (message: IncomingMessage, response: ServerResponse): Promise<void> => {
        const arrivedAt = performance.now();
        if (isDraining || shouldCloseConnections()) {
            response.shouldKeepAlive = false;
        }
        response.on("error", onError);
        // An answer that began before the stop promised to keep its connection; a request on it could not be finished.
        response.once("finish", () => {
            if (isDraining) {
                message.socket.end();
            }
        });
        const requestId = message.headers[headerAdapter.requestIdHeader];
        const sink = createResponseSink(
            response,
            headerAdapter.requestIdHeader,
            typeof requestId === "string" ? requestId : undefined,
        );
        const callerGone = disconnectSignal(response);
        const { bodyBytes } = limits() ?? defaultLimits;
        const body = await readBody(message, bodyBytes);
        if (body === undefined) {
            sink.refuse(refusal("body-too-large", [String(bodyBytes)]));
            return;
        }
        await handle({ message, body, sink, callerGone, arrivedAt });
    };

    const server: Server = createServer({
        maxHeaderSize: defaultLimits.headerBytes,
        headersTimeout: defaultLimits.headerTimeoutMilliseconds,
        keepAliveTimeout: defaultLimits.idleTimeoutMilliseconds + keepAliveMarginMilliseconds,
        noDelay: true,
    }, (message, response) => {
        inProgress += 1;
        serve(message, response)
            .catch((error: unknown) => {
                // The caller went away while its request was read, or a task broke; either way nothing whole is owed.
                onError(error instanceof Error ? error : new Error(String(error)));
                response.destroy();
            })
            .finally(() => {
                inProgress -= 1;
            });
    });
    server.on("clientError", sendClientError);
    server.on("connection", (socket: Socket) => socket.on("error", () => socket.destroy()));
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
        inProgress: () => inProgress,
        close: () => {
            server.close();
            server.closeAllConnections();
        },
    };
};
