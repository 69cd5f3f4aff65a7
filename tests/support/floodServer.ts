/**
 * A server of large answers that sends as fast as it is read, and cuts off an answer that stays unread for too long.
 */
import { once } from "node:events";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { headerNames } from "../../platform/names.js";

export type FloodServer = {
    id: string;
    address: string;
    requests: string[];
    /** Answers that were cut off as they stayed unread. */
    cuts: () => number;
    /** Answers in progress. */
    running: () => number;
    close: () => Promise<void>;
};

export type FloodOptions = {
    events: number;
    eventBytes: number;
    /** Time between two events; as fast as the answer is read if 0. */
    eventMilliseconds?: number;
    cutAfterMilliseconds?: number;
    onSend?: (event: number, requestId: string) => void;
    /** Leaves request bodies unread. */
    ignoresBodies?: boolean;
};

/** The size of an event is exact, so that a test can tell how much of an answer it has. */
export const floodEvent = (id: number, bytes: number): string => {
    const head = `id: ${id}\ndata: `;
    return `${head}${"x".repeat(bytes - head.length - 2)}\n\n`;
};

export const startFloodServer = async (id: string, options: FloodOptions): Promise<FloodServer> => {
    const { events, eventBytes, eventMilliseconds = 0, cutAfterMilliseconds = 30_000, ignoresBodies = false } = options;
    const requests: string[] = [];
    let cuts = 0;
    let running = 0;
    const server = createServer((request, response) => {
        requests.push(String(request.headers[headerNames.requestId]));
        if (ignoresBodies) {
            request.pause();
            return;
        }
        request.resume();
        const isStream = request.headers[headerNames.tokenUsage] !== undefined;
        response.writeHead(200, {
            [headerNames.requestId]: String(request.headers[headerNames.requestId]),
            [headerNames.responseSeal]: "seal",
            [headerNames.answeringUpstream]: id,
            ...(isStream ? { "Content-Type": "text/event-stream" } : { "Content-Length": events * eventBytes }),
        });
        let next = Number(request.headers[headerNames.lastEventId] ?? 0) + 1;
        let wake = (): void => undefined;
        response.on("drain", () => wake());
        running += 1;
        response.on("close", () => {
            running -= 1;
            wake();
        });
        const send = async (): Promise<void> => {
            while (next <= events && !response.destroyed) {
                const isAccepted = response.write(floodEvent(next, eventBytes));
                options.onSend?.(next, String(request.headers[headerNames.requestId]));
                next += 1;
                if (!isAccepted) {
                    const timer = setTimeout(() => {
                        cuts += 1;
                        response.destroy();
                    }, cutAfterMilliseconds);
                    await new Promise<void>(resolve => {
                        wake = resolve;
                    });
                    clearTimeout(timer);
                }
                if (eventMilliseconds > 0) {
                    await new Promise(resolve => setTimeout(resolve, eventMilliseconds));
                }
            }
            response.end();
        };
        void send();
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const { address, port } = server.address() as AddressInfo;
    return {
        id,
        address: `${address}:${port}`,
        requests,
        cuts: () => cuts,
        running: () => running,
        close: async () => {
            server.close();
            server.closeAllConnections();
            await once(server, "close");
        },
    };
};
