/**
 * HTTP servers whose clients are bounded by one rule: connections, what is read of them and how fast, and requests that wait.
 */
import { createServer, type IncomingMessage, type RequestListener, type Server, type ServerOptions } from "node:http";
import type { Socket } from "node:net";
import { type ConnectionEndCause, createClientConnections } from "../coordination/clientConnections.js";
import { ClientSocket } from "./clientSocket.js";
import { type ClientBounds, countEndedClient } from "./processClients.js";
import { monotonicClock } from "./systemClock.js";

export type BoundedServerOptions = ServerOptions & ClientBounds & {
    onConnection: (socket: Socket) => void;
};

const stallCheckMilliseconds = 1_000;
const badRequestStatus = 400;
const expectationFailedStatus = 417;

const needsHost = ({ httpVersionMajor, httpVersionMinor, headers }: IncomingMessage): boolean =>
    httpVersionMajor === 1 && httpVersionMinor >= 1 && headers.host === undefined;

/** Node's HTTP server answers some requests by itself, without counting how many wait; `handler` gets all others. */
const refusedStatus = (message: IncomingMessage): number | undefined => {
    if (needsHost(message)) {
        return badRequestStatus;
    }
    const { expect } = message.headers;
    return expect === undefined || expect.toLowerCase() === "100-continue" ? undefined : expectationFailedStatus;
};

/** Node's types know no server whose connections aren't sockets of its own. */
const asSocket = (socket: ClientSocket): Socket => socket as unknown as Socket;

/** The connection of a request to a bounded server. */
export const clientOf = ({ socket }: IncomingMessage): ClientSocket => socket as unknown as ClientSocket;

export const createBoundedServer = (
    { maximumConnections, reads, onConnection, ...options }: BoundedServerOptions,
    handler: RequestListener,
): Server => {
    const connections = createClientConnections(maximumConnections, monotonicClock);
    const server = createServer({ ...options, requireHostHeader: false });
    // Fields beyond a count would be dropped; their size is bounded.
    server.maxHeadersCount = 0;
    const [attach] = server.listeners("connection") as ((this: Server, socket: ClientSocket) => void)[];
    server.removeAllListeners("connection");

    server.on("connection", (connection: Socket) => {
        const end = (cause: ConnectionEndCause): void => {
            countEndedClient(cause);
            socket.destroy();
        };
        const socket = new ClientSocket({ connection, reads, onExceeded: countEndedClient });
        const release = connections.add({
            waitingSince: () => socket.waitingSince(),
            isReading: () => socket.isReading(),
            end,
        });
        if (release === undefined) {
            end("crowded");
            return;
        }
        socket.once("close", release);
        attach?.call(server, socket);
        onConnection(asSocket(socket));
    });

    const handleRequest: RequestListener = (message, response) => {
        const finish = clientOf(message).begin({
            isComplete: () => message.complete,
            isChunked: message.headers["transfer-encoding"] !== undefined,
        });
        response.once("close", finish);
        const status = refusedStatus(message);
        if (status === undefined) {
            handler(message, response);
        }
        else {
            message.resume();
            response.writeHead(status, { "Connection": "close", "Content-Length": 0 });
            response.end();
        }
    };
    server.on("request", handleRequest);
    server.on("checkExpectation", handleRequest);

    const timer = setInterval(connections.endStalled, stallCheckMilliseconds);
    timer.unref();
    server.once("close", () => clearInterval(timer));
    return server;
};
