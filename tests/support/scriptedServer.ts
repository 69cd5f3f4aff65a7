/**
 * A server that answers each request with the bytes that a test writes, right or wrong.
 */
import { once } from "node:events";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { headerNames } from "../../platform/names.js";

export type ScriptedRequest = {
    requestId: string;
    lastEventId: number;
    /** The server that the sender means. */
    targetId: string;
};

export type Script = {
    /** Called when a connection opens, before anything was sent on it. */
    onConnection?: (socket: Socket) => void;
    onRequest: (socket: Socket, request: ScriptedRequest) => void;
};

export type ScriptedServer = {
    id: string;
    address: string;
    /** Ids of the requests that it has received completely. */
    receivedIds: string[];
    /** Accepts no new connections; those that are open stay. */
    stopListening: () => void;
    close: () => Promise<void>;
};

/** The head of a response; `fields` take precedence, and undefined leaves a field out. */
export const head = (status: number, requestId: string, fields: Record<string, string | undefined> = {}): string => {
    const all = { [headerNames.requestId]: requestId, [headerNames.responseSeal]: "seal", ...fields };
    const lines = Object.entries(all).flatMap(([name, value]) => value === undefined ? [] : [`${name}: ${value}\r\n`]);
    return `HTTP/1.1 ${status} Status\r\n${lines.join("")}\r\n`;
};

/** A whole response with a length. */
export const answer = (
    status: number,
    requestId: string,
    body: string,
    fields: Record<string, string | undefined> = {},
): string => head(status, requestId, { "Content-Length": String(Buffer.byteLength(body)), ...fields }) + body;

export const startScriptedServer = async (
    id: string,
    { onConnection, onRequest }: Script,
    listenPort = 0,
): Promise<ScriptedServer> => {
    const receivedIds: string[] = [];
    const sockets = new Set<Socket>();
    const server = createServer(socket => {
        sockets.add(socket);
        socket.on("error", () => undefined);
        socket.once("close", () => sockets.delete(socket));
        onConnection?.(socket);
        let received = "";
        socket.on("data", (chunk: Buffer) => {
            received += chunk.toString("latin1");
            const headEnd = received.indexOf("\r\n\r\n");
            const field = (name: string): string =>
                new RegExp(`^${name}: *([^\\r]*)`, "im").exec(received.slice(0, headEnd))?.[1] ?? "";
            const isComplete = headEnd >= 0
                && received.length >= headEnd + 4 + Number(field("content-length") || 0);
            if (isComplete) {
                const requestId = field(headerNames.requestId);
                const lastEventId = Number(field(headerNames.lastEventId) || 0);
                const targetId = field(headerNames.targetUpstream);
                received = "";
                receivedIds.push(requestId);
                onRequest(socket, { requestId, lastEventId, targetId });
            }
        });
    });
    server.listen(listenPort, "127.0.0.1");
    await once(server, "listening");
    const { address, port } = server.address() as AddressInfo;
    return {
        id,
        address: `${address}:${port}`,
        receivedIds,
        stopListening: () => void server.close(),
        close: async () => {
            const closed = once(server, "close");
            // Like a process that ends: its port is closed when its connections break.
            server.close();
            sockets.forEach(socket => socket.destroy());
            await closed;
        },
    };
};
