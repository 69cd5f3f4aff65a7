/** Starts a hono application on a TCP address; shared by all stand-ins. */
import { createAdaptorServer, type HttpBindings } from "@hono/node-server";
import { RESPONSE_ALREADY_SENT } from "@hono/node-server/utils/response";
import { Hono } from "hono";
import { once } from "node:events";
import type { Server } from "node:http";
import type { AddressInfo } from "node:net";
import { splitAddress } from "../transport/address.js";

/** A hono application that reaches the connection below a request, to cut it or to write to it directly. */
export type StandinApp = Hono<{ Bindings: HttpBindings; }>;

export type RunningServer = {
    /** `ip:port` that the server listens on. */
    address: string;
    /** Stops listening and cuts all connections. */
    close: () => Promise<void>;
};

export const createApp = (): StandinApp => new Hono<{ Bindings: HttpBindings; }>();

/** Serves `app` on `listen` (`ip:port`, port 0 for any free one) until `signal` aborts. */
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

/** Cuts the connection of a request without an answer. */
export const destroyConnection = (bindings: HttpBindings): Response => {
    bindings.incoming.socket.destroy();
    return RESPONSE_ALREADY_SENT;
};
