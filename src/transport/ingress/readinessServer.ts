/**
 * HTTP listeners for the platform's readiness checks and for the daemon's metrics and state.
 *
 * They use Node.js's own server: the platform calls them for as long as a daemon runs, and hono's adapter would be loaded
 * for nothing else in most daemons.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import { type Listener, listenWith } from "../httpServer.js";
import type { ClientBounds } from "../processClients.js";

type Page = { status: number; contentType?: string; body?: string; };

const readyStatus = 200;
const notReadyStatus = 503;
const okStatus = 200;
const plainText = "text/plain; charset=UTF-8";
const notFound: Page = { status: 404, contentType: plainText, body: "404 Not Found" };
const failed: Page = { status: 500, contentType: plainText, body: "Internal Server Error" };

const pageFor = ({ method, url = "" }: IncomingMessage, pages: ReadonlyMap<string, () => Page>): Page => {
    const [path = ""] = url.split("?", 1);
    try {
        return (method === "GET" || method === "HEAD" ? pages.get(path)?.() : undefined) ?? notFound;
    }
    catch (error) {
        console.error(error);
        return failed;
    }
};

const send = (response: ServerResponse, { status, contentType, body = "" }: Page): void => {
    response.writeHead(status, {
        "Content-Length": Buffer.byteLength(body),
        ...(contentType === undefined ? {} : { "Content-Type": contentType }),
    });
    response.end(body);
};

const listenWithPages = (
    address: string,
    pages: ReadonlyMap<string, () => Page>,
    bounds: ClientBounds | undefined,
): Promise<Listener> =>
    listenWith((request, response) => send(response, pageFor(request, pages)), address, undefined, bounds);

export const startReadinessServer = (
    address: string,
    path: string,
    isReady: () => boolean,
    bounds?: ClientBounds,
): Promise<Listener> =>
    listenWithPages(address, new Map([[path, () => ({ status: isReady() ? readyStatus : notReadyStatus })]]), bounds);

export const startMetricsServer = (
    address: string,
    metrics: () => string,
    describeState: () => Record<string, unknown>,
    bounds?: ClientBounds,
): Promise<Listener> =>
    listenWithPages(
        address,
        new Map([
            ["/metrics", () => ({ status: okStatus, contentType: plainText, body: metrics() })],
            ["/state", () => ({
                status: okStatus,
                contentType: "application/json",
                body: JSON.stringify(describeState()),
            })],
        ]),
        bounds,
    );
