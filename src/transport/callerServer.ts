/**
 * The HTTP application of an entry for callers: completions and calls to plain services.
 *
 * Its route authenticates and validates a request and looks up its settings; one coordination task then serves it.
 * Every failure is reported with a typed error body and the outcome header, and nothing is sent to an upstream before
 * all checks have passed.
 */
import { type Context, Hono, type MiddlewareHandler } from "hono";
import { refusal } from "../state/errors.js";
import { boundBody } from "./boundedRequest.js";
import { type CallerRouteDependencies, sendRefusal } from "./callerChecks.js";
import { completionRoute } from "./completionRoute.js";
import type { NodeBindings } from "./httpServer.js";
import type { BodyRefusal } from "./processClients.js";
import { serviceRoute } from "./serviceRoute.js";

/** Used until the entry has read its settings. */
const defaultMaximumBodyBytes = 1_048_576;
const unavailableStatus = 503;
/** Others' bodies have been read or dropped by then. */
const noRoomRetrySeconds = 1;

/** Refuses bodies over the limit; checks `Content-Length` directly where it can, to avoid the cost of another request. */
const limitBodySize = (maximumBytes: () => number, host: string): MiddlewareHandler<NodeBindings> => {
    const sendTooLarge = (context: Context): Response =>
        sendRefusal(context, refusal("body-too-large", [String(maximumBytes())]));
    const sendNoRoom = (context: Context): Response =>
        sendRefusal(context, refusal("buffers-full", [host], noRoomRetrySeconds));
    const refusals: Record<BodyRefusal, (context: Context) => Response> = {
        "too-large": sendTooLarge,
        "no-room": sendNoRoom,
    };
    return async (context, next) => {
        const largestBodyBytes = maximumBytes();
        const { "content-length": length, "transfer-encoding": encoding } = context.env.incoming.headers;
        if (encoding !== undefined) {
            const refused = await boundBody(context, largestBodyBytes);
            return refused === undefined ? next() : refusals[refused](context);
        }
        return Number(length ?? 0) > largestBodyBytes ? sendTooLarge(context) : next();
    };
};

/** Creates the application that serves callers. */
export const createCallerApplication = (dependencies: CallerRouteDependencies): Hono<NodeBindings> => {
    const application = new Hono<NodeBindings>();
    application.use(
        limitBodySize(
            () => dependencies.settings.root()?.maximumBodyBytes ?? defaultMaximumBodyBytes,
            dependencies.host,
        ),
    );
    application.get("/health", context => {
        const isServing = dependencies.settings.isReady() && !dependencies.isStopping();
        return isServing ? context.text("ok") : context.text("not serving", unavailableStatus);
    });
    application.post("/v1/completions", completionRoute(dependencies, "text"));
    application.post("/v1/chat/completions", completionRoute(dependencies, "chat"));
    application.all("/services/:service", serviceRoute(dependencies));
    application.all("/services/:service/*", serviceRoute(dependencies));
    application.notFound(context =>
        sendRefusal(context, refusal("unknown-route", [context.req.method, context.req.path]))
    );
    application.onError((error, context) => sendRefusal(context, refusal("internal", [dependencies.host])));
    return application;
};
