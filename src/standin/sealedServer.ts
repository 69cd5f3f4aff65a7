/**
 * Stand-in for one upstream server of the platform, with response seals, event streams and injected faults.
 *
 * It can crash, on command or on certain requests: its port closes and all its connections break. It can then start
 * again at its address, under another id.
 */
import { once } from "node:events";
import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { headerNames } from "../../platform/names.js";

/**
 * - `not-run`: responds that it did not execute the request.
 * - `crossed`: responds with the id of another request.
 * - `unsealed`: sends a plain response without a seal.
 * - `cut`: closes the connection in the middle of the response.
 * - `unframed`: sends no length and resets the connection in the middle of the body.
 * - `mute`: never responds.
 * - `error`: executes the request and responds with status 500.
 * - `extra`: sends a second complete response a little after the first, on the same connection.
 * - `cut-in-head`, `cut-in-chunk-size`, `cut-before-last-chunk`: closes the connection in an orderly way at that place.
 * - `endless-head`, `endless-body`: sends bytes without end that belong to no header field, or to a body without length.
 * - `drip`: after two events, sends one byte of the next now and then.
 * - `slow`: pauses for 1.2 s between the second and the third event.
 */
export type ServerFault =
    | "not-run"
    | "crossed"
    | "unsealed"
    | "cut"
    | "unframed"
    | "mute"
    | "error"
    | "extra"
    | RawFault
    | "drip"
    | "slow";

/** Faults that are written to the connection byte by byte. */
type RawFault = "cut-in-head" | "cut-in-chunk-size" | "cut-before-last-chunk" | "endless-head" | "endless-body";

/** A request as the server received it. */
export type ReceivedRequest = {
    requestId: string;
    method: string;
    path: string;
    headers: IncomingMessage["headers"];
    body: string;
    /** Whether the server started to execute the request. */
    hasRun: boolean;
    /** Milliseconds by `performance.now`. */
    receivedAt: number;
};

export type SealedServer = {
    /** Of the current run. */
    id: string;
    address: string;
    receivedRequests: ReceivedRequest[];
    /** Queues faults, each of which applies to one of the next requests. */
    queueFaults: (...faults: ServerFault[]) => void;
    /** Adds the header of a leaving server to all further responses. */
    announceLeaving: () => void;
    /** Turns all further requests away with 503 and this `Retry-After`; undefined ends it. */
    askForPause: (retryAfter: string | undefined) => void;
    /** States this limit of requests a second in all further responses; undefined ends it. */
    stateLimit: (requestsPerSecond: string | undefined) => void;
    /** Number of event streams whose connection closed before their end, without those of the `cut` fault. */
    abandonedRequestCount: () => number;
    crash: () => void;
    /** How often it has crashed. */
    crashCount: () => number;
    /** Starts a new run at the address of the one that crashed. */
    restart: (id: string) => Promise<void>;
    close: () => Promise<void>;
};

export type SealedServerOptions = {
    events?: number;
    eventMilliseconds?: number;
    /** Whether the server crashes as it begins to answer the request. */
    crashesOn?: (request: ReceivedRequest) => boolean;
};

const eventStreamContentType = "text/event-stream";
const dripMilliseconds = 30;
const slowPauseMilliseconds = 1_200;
const extraResponseMilliseconds = 10;
/** Time for the bytes before a reset to be read, which the reset would discard. */
const resetMilliseconds = 10;
const endlessBytes = Buffer.alloc(65_536, "x");

/** Writes bytes to the connection for as long as it is open. */
const writeEndlessly = (socket: Socket): void => {
    const writeMore = (): void => {
        if (!socket.destroyed) {
            socket.write(endlessBytes, () => setImmediate(writeMore));
        }
    };
    socket.on("error", () => undefined);
    writeMore();
};

/** What each raw fault sends after the given head, which has no framing yet. */
const rawFaults: Record<RawFault, (socket: Socket, head: string, body: string) => void> = {
    "cut-in-head": (socket, head) => void socket.end(head.slice(0, head.length / 2)),
    "cut-in-chunk-size": (socket, head, body) =>
        void socket.end(`${head}Transfer-Encoding: chunked\r\n\r\n${body.length.toString(16)}\r\n${body}\r\n1`),
    "cut-before-last-chunk": (socket, head, body) =>
        void socket.end(`${head}Transfer-Encoding: chunked\r\n\r\n${body.length.toString(16)}\r\n${body}\r\n`),
    "endless-head": (socket, head) => {
        socket.write(`${head}X-Filler: `);
        writeEndlessly(socket);
    },
    "endless-body": (socket, head) => {
        socket.write(`${head}\r\n`);
        writeEndlessly(socket);
    },
};

const isRawFault = (fault: ServerFault | undefined): fault is RawFault => fault !== undefined && fault in rawFaults;

export const startSealedServer = async (id: string, options: SealedServerOptions = {}): Promise<SealedServer> => {
    const {
        events: eventCount = 6,
        eventMilliseconds: eventIntervalMilliseconds = 5,
        crashesOn = () => false,
    } = options;
    let currentId = id;
    let crashCount = 0;
    const receivedRequests: ReceivedRequest[] = [];
    const queuedFaults: ServerFault[] = [];
    let abandonedRequestCount = 0;
    let isLeaving = false;
    let retryAfter: string | undefined;
    let requestsPerSecond: string | undefined;

    const sealHeaders = (requestId: string): Record<string, string> => ({
        [headerNames.requestId]: requestId,
        [headerNames.responseSeal]: `seal-of-${currentId}`,
        [headerNames.answeringUpstream]: currentId,
    });

    const rawHead = (requestId: string, contentType: string): string => {
        const fields = Object.entries({ ...sealHeaders(requestId), "Content-Type": contentType });
        return `HTTP/1.1 200 OK\r\n${fields.map(([name, value]) => `${name}: ${value}\r\n`).join("")}`;
    };

    /** Resets the connection in the middle of a response without length; an orderly close would be its end. */
    const resetWithoutFraming = (
        response: ServerResponse,
        requestId: string,
        contentType: string,
        partialBody: string,
    ): void => {
        const { socket } = response;
        socket?.write(`${rawHead(requestId, contentType)}Connection: close\r\n\r\n${partialBody}`, () => {
            setTimeout(() => socket.resetAndDestroy(), resetMilliseconds);
        });
    };

    const sendEventStream = (
        request: IncomingMessage,
        response: ServerResponse,
        requestId: string,
        fault?: ServerFault,
    ): void => {
        const lastEventId = Number(request.headers[headerNames.lastEventId] ?? 0);
        if (fault === "unframed") {
            resetWithoutFraming(
                response,
                requestId,
                eventStreamContentType,
                `id: ${lastEventId + 1}\ndata: piece ${lastEventId + 1}\n\n`,
            );
            return;
        }
        if (isRawFault(fault)) {
            const events = [1, 2].map(step => `id: ${lastEventId + step}\ndata: piece ${lastEventId + step}\n\n`);
            rawFaults[fault](response.socket as Socket, rawHead(requestId, eventStreamContentType), events.join(""));
            return;
        }
        response.writeHead(200, { ...sealHeaders(requestId), "Content-Type": eventStreamContentType });
        let nextEventId = lastEventId + 1;
        let resumesAt = 0;
        const timer = setInterval(() => {
            if (fault === "drip" && nextEventId > lastEventId + 2) {
                clearInterval(timer);
                response.write(`id: ${nextEventId}\ndata: `);
                const drip = setInterval(() => response.write("x"), dripMilliseconds);
                response.once("close", () => clearInterval(drip));
                return;
            }
            if (fault === "slow" && nextEventId === lastEventId + 3) {
                resumesAt ||= performance.now() + slowPauseMilliseconds;
                if (performance.now() < resumesAt) {
                    return;
                }
            }
            if (fault === "cut" && nextEventId > lastEventId + 2) {
                response.write(`id: ${nextEventId}\ndata: ha`);
                clearInterval(timer);
                setImmediate(() => response.destroy());
                return;
            }
            if (nextEventId > eventCount) {
                clearInterval(timer);
                response.end();
                return;
            }
            response.write(`id: ${nextEventId}\ndata: piece ${nextEventId}\n\n`);
            nextEventId += 1;
        }, eventIntervalMilliseconds);
        response.once("close", () => {
            clearInterval(timer);
            abandonedRequestCount += response.writableFinished || fault === "cut" ? 0 : 1;
        });
    };

    const sendPlainResponse = (response: ServerResponse, requestId: string, fault?: ServerFault): void => {
        const body = `answer of ${currentId} to ${requestId}`;
        if (fault === "unframed") {
            resetWithoutFraming(response, requestId, "text/plain", body.slice(0, 5));
            return;
        }
        if (isRawFault(fault)) {
            rawFaults[fault](response.socket as Socket, rawHead(requestId, "text/plain"), body);
            return;
        }
        if (fault === "extra") {
            const { socket } = response;
            setTimeout(() => {
                const second = `second answer to ${requestId}`;
                socket?.write(`${rawHead(requestId, "text/plain")}Content-Length: ${second.length}\r\n\r\n${second}`);
            }, extraResponseMilliseconds);
        }
        const seal = fault === "unsealed" ? { [headerNames.requestId]: requestId } : sealHeaders(requestId);
        response.writeHead(fault === "error" ? 500 : 200, { ...seal, "Content-Length": Buffer.byteLength(body) });
        if (fault === "cut") {
            response.write(body.slice(0, 5));
            setImmediate(() => response.destroy());
            return;
        }
        response.end(body);
    };

    const server = createServer((request, response) => {
        if (isLeaving) {
            response.setHeader(headerNames.serverLeaving, "1");
        }
        if (requestsPerSecond !== undefined) {
            response.setHeader(headerNames.serverLimit, requestsPerSecond);
        }
        const chunks: Buffer[] = [];
        request.on("data", (chunk: Buffer) => chunks.push(chunk));
        request.on("end", () => {
            const requestId = String(request.headers[headerNames.requestId] ?? "");
            const fault = retryAfter === undefined ? queuedFaults.shift() : "not-run";
            const isMisdirected = request.headers[headerNames.targetUpstream] !== currentId;
            const hasRun = !isMisdirected && fault !== "not-run";
            const { method = "", url = "", headers } = request;
            const received = {
                requestId,
                method,
                path: url,
                headers,
                body: Buffer.concat(chunks).toString("utf8"),
                hasRun,
                receivedAt: performance.now(),
            };
            receivedRequests.push(received);
            if (isMisdirected) {
                response.writeHead(421, {
                    [headerNames.answeringUpstream]: currentId,
                    [headerNames.requestId]: requestId,
                });
                response.end();
                return;
            }
            if (fault === "not-run") {
                const pause = retryAfter === undefined ? {} : { [headerNames.retryAfter]: retryAfter };
                response.writeHead(503, { [headerNames.notRun]: "1", [headerNames.requestId]: requestId, ...pause });
                response.end();
                return;
            }
            if (fault === "mute") {
                return;
            }
            if (crashesOn(received)) {
                // The response has begun when the server crashes, so that only the closed connection shows it.
                response.writeHead(200, { ...sealHeaders(requestId), "Content-Type": eventStreamContentType });
                response.flushHeaders();
                setTimeout(crash, eventIntervalMilliseconds);
                return;
            }
            const responseRequestId = fault === "crossed" ? "another-request" : requestId;
            if (request.headers[headerNames.tokenUsage] === undefined || fault === "error") {
                sendPlainResponse(response, responseRequestId, fault);
            }
            else {
                sendEventStream(request, response, responseRequestId, fault);
            }
        });
    });
    const crash = (): void => {
        if (server.listening) {
            crashCount += 1;
            server.close();
            server.closeAllConnections();
        }
    };

    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const { address, port } = server.address() as AddressInfo;
    return {
        get id() {
            return currentId;
        },
        address: `${address}:${port}`,
        receivedRequests,
        queueFaults: (...next) => void queuedFaults.push(...next),
        announceLeaving: () => {
            isLeaving = true;
        },
        askForPause: seconds => {
            retryAfter = seconds;
        },
        stateLimit: limit => {
            requestsPerSecond = limit;
        },
        abandonedRequestCount: () => abandonedRequestCount,
        crash,
        crashCount: () => crashCount,
        restart: async nextId => {
            currentId = nextId;
            isLeaving = false;
            retryAfter = undefined;
            requestsPerSecond = undefined;
            server.listen(port, address);
            await once(server, "listening");
        },
        close: async () => {
            if (server.listening) {
                server.close();
                server.closeAllConnections();
                await once(server, "close");
            }
        },
    };
};
