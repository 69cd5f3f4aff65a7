/**
 * HTTP listeners that serve a hono application on an `ip:port`, with typed error responses to invalid HTTP.
 *
 * Oversized headers, slow senders and malformed requests are answered before they reach the application. A listener
 * closes gracefully: it accepts no new connections, waits for the requests in progress, and then closes their
 * connections, which polling clients would otherwise keep alive indefinitely.
 */
import type { HttpBindings } from "@hono/node-server";
import type { Hono } from "hono";
import type { RequestListener, Server, ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { errorBody } from "../protocol/callerProtocol.js";
import { type ErrorCode, refusal } from "../state/errors.js";
import { splitAddress } from "./address.js";
import { createBoundedServer } from "./boundedServer.js";
import { type ClientBounds, defaultClientBounds } from "./processClients.js";

/** Bindings that give handlers access to Node's response object, for streams that are written line by line. */
export type NodeBindings = { Bindings: HttpBindings; };

/** Limits on the size of request headers and on the time to receive a request. */
export type RequestLimits = {
    headerBytes: number;
    headersTimeoutMilliseconds: number;
    requestTimeoutMilliseconds: number;
    /** Interval at which both timeouts are checked. */
    checkIntervalMilliseconds: number;
};

const defaultRequestLimits: RequestLimits = {
    headerBytes: 16_384,
    headersTimeoutMilliseconds: 5_000,
    requestTimeoutMilliseconds: 10_000,
    checkIntervalMilliseconds: 1_000,
};

const keepAliveTimeoutMilliseconds = 30_000;
const idleSweepIntervalMilliseconds = 50;
/** While a listener closes, a connection may still bring its first request for this long; many round trips. */
const firstRequestMilliseconds = 500;
const okStatus = 200;

const clientErrorCodes: Record<string, ErrorCode> = {
    "HPE_HEADER_OVERFLOW": "headers-too-large",
    "ERR_HTTP_REQUEST_TIMEOUT": "request-too-slow",
};

/** Responds to input that is not a valid HTTP request, if the socket is still writable. */
export const sendClientError = (error: Error & { code?: string; }, socket: Socket): void => {
    if (!socket.writable) {
        socket.destroy();
        return;
    }
    const { status, ...rest } = refusal(clientErrorCodes[error.code ?? ""] ?? "malformed-request", [error.message]);
    const body = JSON.stringify(errorBody({ status, ...rest }));
    socket.end(
        `HTTP/1.1 ${status} Refused\r\nConnection: close\r\nContent-Type: application/json\r\n`
            + `Cyclamengap-Outcome: ${rest.outcome}\r\nContent-Length: ${Buffer.byteLength(body)}\r\n\r\n${body}`,
    );
};

export type Listener = {
    /** The bound address, `ip:port`. */
    address: string;
    /** Stops accepting connections; resolves when all requests in progress have ended. */
    close: () => Promise<void>;
};

/** Listens on `address` (`ip:port`; with port 0 the system chooses a free port). */
export const listen = async <Environment extends NodeBindings>(
    application: Hono<Environment>,
    address: string,
    limits?: RequestLimits,
    bounds?: ClientBounds,
): Promise<Listener> => {
    const { getRequestListener } = await import("@hono/node-server");
    return listenWith(getRequestListener(application.fetch), address, limits, bounds);
};

/**
 * Listens with an application that is loaded on the first request. A daemon that gets none doesn't spend the 10 MB and
 * 0.1 s of processor time that Node.js needs for the classes of fetch, which hono's adapter refers to.
 */
export const listenLazily = (
    loadApplication: () => Promise<Hono<NodeBindings>>,
    address: string,
    bounds?: ClientBounds,
): Promise<Listener> => {
    let listener: Promise<RequestListener> | undefined;
    const load = async (): Promise<RequestListener> => {
        const [{ getRequestListener }, application] = await Promise.all([
            import("@hono/node-server"),
            loadApplication(),
        ]);
        return getRequestListener(application.fetch);
    };
    return listenWith(
        (request, response) => {
            listener ??= load();
            void listener.then(serve => serve(request, response));
        },
        address,
        undefined,
        bounds,
    );
};

/** Listens with a plain handler of Node.js. */
export const listenWith = async (
    handler: RequestListener,
    address: string,
    limits: RequestLimits = defaultRequestLimits,
    bounds: ClientBounds = defaultClientBounds,
): Promise<Listener> => {
    const { host, port } = splitAddress(address);
    const openResponses = new WeakMap<Socket, ServerResponse>();
    let isClosing = false;
    /** Whether the request can be answered; while the listener closes, each connection closes behind its last request. */
    const admit = (socket: Socket, response: ServerResponse): boolean => {
        const earlier = openResponses.get(socket);
        const isOpen = earlier !== undefined && !earlier.writableFinished;
        if (isClosing && isOpen && earlier.headersSent && !earlier.shouldKeepAlive) {
            return false;
        }
        if (isClosing && isOpen) {
            earlier.shouldKeepAlive = true;
        }
        response.shouldKeepAlive &&= !isClosing;
        openResponses.set(socket, response);
        return true;
    };
    const sockets = new Set<Socket>();
    const server = createBoundedServer({
        ...bounds,
        onConnection: socket => {
            socket.setNoDelay(true);
            sockets.add(socket);
            socket.once("close", () => sockets.delete(socket));
        },
        maxHeaderSize: limits.headerBytes,
        headersTimeout: limits.headersTimeoutMilliseconds,
        requestTimeout: limits.requestTimeoutMilliseconds,
        keepAliveTimeout: keepAliveTimeoutMilliseconds,
        connectionsCheckingInterval: limits.checkIntervalMilliseconds,
    }, (request, response) => {
        if (admit(request.socket, response)) {
            handler(request, response);
        }
        else {
            request.resume();
        }
    });
    server.on("clientError", sendClientError);
    await new Promise<void>((resolve, reject) => {
        server.once("error", reject);
        server.listen(port, host, resolve);
    });
    const boundAddress = server.address() as AddressInfo;
    return {
        address: `${boundAddress.address}:${boundAddress.port}`,
        close: () => {
            isClosing = true;
            return closeGracefully(server, sockets);
        },
    };
};

const closeGracefully = (server: Server, sockets: ReadonlySet<Socket>): Promise<void> =>
    new Promise(resolve => {
        const closesUnusedAt = performance.now() + firstRequestMilliseconds;
        server.close(() => {
            clearInterval(sweep);
            resolve();
        });
        // Connections with a request in progress become idle only later; Node never counts unused ones as idle.
        const sweep = setInterval(() => {
            server.closeIdleConnections();
            if (performance.now() > closesUnusedAt) {
                [...sockets].filter(({ bytesRead }) => bytesRead === 0).forEach(socket => socket.destroy());
            }
        }, idleSweepIntervalMilliseconds);
        server.closeIdleConnections();
    });

/** Starts a streamed response with status 200; the headers are sent with the first write. */
export const startStream = (response: ServerResponse, headers: Record<string, string>): void => {
    response.writeHead(okStatus, headers);
};

/** Creates a signal that aborts when the client disconnects before `response` has ended. */
export const disconnectSignal = (response: ServerResponse): AbortSignal => {
    const controller = new AbortController();
    response.once("close", () => {
        if (!response.writableFinished) {
            controller.abort();
        }
    });
    return controller.signal;
};
