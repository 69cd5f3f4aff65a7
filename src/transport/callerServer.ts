/**
 * The entry's listener for callers: completions and calls of plain services.
 *
 * A request is authenticated, checked and bound to its settings here, then served by one coordination task. Whatever
 * goes wrong, the caller gets one typed error body and the outcome header; nothing reaches an upstream before all checks
 * have passed.
 */
import { RESPONSE_ALREADY_SENT } from "@hono/node-server/utils/response";
import { type Context, Hono, type MiddlewareHandler } from "hono";
import { bodyLimit } from "hono/body-limit";
import type { ContentfulStatusCode } from "hono/utils/http-status";
import { err, ok, type Result } from "neverthrow";
import { createHash } from "node:crypto";
import type { ServerResponse } from "node:http";
import type { ModelEnd, ServiceWork } from "../coordination/attempts.js";
import type { TaskLimits } from "../coordination/completionTask.js";
import type { EntryTasks } from "../coordination/entryTasks.js";
import {
    type CompletionKind,
    type CompletionRequest,
    completionSchemas,
    type CompletionWriter,
    completionWriters,
    errorBody,
    errorEvents,
    outcomeHeader,
    timeoutHeader,
} from "../protocol/callerRequests.js";
import { decodeJsonAs, describeDecodingError } from "../protocol/decoding.js";
import type { SettingsReader } from "../protocol/settingsReader.js";
import { type ClientAccountSettings, isIdempotentRoute } from "../protocol/settingsSchema.js";
import { type Refusal, refusal } from "../state/errors.js";
import { normalizeIdempotencyKey } from "../state/idempotencyKey.js";
import { type NodeBindings, openStream, peerGoneSignal } from "./httpServer.js";
import { bearerToken, digestOfKey } from "./tokens.js";

export type CallerTools = EntryTasks & {
    host: string;
    settings: SettingsReader;
    now: () => number;
    newId: () => string;
    /** Whether the entry is about to stop, so that its health check fails. */
    isStopping: () => boolean;
    onAnswer: (event: AnswerEvent) => void;
};

/** One answered request, for logs and metrics. */
export type AnswerEvent = {
    requestId: string;
    clientAccount?: string;
    outcome: string;
    code?: string;
    startedAt: number;
    firstTokenAt?: number;
    tokens?: number;
};

type Caller = { clientAccount: string; account: ClientAccountSettings; };

const largestBodyBytes = 1_048_576;
const stoppingStatus = 503;
/** Segments of a service's URL before the service's own path: an empty one, "services" and the service's name. */
const segmentsBeforePath = 3;
const eventStreamType = "text/event-stream";

const digestOf = (...parts: string[]): string => createHash("sha256").update(JSON.stringify(parts)).digest("hex");

const authenticate = (context: Context, settings: SettingsReader): Result<Caller, Refusal> => {
    const key = bearerToken(context.req.header("authorization"));
    const clientAccount = key === undefined ? undefined : settings.clientAccountOfKey(digestOfKey(key));
    const account = clientAccount === undefined ? undefined : settings.clientAccount(clientAccount);
    return clientAccount === undefined || account === undefined
        ? err(refusal("unauthenticated"))
        : ok({ clientAccount, account });
};

const refuse = (context: Context, given: Refusal): Response => {
    context.header(outcomeHeader, given.outcome);
    if (given.retryAfterSeconds !== undefined) {
        context.header("retry-after", String(given.retryAfterSeconds));
    }
    return context.json(errorBody(given) as object, given.status as ContentfulStatusCode);
};

const limitsFor = (
    context: Context,
    now: number,
    timeoutMilliseconds: number,
    maximumRetries: number,
): TaskLimits => {
    const asked = Number(context.req.header(timeoutHeader));
    const timeout = asked > 0 ? Math.min(asked, timeoutMilliseconds) : timeoutMilliseconds;
    return { deadline: now + timeout, maximumRetries };
};

/** Writes one completion towards the caller, streamed or whole. */
type CompletionAnswer = {
    onToken: (text: string) => void;
    finish: (ended: Result<ModelEnd, Refusal>) => Response;
};

const streamedAnswer = (context: Context<NodeBindings>, writer: CompletionWriter): CompletionAnswer => {
    const response: ServerResponse = context.env.outgoing;
    let opened = false;
    const open = (): void => {
        if (!opened) {
            opened = true;
            openStream(response, { "content-type": eventStreamType, "cache-control": "no-store" });
        }
    };
    return {
        onToken: text => {
            open();
            response.write(writer.tokenEvent(text));
        },
        finish: ended => {
            if (ended.isErr() && !opened) {
                return refuse(context, ended.error);
            }
            open();
            response.end(ended.match(({ finishReason }) => writer.endEvents(finishReason), errorEvents));
            return RESPONSE_ALREADY_SENT;
        },
    };
};

const wholeAnswer = (context: Context<NodeBindings>, writer: CompletionWriter): CompletionAnswer => {
    const texts: string[] = [];
    return {
        onToken: text => void texts.push(text),
        finish: ended =>
            ended.match(
                ({ finishReason, tokens }) => {
                    context.header(outcomeHeader, "complete");
                    return context.json(writer.wholeBody(texts.join(""), finishReason, tokens) as object);
                },
                failure => refuse(context, failure),
            ),
    };
};

const checkModel = (
    tools: CallerTools,
    { account }: Caller,
    model: string,
): Result<{ timeoutMilliseconds: number; maximumRetries: number; }, Refusal> => {
    const [group] = tools.settings.groupsOfModel(model);
    const settings = group === undefined ? undefined : tools.settings.group(group);
    const isAllowed = account.models === undefined || account.models.includes(model);
    return settings === undefined || !isAllowed
        ? err(refusal("unknown-model", [model]))
        : ok({ timeoutMilliseconds: settings.requestTimeoutMilliseconds, maximumRetries: settings.maximumRetries });
};

const completionRoute = (tools: CallerTools, kind: CompletionKind) => async (context: Context<NodeBindings>) => {
    const startedAt = tools.now();
    const requestId = tools.newId();
    const caller = authenticate(context, tools.settings);
    const body = caller.isErr() ? "" : await context.req.text();
    const checked = caller.andThen(known =>
        decodeJsonAs<CompletionRequest>(completionSchemas[kind], body)
            .mapErr(failure => refusal("malformed-body", [describeDecodingError(failure)]))
            .andThen(request => checkModel(tools, known, request.model).map(limits => ({ known, request, limits })))
    );
    if (checked.isErr()) {
        tools.onAnswer({ requestId, outcome: checked.error.outcome, code: checked.error.code, startedAt });
        return refuse(context, checked.error);
    }
    const { known, request, limits } = checked.value;
    const writer = completionWriters[kind](requestId, request.model);
    const answer = (request.stream ? streamedAnswer : wholeAnswer)(context, writer);
    let firstTokenAt: number | undefined;
    const ended = await tools.complete(
        {
            requestId,
            clientAccount: known.clientAccount,
            priority: known.account.priority,
            model: request.model,
            prompt: request.prompt,
            maximumTokens: request.maximumTokens,
            digest: digestOf(request.model, request.prompt, String(request.maximumTokens)),
        },
        limitsFor(context, startedAt, limits.timeoutMilliseconds, limits.maximumRetries),
        text => {
            firstTokenAt ??= tools.now();
            answer.onToken(text);
        },
        peerGoneSignal(context.env.outgoing),
    );
    tools.onAnswer({
        requestId,
        clientAccount: known.clientAccount,
        outcome: ended.isOk() ? "complete" : ended.error.outcome,
        startedAt,
        ...(ended.isOk() ? { tokens: ended.value.tokens } : { code: ended.error.code }),
        ...(firstTokenAt === undefined ? {} : { firstTokenAt }),
    });
    return answer.finish(ended);
};

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
    const caller = authenticate(context, tools.settings);
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

const serviceRoute = (tools: CallerTools) => async (context: Context<NodeBindings>) => {
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

/** Refuses bodies over the limit; a declared length is judged without the cost of a web stream for the body. */
const limitBody = (): MiddlewareHandler<NodeBindings> => {
    const tooLarge = (context: Context): Response =>
        refuse(context, refusal("body-too-large", [String(largestBodyBytes)]));
    const countBody = bodyLimit({ maxSize: largestBodyBytes, onError: tooLarge });
    return async (context, next) => {
        const { "content-length": length, "transfer-encoding": encoding } = context.env.incoming.headers;
        if (encoding !== undefined) {
            return countBody(context, next);
        }
        return Number(length ?? 0) > largestBodyBytes ? tooLarge(context) : next();
    };
};

/** Builds the application that answers callers. */
export const createCallerApplication = (tools: CallerTools): Hono<NodeBindings> => {
    const application = new Hono<NodeBindings>();
    application.use(limitBody());
    application.get(
        "/health",
        context => tools.isStopping() ? context.text("stopping", stoppingStatus) : context.text("ok"),
    );
    application.post("/v1/completions", completionRoute(tools, "text"));
    application.post("/v1/chat/completions", completionRoute(tools, "chat"));
    application.all("/services/:service", serviceRoute(tools));
    application.all("/services/:service/*", serviceRoute(tools));
    application.notFound(context => refuse(context, refusal("unknown-route", [context.req.method, context.req.path])));
    application.onError((error, context) => refuse(context, refusal("internal", [tools.host])));
    return application;
};
