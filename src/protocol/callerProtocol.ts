/**
 * The protocol towards callers: OpenAI-compatible completion requests, and the response bodies and server-sent events.
 *
 * `POST /v1/completions` and `POST /v1/chat/completions` are both decoded to a `CompletionRequest`. The messages of a
 * chat are joined into one prompt, each prefixed with its role.
 */
import { z } from "zod";
import type { Refusal } from "../state/errors.js";
import type { Outcome } from "../state/types.js";

/** Response header that states whether the request was executed; a stream states it in its closing event instead. */
export const outcomeHeader = "cyclamengap-outcome";

/** Request header with which a caller sets a timeout in milliseconds that is shorter than the configured one. */
export const timeoutHeader = "cyclamengap-timeout-milliseconds";

const defaultMaximumTokens = 256;
const maximumTokensLimit = 16_384;

const sharedFields = {
    model: z.string().min(1),
    max_tokens: z.int().positive().max(maximumTokensLimit).default(defaultMaximumTokens),
    stream: z.boolean().default(false),
};

const textRequestSchema = z.object({ ...sharedFields, prompt: z.string() });

const chatRequestSchema = z.object({
    ...sharedFields,
    messages: z.array(z.object({ role: z.string(), content: z.string() })).min(1),
});

export type CompletionKind = "text" | "chat";

export type CompletionRequest = {
    kind: CompletionKind;
    model: string;
    prompt: string;
    maximumTokens: number;
    stream: boolean;
};

/** Decodes the request body of each kind of completion to a `CompletionRequest`. */
export const completionSchemas: Record<CompletionKind, z.ZodType<CompletionRequest>> = {
    text: textRequestSchema.transform(({ model, prompt, max_tokens: maximumTokens, stream }) => ({
        kind: "text" as const,
        model,
        prompt,
        maximumTokens,
        stream,
    })),
    chat: chatRequestSchema.transform(({ model, messages, max_tokens: maximumTokens, stream }) => ({
        kind: "chat" as const,
        model,
        prompt: messages.map(({ role, content }) => `${role}: ${content}`).join("\n"),
        maximumTokens,
        stream,
    })),
};

/** Formats the server-sent events and bodies of one kind of completion. */
export type CompletionWriter = {
    /** Server-sent event for one token. */
    tokenEvent: (text: string) => string;
    /** Server-sent events that end a complete response. */
    endEvents: (finishReason: string) => string;
    /** Body of a response that is not streamed. */
    wholeBody: (text: string, finishReason: string, tokens: number) => unknown;
};

const streamTrailer = (outcome: Outcome): string =>
    `event: outcome\ndata: {"outcome":"${outcome}"}\n\ndata: [DONE]\n\n`;

const textWriter = (id: string, model: string): CompletionWriter => {
    const chunkPrefix = `data: {"id":${JSON.stringify(id)},"object":"text_completion","model":${
        JSON.stringify(model)
    },`;
    return {
        tokenEvent: text =>
            `${chunkPrefix}"choices":[{"index":0,"text":${JSON.stringify(text)},"finish_reason":null}]}\n\n`,
        endEvents: finishReason =>
            `${chunkPrefix}"choices":[{"index":0,"text":"","finish_reason":${JSON.stringify(finishReason)}}]}\n\n${
                streamTrailer("complete")
            }`,
        wholeBody: (text, finishReason, tokens) => ({
            id,
            object: "text_completion",
            model,
            choices: [{ index: 0, text, finish_reason: finishReason }],
            usage: { completion_tokens: tokens },
        }),
    };
};

const chatWriter = (id: string, model: string): CompletionWriter => {
    const chunkPrefix = `data: {"id":${JSON.stringify(id)},"object":"chat.completion.chunk","model":${
        JSON.stringify(model)
    },`;
    return {
        tokenEvent: text =>
            `${chunkPrefix}"choices":[{"index":0,"delta":{"content":${
                JSON.stringify(text)
            }},"finish_reason":null}]}\n\n`,
        endEvents: finishReason =>
            `${chunkPrefix}"choices":[{"index":0,"delta":{},"finish_reason":${JSON.stringify(finishReason)}}]}\n\n${
                streamTrailer("complete")
            }`,
        wholeBody: (text, finishReason, tokens) => ({
            id,
            object: "chat.completion",
            model,
            choices: [{ index: 0, message: { role: "assistant", content: text }, finish_reason: finishReason }],
            usage: { completion_tokens: tokens },
        }),
    };
};

export const completionWriters: Record<CompletionKind, (id: string, model: string) => CompletionWriter> = {
    text: textWriter,
    chat: chatWriter,
};

/** Response body of every refusal and failure. */
export const errorBody = ({ code, message, outcome }: Refusal): unknown => ({ error: { code, message, outcome } });

/** Events that end an incomplete streamed response, so that a caller cannot mistake it for a complete one. */
export const errorEvents = (failure: Refusal): string =>
    `event: error\ndata: ${JSON.stringify(errorBody(failure))}\n\n`;
