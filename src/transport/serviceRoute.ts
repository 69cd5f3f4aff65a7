/**
 * The route for calls to plain services: looks up the settings of the service and requires an idempotency key for calls
 * that are not idempotent.
 */
import type { Context } from "hono";
import type { ContentfulStatusCode } from "hono/utils/http-status";
import { err, ok, type Result } from "neverthrow";
import type { ServiceRequest } from "../coordination/attempts.js";
import type { TaskLimits } from "../coordination/completionTask.js";
import { outcomeHeader } from "../protocol/callerProtocol.js";
import { isIdempotentRoute } from "../protocol/settingsSchema.js";
import { type Refusal, refusal } from "../state/errors.js";
import { normalizeIdempotencyKey } from "../state/idempotencyKey.js";
import {
    authenticate,
    type CallerRouteDependencies,
    digestOf,
    resolveTaskLimits,
    sendRefusal,
} from "./callerChecks.js";
import { disconnectSignal, type NodeBindings } from "./httpServer.js";

/** Segments of the URL path before the path of the service itself: empty, "services" and the service name. */
const segmentsBeforePath = 3;

const readIdempotencyKey = (headerValue: string | undefined, service: string): Result<string, Refusal> => {
    if (headerValue === undefined) {
        return err(refusal("missing-idempotency-key", [service]));
    }
    const key = normalizeIdempotencyKey(headerValue);
    return key === undefined ? err(refusal("invalid-idempotency-key", [headerValue])) : ok(key);
};

const prepareServiceRequest = async (
    dependencies: CallerRouteDependencies,
    context: Context<NodeBindings>,
    requestId: string,
): Promise<Result<{ request: ServiceRequest; limits: TaskLimits; }, Refusal>> => {
    const caller = authenticate(context, dependencies);
    if (caller.isErr()) {
        return err(caller.error);
    }
    const service = context.req.param("service") ?? "";
    const settings = dependencies.settings.service(service);
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
        request: {
            requestId,
            clientAccount: caller.value.clientAccount,
            priority: caller.value.account.priority,
            service,
            method,
            path,
            body,
            // Includes the account, so that no account receives a response stored under the same key of another.
            digest: digestOf(caller.value.clientAccount, service, method, path, body),
            ...(contentType === undefined ? {} : { contentType }),
            ...(idempotencyKey === undefined ? {} : { idempotencyKey }),
        },
        limits: resolveTaskLimits(context, dependencies.now(), timeout, settings.maximumRetries),
    });
};

/** Creates the handler for calls to all plain services. */
export const serviceRoute = (dependencies: CallerRouteDependencies) => async (context: Context<NodeBindings>) => {
    const startedAt = dependencies.now();
    const requestId = dependencies.newId();
    const prepared = await prepareServiceRequest(dependencies, context, requestId);
    if (prepared.isErr()) {
        dependencies.onResponse({ requestId, outcome: prepared.error.outcome, code: prepared.error.code, startedAt });
        return sendRefusal(context, prepared.error);
    }
    const { request, limits } = prepared.value;
    const result = await dependencies.callService(request, limits, disconnectSignal(context.env.outgoing));
    dependencies.onResponse({
        requestId,
        clientAccount: request.clientAccount,
        outcome: result.isOk() ? "complete" : result.error.outcome,
        startedAt,
        ...(result.isOk() ? {} : { code: result.error.code }),
    });
    if (result.isErr()) {
        return sendRefusal(context, result.error);
    }
    const { status, contentType, body } = result.value;
    context.header(outcomeHeader, "complete");
    context.header("content-type", contentType ?? "application/octet-stream");
    return context.body(body, status as ContentfulStatusCode);
};
