/**
 * Serves the peers' and the operators' tRPC routers on a daemon's control address.
 */
import { fetchRequestHandler } from "@trpc/server/adapters/fetch";
import type { Hono } from "hono";
import { operatorEndpoint, peerEndpoint } from "../protocol/controlPaths.js";
import { operatorRouter } from "../protocol/operatorRouter.js";
import type { OperatorContext } from "../protocol/operatorRouter.js";
import { peerRouter } from "../protocol/peerRouter.js";
import type { PeerContext } from "../protocol/peerRouter.js";
import type { NodeBindings } from "./httpServer.js";
import { requireToken } from "./operatorRoutes.js";

/** Adds the procedures for peers; a request without `peerToken` gets status 401 and reaches none of them. */
export const addPeerRoutes = (application: Hono<NodeBindings>, context: PeerContext, peerToken: string): void => {
    application.use(`${peerEndpoint}/*`, requireToken(peerToken));
    application.all(`${peerEndpoint}/*`, ({ req }) =>
        fetchRequestHandler({
            endpoint: peerEndpoint,
            req: req.raw,
            router: peerRouter,
            createContext: () => context,
        }));
};

/** Adds the procedures for operators; a request without `operatorToken` gets status 401 and reaches none of them. */
export const addOperatorProcedures = (
    application: Hono<NodeBindings>,
    context: OperatorContext,
    operatorToken: string,
): void => {
    application.use(`${operatorEndpoint}/*`, requireToken(operatorToken));
    application.all(`${operatorEndpoint}/*`, ({ req }) =>
        fetchRequestHandler({
            endpoint: operatorEndpoint,
            req: req.raw,
            router: operatorRouter,
            createContext: () => context,
        }));
};
