/**
 * Routes of every daemon for operators: health, state dump and metrics.
 */
import type { Context, Hono, MiddlewareHandler } from "hono";
import { errorBody } from "../protocol/callerProtocol.js";
import { refusal } from "../state/errors.js";
import type { NodeBindings } from "./httpServer.js";
import { bearerToken, constantTimeEqual } from "./tokens.js";

/** Middleware that rejects requests without `token` as their bearer token. */
export const requireToken = (token: string): MiddlewareHandler<NodeBindings> => async (context, next) => {
    const presentedToken = bearerToken(context.req.header("authorization"));
    if (presentedToken === undefined || !constantTimeEqual(presentedToken, token)) {
        return sendUnauthenticated(context);
    }
    return next();
};

const sendUnauthenticated = (context: Context): Response => {
    const unauthenticated = refusal("unauthenticated");
    return context.json(errorBody(unauthenticated), 401);
};

export type OperatorRouteOptions = {
    operatorToken: string;
    /** The state of the process as JSON, without secrets. */
    dump: () => unknown;
    /** Metrics in text format. */
    metrics: () => string;
};

/** Adds `/health`, `/state` and `/metrics`. */
export const addOperatorRoutes = (application: Hono<NodeBindings>, options: OperatorRouteOptions): void => {
    application.get("/health", context => context.text("ok"));
    application.use("/state", requireToken(options.operatorToken));
    application.use("/metrics", requireToken(options.operatorToken));
    application.get("/state", context => context.json(options.dump() as object));
    application.get("/metrics", context => context.text(options.metrics()));
};
