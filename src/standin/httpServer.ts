/** HTTP server on a TCP address, shared by the stand-ins that are Hono applications. */
import { createAdaptorServer, type HttpBindings } from "@hono/node-server";
import { RESPONSE_ALREADY_SENT } from "@hono/node-server/utils/response";
import { Hono } from "hono";
import { once } from "node:events";
import type { Server } from "node:http";
import type { AddressInfo } from "node:net";
import { splitAddress } from "../transport/address.js";

/** Hono application whose handlers can access the Node.js request and response, to close or write to the connection. */
export type StandinApp = Hono<{ Bindings: HttpBindings; }>;

export type RunningServer = {
    /** Address that the server listens on, as `ip:port`. */
    address: string;
    /** Stops listening and closes all connections. */
    close: () => Promise<void>;
};

export const createApp = (): StandinApp => new Hono<{ Bindings: HttpBindings; }>();

/** Serves `app` on `listen` (`ip:port`, with port 0 for any free port) until `signal` aborts. */
export const serveApp = async (app: StandinApp, listen: string, signal: AbortSignal): Promise<RunningServer> => {
    const { host, port } = splitAddress(listen);
    const server = createAdaptorServer({ fetch: app.fetch, overrideGlobalObjects: false }) as Server;
    server.keepAliveTimeout = 60_000;
    server.listen(port, host);
    await once(server, "listening");
    const close = async () => {
        if (server.listening) {
            const closed = once(server, "close");
            server.close();
            server.closeAllConnections();
            await closed;
        }
    };
    signal.addEventListener("abort", () => void close());
    return { address: `${host}:${(server.address() as AddressInfo).port}`, close };
};

/** Closes the connection of a request without a response. */
export const destroyConnection = (bindings: HttpBindings): Response => {
    bindings.incoming.socket.destroy();
    return RESPONSE_ALREADY_SENT;
};
