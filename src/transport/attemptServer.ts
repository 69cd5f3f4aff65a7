/**
 * The agent side of the data path: serves `POST /attempts/model` and `POST /attempts/service`.
 */
import { RESPONSE_ALREADY_SENT } from "@hono/node-server/utils/response";
import type { Context, Hono } from "hono";
import type { ContentfulStatusCode } from "hono/utils/http-status";
import type { ServerResponse } from "node:http";
import type { ModelCompletion, ServiceAttempt } from "../coordination/attempts.js";
import type { CrashGuard, ServeAttempt } from "../coordination/crashGuard.js";
import {
    type ModelAttemptDependencies,
    type ResponseStreamWriter,
    serveModelAttempt,
    type StreamResult,
} from "../coordination/modelAttemptTask.js";
import {
    serveServiceAttempt,
    type ServiceAttemptDependencies,
    type ServiceFailure,
} from "../coordination/serviceAttemptTask.js";
import {
    attemptHeader,
    type ClosingFrame,
    closingLine,
    heartbeatLine,
    modelAttemptSchema,
    serviceAttemptSchema,
    tokenLine,
} from "../protocol/attemptProtocol.js";
import { type ErrorCode, type Refusal, refusal } from "../state/errors.js";
import type { LoadReport } from "../state/types.js";
import { boundBody, maximumPeerRequestBytes } from "./boundedRequest.js";
import { disconnectSignal, type NodeBindings, startStream } from "./httpServer.js";
import type { BodyRefusal } from "./processClients.js";

const unknownOutcomeStatus = 502;

const sendRefusal = (context: Context, error: Refusal, load?: LoadReport): Response =>
    context.json({ refusal: error, load }, error.status as ContentfulStatusCode);

const refusedBodyCodes: Record<BodyRefusal, ErrorCode> = { "too-large": "body-too-large", "no-room": "buffers-full" };

/** Reads the body of an attempt; the refusal if it exceeds a bound. */
const refuseLargeBody = async (context: Context<NodeBindings>, host: string): Promise<Response | undefined> => {
    const refused = await boundBody(context);
    return refused === undefined
        ? undefined
        : sendRefusal(
            context,
            refusal(refusedBodyCodes[refused], [refused === "no-room" ? host : String(maximumPeerRequestBytes)]),
        );
};

const createWriter = (response: ServerResponse, attempt: string): ResponseStreamWriter => {
    let isOpened = false;
    const write = (line: string): void => {
        if (!isOpened) {
            isOpened = true;
            startStream(response, { "content-type": "application/x-ndjson", [attemptHeader]: attempt });
        }
        response.write(line);
    };
    return {
        isOpen: () => isOpened,
        token: (index, text) => write(tokenLine(index, text)),
        heartbeat: () => write(heartbeatLine),
    };
};

const endFrame = (attempt: string, end: ModelCompletion): ClosingFrame => ({ type: "end", attempt, ...end });

const closingFrame = (attempt: string, ending: StreamResult): ClosingFrame => {
    if (ending.isOk()) {
        return endFrame(attempt, ending.value);
    }
    const failure = ending.error;
    switch (failure.kind) {
        case "moved":
            return { type: "moved", attempt, load: failure.load };
        case "crashed":
            return { type: "crashed", attempt, reason: failure.reason };
        case "refused":
            return { type: "cut", attempt, reason: failure.refusal.message };
        default:
            return { type: "cut", attempt, reason: failure.reason };
    }
};

/** Adds the route for model attempts. */
export const addModelRoute = (
    application: Hono<NodeBindings>,
    dependencies: ModelAttemptDependencies,
    crashGuard: CrashGuard,
): void => {
    application.post("/attempts/model", async context => {
        const tooLarge = await refuseLargeBody(context, dependencies.host);
        if (tooLarge !== undefined) {
            return tooLarge;
        }
        const parsed = modelAttemptSchema.safeParse(await context.req.json().catch(() => undefined));
        if (!parsed.success) {
            return sendRefusal(context, refusal("malformed-body", [parsed.error.message]));
        }
        const response = context.env.outgoing;
        const attempt = parsed.data;
        const writer = createWriter(response, attempt.attempt);
        const serveAttempt: ServeAttempt = signal => serveModelAttempt(dependencies, attempt, writer, signal);
        const result = await crashGuard.run(attempt, writer, serveAttempt, disconnectSignal(response));
        if (result.isErr()) {
            if (writer.isOpen()) {
                response.end(closingLine({ type: "cut", attempt: attempt.attempt, reason: result.error.message }));
                return RESPONSE_ALREADY_SENT;
            }
            return sendRefusal(context, result.error, dependencies.admissionController.load());
        }
        if (!writer.isOpen()) {
            startStream(response, { "content-type": "application/x-ndjson", [attemptHeader]: attempt.attempt });
        }
        response.end(closingLine(closingFrame(attempt.attempt, result.value)));
        return RESPONSE_ALREADY_SENT;
    });
};

/** Adds the route for calls to the plain service. */
export const addServiceRoute = (application: Hono<NodeBindings>, dependencies: ServiceAttemptDependencies): void => {
    const failureResponses: {
        [Kind in ServiceFailure["kind"]]: (context: Context, failure: ServiceFailure & { kind: Kind; }) => Response;
    } = {
        "refused": (context, failure) => sendRefusal(context, failure.refusal, dependencies.admissionController.load()),
        "may-have-run": (context, failure) => context.json({ reason: failure.reason }, unknownOutcomeStatus),
    };
    const sendFailure = (context: Context, failure: ServiceFailure): Response =>
        (failureResponses[failure.kind] as (context: Context, failure: ServiceFailure) => Response)(context, failure);

    application.post("/attempts/service", async context => {
        const tooLarge = await refuseLargeBody(context, dependencies.host);
        if (tooLarge !== undefined) {
            return tooLarge;
        }
        const parsed = serviceAttemptSchema.safeParse(await context.req.json().catch(() => undefined));
        if (!parsed.success) {
            return sendRefusal(context, refusal("malformed-body", [parsed.error.message]));
        }
        const attempt: ServiceAttempt = parsed.data;
        const disconnected = disconnectSignal(context.env.outgoing);
        const signal = AbortSignal.any([disconnected, AbortSignal.timeout(attempt.timeoutMilliseconds)]);
        const result = await serveServiceAttempt(dependencies, attempt, signal);
        return result.isOk()
            ? context.json({
                attempt: attempt.attempt,
                answer: result.value,
                load: dependencies.admissionController.load(),
            })
            : sendFailure(context, result.error);
    });
};
