/**
 * The routes for completions: checks a request, has it served and writes the answer, streamed or whole.
 */
import { RESPONSE_ALREADY_SENT } from "@hono/node-server/utils/response";
import type { Context } from "hono";
import { err, ok, type Result } from "neverthrow";
import type { ServerResponse } from "node:http";
import type { ModelEnd } from "../coordination/attempts.js";
import {
    type CompletionKind,
    type CompletionRequest,
    completionSchemas,
    type CompletionWriter,
    completionWriters,
    errorEvents,
    outcomeHeader,
} from "../protocol/callerRequests.js";
import { decodeJsonAs, describeDecodingError } from "../protocol/decoding.js";
import { type Refusal, refusal } from "../state/errors.js";
import { authenticate, type Caller, type CallerTools, digestOf, limitsFor, refuse } from "./callerChecks.js";
import { type NodeBindings, openStream, peerGoneSignal } from "./httpServer.js";

const eventStreamType = "text/event-stream";

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

/** The handler for one kind of completion. */
export const completionRoute = (tools: CallerTools, kind: CompletionKind) => async (context: Context<NodeBindings>) => {
    const startedAt = tools.now();
    const requestId = tools.newId();
    const caller = authenticate(context, tools);
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
