/**
 * Routes that every daemon serves to operators: the state dump and the metrics.
 */
import type { Context, Hono, MiddlewareHandler } from "hono";
import { errorBody } from "../protocol/callerProtocol.js";
import { refusal } from "../state/errors.js";
import type { NodeBindings } from "./httpServer.js";
import { bearerToken, constantTimeEqual } from "./tokens.js";

/** Lets a request pass only with `token` as its bearer token. */
export const requireToken = (token: string): MiddlewareHandler<NodeBindings> => async (context, next) => {
    const given = bearerToken(context.req.header("authorization"));
    if (given === undefined || !constantTimeEqual(given, token)) {
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
    /** The process's state as plain JSON, without secrets. */
    dump: () => unknown;
    /** Metrics in their text form. */
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
