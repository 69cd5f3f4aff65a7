/**
 * Protocol of the data path between an entry and an agent. Each attempt is one HTTP request.
 *
 * `POST /attempts/model` responds with newline-delimited JSON frames: tokens with consecutive indexes, heartbeats while
 * there is no token to send, and exactly one closing frame. A stream that ends without a closing frame was truncated.
 * `POST /attempts/service` and `GET /load` each respond with one JSON object. A refusal has its own HTTP status and a
 * body of `agentRefusalSchema`. Token frames are formatted by hand, because tokens are by far the most frequent
 * messages in the system.
 */
import { z } from "zod";
import type { ErrorCode } from "../state/errors.js";
import { errorCodes } from "../state/errors.js";

/** Agent route that returns its load report. */
export const loadRoute = "/load";

export const attemptHeader = "cyclamengap-attempt";

/** Interval between heartbeats while an agent has no token to send. */
export const heartbeatIntervalMilliseconds = 500;

/** An entry fails an attempt when it receives nothing from the agent for this long. */
export const silenceTimeoutMilliseconds = 1_500;

const prioritySchema = z.enum(["interactive", "standard", "batch"]);

export const loadReportSchema = z.object({
    state: z.enum(["cold", "warming", "warm", "draining", "down"]),
    incarnation: z.string(),
    running: z.number(),
    limit: z.number(),
    outstandingTokens: z.number(),
    tokensPerSecond: z.number(),
    takenAt: z.number(),
});

export const modelAttemptSchema = z.object({
    attempt: z.string(),
    requestId: z.string(),
    clientAccount: z.string(),
    priority: prioritySchema,
    model: z.string(),
    prompt: z.string(),
    maximumTokens: z.int().positive(),
    digest: z.string(),
    resumeFrom: z.int().nonnegative(),
    timeoutMilliseconds: z.number().positive(),
    alone: z.boolean().optional(),
});

export const serviceAttemptSchema = z.object({
    attempt: z.string(),
    requestId: z.string(),
    clientAccount: z.string(),
    priority: prioritySchema,
    service: z.string(),
    method: z.string(),
    path: z.string(),
    contentType: z.string().optional(),
    body: z.string(),
    digest: z.string(),
    idempotencyKey: z.string().optional(),
    timeoutMilliseconds: z.number().positive(),
});

/** Response body with which an agent refuses an attempt, which has not run and will not run. */
export const agentRefusalSchema = z.object({
    refusal: z.object({
        code: z.enum(errorCodes as [ErrorCode, ...ErrorCode[]]),
        message: z.string(),
        status: z.int(),
        outcome: z.enum(["complete", "not-run", "unknown"]),
        retryAfterSeconds: z.int().optional(),
    }),
    load: loadReportSchema.optional(),
});

export const serviceReplySchema = z.object({
    attempt: z.string(),
    answer: z.object({ status: z.int(), contentType: z.string().optional(), body: z.string() }),
    load: loadReportSchema,
});

const closingFrameSchema = z.discriminatedUnion("type", [
    z.object({
        type: z.literal("end"),
        attempt: z.string(),
        tokens: z.int(),
        finishReason: z.string(),
        load: loadReportSchema,
    }),
    z.object({ type: z.literal("moved"), attempt: z.string(), load: loadReportSchema.optional() }),
    z.object({ type: z.literal("crashed"), attempt: z.string(), reason: z.string() }),
    z.object({ type: z.literal("cut"), attempt: z.string(), reason: z.string() }),
]);

export const frameSchema = z.union([
    z.object({ type: z.literal("token"), index: z.int(), text: z.string() }),
    z.object({ type: z.literal("heartbeat") }),
    closingFrameSchema,
]);

export type Frame = z.infer<typeof frameSchema>;
export type ClosingFrame = z.infer<typeof closingFrameSchema>;

/** Formats a token frame as one line; `text` is JSON-escaped. */
export const tokenLine = (index: number, text: string): string =>
    `{"type":"token","index":${index},"text":${JSON.stringify(text)}}\n`;

export const heartbeatLine = `{"type":"heartbeat"}\n`;

export const closingLine = (frame: ClosingFrame): string => `${JSON.stringify(frame)}\n`;
