/**
 * Stand-in of one server of the users' platform: sealed answers, event streams and faults on command.
 */
import { once } from "node:events";
import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { headerNames } from "../../platform/names.js";

/**
 * `not-run`: says that it did not run the request; `crossed`: answers under another request's id; `unsealed`: answers
 * without a seal; `cut`: ends its answer in the middle; `unframed`: states no length and closes in the middle, as if at the
 * end; `mute`: answers nothing; `error`: runs it and answers 500.
 */
export type ServerFault = "not-run" | "crossed" | "unsealed" | "cut" | "unframed" | "mute" | "error";

/** A request as it reached the server. */
export type SeenRequest = {
    requestId: string;
    method: string;
    path: string;
    headers: IncomingMessage["headers"];
    body: string;
    /** Whether the server began to work on it. */
    hasRun: boolean;
};

export type SealedServer = {
    id: string;
    address: string;
    seen: SeenRequest[];
    /** Faults of the next requests, one each. */
    failNext: (...faults: ServerFault[]) => void;
    /** Requests whose connection closed before their answer was whole. */
    abandoned: () => number;
    close: () => Promise<void>;
};

export type SealedServerOptions = { events?: number; eventMilliseconds?: number; };

const streamType = "text/event-stream";

export const startSealedServer = async (id: string, options: SealedServerOptions = {}): Promise<SealedServer> => {
    const { events = 6, eventMilliseconds = 5 } = options;
    const seen: SeenRequest[] = [];
    const faults: ServerFault[] = [];
    let abandoned = 0;

    const sealFor = (requestId: string): Record<string, string> => ({
        [headerNames.requestId]: requestId,
        [headerNames.responseSeal]: `seal-of-${id}`,
        [headerNames.answeringUpstream]: id,
    });

    /** Closes in the middle of an answer that states no length. */
    const endUnframed = (response: ServerResponse, requestId: string, type: string, part: string): void => {
        const fields = Object.entries({ ...sealFor(requestId), "Content-Type": type, "Connection": "close" });
        const head = fields.map(([name, value]) => `${name}: ${value}\r\n`).join("");
        response.socket?.end(`HTTP/1.1 200 OK\r\n${head}\r\n${part}`);
    };

    const stream = (
        request: IncomingMessage,
        response: ServerResponse,
        requestId: string,
        fault?: ServerFault,
    ): void => {
        const from = Number(request.headers[headerNames.lastEventId] ?? 0);
        if (fault === "unframed") {
            endUnframed(response, requestId, streamType, `id: ${from + 1}\ndata: piece ${from + 1}\n\n`);
            return;
        }
        response.writeHead(200, { ...sealFor(requestId), "Content-Type": streamType });
        let next = from + 1;
        const timer = setInterval(() => {
            if (fault === "cut" && next > from + 2) {
                response.write(`id: ${next}\ndata: ha`);
                clearInterval(timer);
                setImmediate(() => response.destroy());
                return;
            }
            if (next > events) {
                clearInterval(timer);
                response.end();
                return;
            }
            response.write(`id: ${next}\ndata: piece ${next}\n\n`);
            next += 1;
        }, eventMilliseconds);
        response.once("close", () => {
            clearInterval(timer);
            abandoned += response.writableFinished || fault === "cut" ? 0 : 1;
        });
    };

    const plain = (response: ServerResponse, requestId: string, fault?: ServerFault): void => {
        const body = `answer of ${id} to ${requestId}`;
        if (fault === "unframed") {
            endUnframed(response, requestId, "text/plain", body.slice(0, 5));
            return;
        }
        const seal = fault === "unsealed" ? { [headerNames.requestId]: requestId } : sealFor(requestId);
        response.writeHead(fault === "error" ? 500 : 200, { ...seal, "Content-Length": Buffer.byteLength(body) });
        if (fault === "cut") {
            response.write(body.slice(0, 5));
            setImmediate(() => response.destroy());
            return;
        }
        response.end(body);
    };

    const server = createServer((request, response) => {
        const chunks: Buffer[] = [];
        request.on("data", (chunk: Buffer) => chunks.push(chunk));
        request.on("end", () => {
            const requestId = String(request.headers[headerNames.requestId] ?? "");
            const fault = faults.shift();
            const isOther = request.headers[headerNames.targetUpstream] !== id;
            const hasRun = !isOther && fault !== "not-run";
            const { method = "", url = "", headers } = request;
            seen.push({ requestId, method, path: url, headers, body: Buffer.concat(chunks).toString("utf8"), hasRun });
            if (isOther) {
                response.writeHead(421, { [headerNames.answeringUpstream]: id });
                response.end();
                return;
            }
            if (fault === "not-run") {
                response.writeHead(503, { [headerNames.notRun]: "1", [headerNames.requestId]: requestId });
                response.end();
                return;
            }
            if (fault === "mute") {
                return;
            }
            const answered = fault === "crossed" ? "another-request" : requestId;
            if (request.headers[headerNames.tokenUsage] === undefined || fault === "error") {
                plain(response, answered, fault);
            }
            else {
                stream(request, response, answered, fault);
            }
        });
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const { address, port } = server.address() as AddressInfo;
    return {
        id,
        address: `${address}:${port}`,
        seen,
        failNext: (...next) => void faults.push(...next),
        abandoned: () => abandoned,
        close: async () => {
            server.close();
            server.closeAllConnections();
            await once(server, "close");
        },
    };
};
