/**
 * HTTP listeners for the platform's readiness checks and for the daemon's metrics and state.
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
