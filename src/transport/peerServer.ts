/**
 * Serves the peers' tRPC router as a fetch handler, to be mounted on a daemon's control address.
 */
import { fetchRequestHandler } from "@trpc/server/adapters/fetch";
import { createHash, timingSafeEqual } from "node:crypto";
import { peerRouter } from "../protocol/peerRouter.js";
import type { PeerContext } from "../protocol/peerRouter.js";

/** Path below which the router is mounted: `app.all("/peer/*", context => handler(context.req.raw))`. */
export const peerEndpoint = "/peer";

const digestOf = (text: string): Buffer => createHash("sha256").update(text).digest();

/** Whether `request` carries `token` as its bearer token, compared in constant time. */
export const carriesToken = (request: Request, token: string): boolean =>
    timingSafeEqual(digestOf(request.headers.get("authorization") ?? ""), digestOf(`Bearer ${token}`));

/** Builds the handler; a request without the peers' token gets status 401 and reaches no procedure. */
export const createPeerHandler =
    (context: PeerContext, token: string): (request: Request) => Promise<Response> => async request => {
        if (!carriesToken(request, token)) {
            return Response.json({ error: "the peers' token is missing or wrong" }, { status: 401 });
        }
        return await fetchRequestHandler({
            endpoint: peerEndpoint,
            req: request,
            router: peerRouter,
            createContext: () => context,
        });
    };
