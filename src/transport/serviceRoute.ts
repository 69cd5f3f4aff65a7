/**
 * The route for calls of plain services: binds a call to its service's settings and asks for an idempotency key where a
 * call must not repeat.
 */
import type { Context } from "hono";
import type { ContentfulStatusCode } from "hono/utils/http-status";
import { err, ok, type Result } from "neverthrow";
import type { ServiceWork } from "../coordination/attempts.js";
import type { TaskLimits } from "../coordination/completionTask.js";
import { outcomeHeader } from "../protocol/callerRequests.js";
import { isIdempotentRoute } from "../protocol/settingsSchema.js";
import { type Refusal, refusal } from "../state/errors.js";
import { normalizeIdempotencyKey } from "../state/idempotencyKey.js";
import { authenticate, type CallerTools, digestOf, limitsFor, refuse } from "./callerChecks.js";
import { type NodeBindings, peerGoneSignal } from "./httpServer.js";

/** Segments of a service's URL before the service's own path: an empty one, "services" and the service's name. */
const segmentsBeforePath = 3;

const readIdempotencyKey = (given: string | undefined, service: string): Result<string, Refusal> => {
    if (given === undefined) {
        return err(refusal("missing-idempotency-key", [service]));
    }
    const key = normalizeIdempotencyKey(given);
    return key === undefined ? err(refusal("invalid-idempotency-key", [given])) : ok(key);
};

const serviceWork = async (
    tools: CallerTools,
    context: Context<NodeBindings>,
    requestId: string,
): Promise<Result<{ work: ServiceWork; limits: TaskLimits; }, Refusal>> => {
    const caller = authenticate(context, tools);
    if (caller.isErr()) {
        return err(caller.error);
    }
    const service = context.req.param("service") ?? "";
    const settings = tools.settings.service(service);
    if (settings === undefined) {
        return err(refusal("unknown-service", [service]));
    }
    const url = new URL(context.req.url);
    const path = `/${url.pathname.split("/").slice(segmentsBeforePath).join("/")}${url.search}`;
    const { method } = context.req;
    const key = isIdempotentRoute(settings, method, path)
        ? ok(undefined)
        : readIdempotencyKey(context.req.header("idempotency-key"), service);
    if (key.isErr()) {
        return err(key.error);
    }
    const idempotencyKey = key.value;
    const body = await context.req.text();
    const contentType = context.req.header("content-type");
    const timeout = settings.timeoutMilliseconds ?? settings.requestTimeoutMilliseconds;
    return ok({
        work: {
            requestId,
            clientAccount: caller.value.clientAccount,
            priority: caller.value.account.priority,
            service,
            method,
            path,
            body,
            // Names the account too, so that no account gets the answer kept for another's key.
            digest: digestOf(caller.value.clientAccount, service, method, path, body),
            ...(contentType === undefined ? {} : { contentType }),
            ...(idempotencyKey === undefined ? {} : { idempotencyKey }),
        },
        limits: limitsFor(context, tools.now(), timeout, settings.maximumRetries),
    });
};

/** The handler for calls of every plain service. */
export const serviceRoute = (tools: CallerTools) => async (context: Context<NodeBindings>) => {
    const startedAt = tools.now();
    const requestId = tools.newId();
    const checked = await serviceWork(tools, context, requestId);
    if (checked.isErr()) {
        tools.onAnswer({ requestId, outcome: checked.error.outcome, code: checked.error.code, startedAt });
        return refuse(context, checked.error);
    }
    const { work, limits } = checked.value;
    const answered = await tools.callService(work, limits, peerGoneSignal(context.env.outgoing));
    tools.onAnswer({
        requestId,
        clientAccount: work.clientAccount,
        outcome: answered.isOk() ? "complete" : answered.error.outcome,
        startedAt,
        ...(answered.isOk() ? {} : { code: answered.error.code }),
    });
    if (answered.isErr()) {
        return refuse(context, answered.error);
    }
    const { status, contentType, body } = answered.value;
    context.header(outcomeHeader, "complete");
    context.header("content-type", contentType ?? "application/octet-stream");
    return context.body(body, status as ContentfulStatusCode);
};
