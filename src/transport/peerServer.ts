/**
 * Serves the tRPC routers for peers and operators on the control address of a daemon.
 */
import { fetchRequestHandler } from "@trpc/server/adapters/fetch";
import type { Hono } from "hono";
import { operatorEndpoint, peerEndpoint } from "../protocol/controlPaths.js";
import { operatorRouter } from "../protocol/operatorRouter.js";
import type { OperatorContext } from "../protocol/operatorRouter.js";
import { peerRouter } from "../protocol/peerRouter.js";
import type { PeerContext } from "../protocol/peerRouter.js";
import { withBoundedBody } from "./boundedRequest.js";
import type { NodeBindings } from "./httpServer.js";
import { requireToken } from "./operatorRoutes.js";

/** Adds the procedures for peers; requests without `peerToken` are rejected with status 401. */
export const addPeerRoutes = (application: Hono<NodeBindings>, context: PeerContext, peerToken: string): void => {
    application.use(`${peerEndpoint}/*`, requireToken(peerToken));
    application.all(`${peerEndpoint}/*`, route =>
        withBoundedBody(route, req =>
            fetchRequestHandler({
                endpoint: peerEndpoint,
                req,
                router: peerRouter,
                createContext: () => context,
            })));
};

/** Adds the procedures for operators; requests without `operatorToken` are rejected with status 401. */
export const addOperatorProcedures = (
    application: Hono<NodeBindings>,
    context: OperatorContext,
    operatorToken: string,
): void => {
    application.use(`${operatorEndpoint}/*`, requireToken(operatorToken));
    application.all(`${operatorEndpoint}/*`, route =>
        withBoundedBody(route, req =>
            fetchRequestHandler({
                endpoint: operatorEndpoint,
                req,
                router: operatorRouter,
                createContext: () => context,
            })));
};
