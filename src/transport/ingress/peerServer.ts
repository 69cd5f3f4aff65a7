/**
 * The listener of an entry for the other entries: records that it has read, and permits for requests to upstreams that
 * state a limit.
 */
import type { Hono } from "hono";
import { setMaxListeners } from "node:events";
import type { RecordSource } from "../../coordination/ingress/recordSource.js";
import type { UpstreamLimits } from "../../coordination/ingress/upstreamLimits.js";
import { recordRelayEndpoint, recordRelayRouter } from "../../protocol/recordRelayRouter.js";
import { requestPermitEndpoint, requestPermitRouter } from "../../protocol/requestPermitRouter.js";
import { withBoundedBody } from "../boundedRequest.js";
import { type Listener, listenLazily, type NodeBindings } from "../httpServer.js";
import type { ClientBounds } from "../processClients.js";

export type PeerServices = { records: RecordSource; upstreamLimits: Pick<UpstreamLimits, "answer">; };

/**
 * Serves other entries on `address` (`ip:port`). A read of records ends when its caller is gone, `signal` aborts or the
 * listener closes, which would otherwise wait for polls that hang for many seconds.
 */
export const startPeerServer = async (
    address: string,
    { records, upstreamLimits }: PeerServices,
    signal: AbortSignal,
    bounds?: ClientBounds,
): Promise<Listener> => {
    const closing = new AbortController();
    setMaxListeners(0, closing.signal);
    const endReads = (): void => closing.abort();
    signal.addEventListener("abort", endReads, { once: true });
    const loadApplication = async (): Promise<Hono<NodeBindings>> => {
        const [{ Hono }, { fetchRequestHandler }] = await Promise.all([
            import("hono"),
            import("@trpc/server/adapters/fetch"),
        ]);
        const application = new Hono<NodeBindings>();
        application.all(`${recordRelayEndpoint}/*`, async ({ req }) => {
            const reading = new AbortController();
            const stop = (): void => reading.abort();
            closing.signal.addEventListener("abort", stop, { once: true });
            if (closing.signal.aborted) {
                stop();
            }
            req.raw.signal.addEventListener("abort", stop, { once: true });
            const response = await fetchRequestHandler({
                endpoint: recordRelayEndpoint,
                req: req.raw,
                router: recordRelayRouter,
                createContext: () => ({ records, signal: reading.signal }),
            });
            closing.signal.removeEventListener("abort", stop);
            return response;
        });
        application.all(`${requestPermitEndpoint}/*`, route =>
            withBoundedBody(route, req =>
                fetchRequestHandler({
                    endpoint: requestPermitEndpoint,
                    req,
                    router: requestPermitRouter,
                    createContext: () => ({ answer: upstreamLimits.answer }),
                })));
        return application;
    };
    const listener = await listenLazily(loadApplication, address, bounds);
    return {
        address: listener.address,
        close: () => {
            signal.removeEventListener("abort", endReads);
            endReads();
            return listener.close();
        },
    };
};
