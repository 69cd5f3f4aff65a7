/**
 * Answers the platform's question whether this daemon takes new connections, and serves its metrics and state.
 */
import { Hono } from "hono";
import { listen, type Listener, type NodeBindings } from "../httpServer.js";

const readyStatus = 200;
const notReadyStatus = 503;

export const startReadinessServer = (
    address: string,
    path: string,
    isReady: () => boolean,
): Promise<Listener> => {
    const application = new Hono<NodeBindings>();
    application.get(path, context => context.body(null, isReady() ? readyStatus : notReadyStatus));
    return listen(application, address);
};

export const startMetricsServer = (
    address: string,
    metrics: () => string,
    describeState: () => Record<string, unknown>,
): Promise<Listener> => {
    const application = new Hono<NodeBindings>();
    application.get("/metrics", context => context.text(metrics()));
    application.get("/state", context => context.json(describeState()));
    return listen(application, address);
};
