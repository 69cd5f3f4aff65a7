/**
 * The agent's side of the data path: answers `POST /attempts/model` and `POST /attempts/service`.
 */
import { RESPONSE_ALREADY_SENT } from "@hono/node-server/utils/response";
import type { Context, Hono } from "hono";
import type { ContentfulStatusCode } from "hono/utils/http-status";
import type { ServerResponse } from "node:http";
import type { ModelEnd, ServiceAttempt } from "../coordination/attempts.js";
import type { CrashGuard, ServeAttempt } from "../coordination/crashGuard.js";
import {
    type AnswerWriter,
    type ModelAttemptTools,
    serveModelAttempt,
    type StreamEnding,
} from "../coordination/modelAttemptTask.js";
import {
    serveServiceAttempt,
    type ServiceAttemptTools,
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
import { type Refusal, refusal } from "../state/errors.js";
import type { LoadReport } from "../state/types.js";
import { type NodeBindings, openStream, peerGoneSignal } from "./httpServer.js";

const mayHaveRunStatus = 502;

const refuse = (context: Context, given: Refusal, load?: LoadReport): Response =>
    context.json({ refusal: given, load }, given.status as ContentfulStatusCode);

const createWriter = (response: ServerResponse, attempt: string): AnswerWriter => {
    let opened = false;
    const write = (line: string): void => {
        if (!opened) {
            opened = true;
            openStream(response, { "content-type": "application/x-ndjson", [attemptHeader]: attempt });
        }
        response.write(line);
    };
    return {
        isOpen: () => opened,
        token: (index, text) => write(tokenLine(index, text)),
        heartbeat: () => write(heartbeatLine),
    };
};

const endFrame = (attempt: string, end: ModelEnd): ClosingFrame => ({ type: "end", attempt, ...end });

const closingFrame = (attempt: string, ending: StreamEnding): ClosingFrame => {
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

/** Adds the route for completions. */
export const addModelRoute = (
    application: Hono<NodeBindings>,
    tools: ModelAttemptTools,
    crashGuard: CrashGuard,
): void => {
    application.post("/attempts/model", async context => {
        const checked = modelAttemptSchema.safeParse(await context.req.json().catch(() => undefined));
        if (!checked.success) {
            return refuse(context, refusal("malformed-body", [checked.error.message]));
        }
        const response = context.env.outgoing;
        const attempt = checked.data;
        const writer = createWriter(response, attempt.attempt);
        const serve: ServeAttempt = signal => serveModelAttempt(tools, attempt, writer, signal);
        const served = await crashGuard.run(attempt, writer, serve, peerGoneSignal(response));
        if (served.isErr()) {
            if (writer.isOpen()) {
                response.end(closingLine({ type: "cut", attempt: attempt.attempt, reason: served.error.message }));
                return RESPONSE_ALREADY_SENT;
            }
            return refuse(context, served.error, tools.gate.load());
        }
        if (!writer.isOpen()) {
            openStream(response, { "content-type": "application/x-ndjson", [attemptHeader]: attempt.attempt });
        }
        response.end(closingLine(closingFrame(attempt.attempt, served.value)));
        return RESPONSE_ALREADY_SENT;
    });
};

/** Adds the route for calls of the plain service. */
export const addServiceRoute = (application: Hono<NodeBindings>, tools: ServiceAttemptTools): void => {
    const failures: {
        [Kind in ServiceFailure["kind"]]: (context: Context, failure: ServiceFailure & { kind: Kind; }) => Response;
    } = {
        "refused": (context, failure) => refuse(context, failure.refusal, tools.gate.load()),
        "may-have-run": (context, failure) => context.json({ reason: failure.reason }, mayHaveRunStatus),
    };
    const fail = (context: Context, failure: ServiceFailure): Response =>
        (failures[failure.kind] as (context: Context, failure: ServiceFailure) => Response)(context, failure);

    application.post("/attempts/service", async context => {
        const checked = serviceAttemptSchema.safeParse(await context.req.json().catch(() => undefined));
        if (!checked.success) {
            return refuse(context, refusal("malformed-body", [checked.error.message]));
        }
        const attempt: ServiceAttempt = checked.data;
        const gone = peerGoneSignal(context.env.outgoing);
        const signal = AbortSignal.any([gone, AbortSignal.timeout(attempt.timeoutMilliseconds)]);
        const served = await serveServiceAttempt(tools, attempt, signal);
        return served.isOk()
            ? context.json({ attempt: attempt.attempt, answer: served.value, load: tools.gate.load() })
            : fail(context, served.error);
    });
};
