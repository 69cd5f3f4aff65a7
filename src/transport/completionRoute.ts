/**
 * The completion routes: validate a request, have it executed, and send the response, either streamed or buffered.
 */
import { RESPONSE_ALREADY_SENT } from "@hono/node-server/utils/response";
import type { Context } from "hono";
import { err, ok, type Result } from "neverthrow";
import type { ServerResponse } from "node:http";
import type { ModelCompletion } from "../coordination/attempts.js";
import {
    type CompletionKind,
    type CompletionRequest,
    completionSchemas,
    type CompletionWriter,
    completionWriters,
    errorEvents,
    outcomeHeader,
} from "../protocol/callerProtocol.js";
import { decodeJsonAs, describeDecodingError } from "../protocol/decoding.js";
import { type Refusal, refusal } from "../state/errors.js";
import {
    authenticate,
    type Caller,
    type CallerRouteDependencies,
    digestOf,
    resolveTaskLimits,
    sendRefusal,
} from "./callerChecks.js";
import { disconnectSignal, type NodeBindings, startStream } from "./httpServer.js";

const eventStreamType = "text/event-stream";

/** Sends one completion to the caller. */
type CompletionResponder = {
    onToken: (text: string) => void;
    finish: (result: Result<ModelCompletion, Refusal>) => Response;
};

const createStreamResponder = (context: Context<NodeBindings>, writer: CompletionWriter): CompletionResponder => {
    const response: ServerResponse = context.env.outgoing;
    let isOpened = false;
    const open = (): void => {
        if (!isOpened) {
            isOpened = true;
            startStream(response, { "content-type": eventStreamType, "cache-control": "no-store" });
        }
    };
    return {
        onToken: text => {
            open();
            response.write(writer.tokenEvent(text));
        },
        finish: result => {
            if (result.isErr() && !isOpened) {
                return sendRefusal(context, result.error);
            }
            open();
            response.end(result.match(({ finishReason }) => writer.endEvents(finishReason), errorEvents));
            return RESPONSE_ALREADY_SENT;
        },
    };
};

const createBufferedResponder = (context: Context<NodeBindings>, writer: CompletionWriter): CompletionResponder => {
    const texts: string[] = [];
    return {
        onToken: text => void texts.push(text),
        finish: result =>
            result.match(
                ({ finishReason, tokens }) => {
                    context.header(outcomeHeader, "complete");
                    return context.json(writer.wholeBody(texts.join(""), finishReason, tokens) as object);
                },
                failure => sendRefusal(context, failure),
            ),
    };
};

const resolveModelLimits = (
    dependencies: CallerRouteDependencies,
    { account }: Caller,
    model: string,
): Result<{ timeoutMilliseconds: number; maximumRetries: number; }, Refusal> => {
    const [group] = dependencies.settings.groupsOfModel(model);
    const settings = group === undefined ? undefined : dependencies.settings.group(group);
    const isAllowed = account.models === undefined || account.models.includes(model);
    return settings === undefined || !isAllowed
        ? err(refusal("unknown-model", [model]))
        : ok({ timeoutMilliseconds: settings.requestTimeoutMilliseconds, maximumRetries: settings.maximumRetries });
};

/** Creates the handler for one kind of completion. */
export const completionRoute =
    (dependencies: CallerRouteDependencies, kind: CompletionKind) => async (context: Context<NodeBindings>) => {
        const startedAt = dependencies.now();
        const requestId = dependencies.newId();
        const caller = authenticate(context, dependencies);
        const body = caller.isErr() ? "" : await context.req.text();
        const validated = caller.andThen(authenticatedCaller =>
            decodeJsonAs<CompletionRequest>(completionSchemas[kind], body)
                .mapErr(failure => refusal("malformed-body", [describeDecodingError(failure)]))
                .andThen(request =>
                    resolveModelLimits(dependencies, authenticatedCaller, request.model).map(limits => ({
                        authenticatedCaller,
                        request,
                        limits,
                    }))
                )
        );
        if (validated.isErr()) {
            dependencies.onResponse({
                requestId,
                outcome: validated.error.outcome,
                code: validated.error.code,
                startedAt,
            });
            return sendRefusal(context, validated.error);
        }
        const { authenticatedCaller, request, limits } = validated.value;
        const writer = completionWriters[kind](requestId, request.model);
        const responder = (request.stream ? createStreamResponder : createBufferedResponder)(context, writer);
        let firstTokenAt: number | undefined;
        const result = await dependencies.complete(
            {
                requestId,
                clientAccount: authenticatedCaller.clientAccount,
                priority: authenticatedCaller.account.priority,
                model: request.model,
                prompt: request.prompt,
                maximumTokens: request.maximumTokens,
                digest: digestOf(request.model, request.prompt, String(request.maximumTokens)),
            },
            resolveTaskLimits(context, startedAt, limits.timeoutMilliseconds, limits.maximumRetries),
            text => {
                firstTokenAt ??= dependencies.now();
                responder.onToken(text);
            },
            disconnectSignal(context.env.outgoing),
        );
        dependencies.onResponse({
            requestId,
            clientAccount: authenticatedCaller.clientAccount,
            outcome: result.isOk() ? "complete" : result.error.outcome,
            startedAt,
            ...(result.isOk() ? { tokens: result.value.tokens } : { code: result.error.code }),
            ...(firstTokenAt === undefined ? {} : { firstTokenAt }),
        });
        return responder.finish(result);
    };
