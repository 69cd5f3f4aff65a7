/**
 * HTTP client of an agent for its model engine.
 *
 * Every chunk of a response names its request, and chunks that belong to another request are dropped, because engines
 * have been observed to mix up responses. A connection that breaks during a response counts as a crash of the engine.
 */
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import type { ModelAttempt, TokenHandler } from "../coordination/attempts.js";
import type { EngineClient, UpstreamFailure } from "../coordination/upstreamClients.js";
import { readChunks, readWholeBody, requestFromPeer, requestWhole } from "./boundedBody.js";
import { readLines } from "./lineReader.js";
import { isPeerReadError } from "./processReads.js";
import { createTimeoutSignal } from "./timeoutSignal.js";
import { createStreamDispatcher } from "./upstreamConnections.js";

const loadTimeoutMilliseconds = 1_000;
const okStatus = 200;
const incarnationHeader = "x-engine-incarnation";
const eventPrefix = "data: ";

const loadSchema = z.object({
    running: z.number(),
    waiting: z.number(),
    tokensPerSecond: z.number(),
    stepMilliseconds: z.number(),
    formation: z.number(),
    incarnation: z.string(),
    takenAt: z.number(),
});

type Chunk = { id: string; index: number; text?: string; finish_reason?: string; };

const decodeChunk = (line: string): Chunk | undefined => {
    if (!line.startsWith(`${eventPrefix}{`)) {
        return undefined;
    }
    try {
        return JSON.parse(line.slice(eventPrefix.length)) as Chunk;
    }
    catch {
        return undefined;
    }
};

const readCompletion = async (
    body: AsyncIterable<Buffer>,
    attempt: ModelAttempt,
    onToken: TokenHandler,
): Promise<Result<{ tokens: number; finishReason: string; }, UpstreamFailure>> => {
    let completion: { tokens: number; finishReason: string; } | undefined;
    // The response is read to its end, because leaving the loop earlier destroys the connection.
    for await (const lines of readLines(body)) {
        for (const line of lines) {
            const chunk = decodeChunk(line);
            if (chunk === undefined || chunk.id !== attempt.attempt || completion !== undefined) {
                continue;
            }
            if (chunk.finish_reason === undefined) {
                onToken(chunk.index, chunk.text ?? "");
            }
            else {
                completion = { tokens: chunk.index, finishReason: chunk.finish_reason };
            }
        }
    }
    return completion === undefined
        ? err({ kind: "cut", reason: "the engine's answer ended early" })
        : ok(completion);
};

const connectErrorCodes = new Set(["ECONNREFUSED", "UND_ERR_CONNECT_TIMEOUT"]);

/**
 * Classifies a failed call to an upstream; if `signal` has aborted or the response exceeded a bound, the cause was not a
 * crash.
 */
export const classifyUpstreamError = (error: unknown, signal: AbortSignal): UpstreamFailure => {
    const { code, message } = error as { code?: string; message?: string; };
    const reason = `${code ?? "error"}: ${message ?? ""}`;
    if (signal.aborted || isPeerReadError(error)) {
        return { kind: "cut", reason };
    }
    return { kind: code !== undefined && connectErrorCodes.has(code) ? "unreachable" : "crashed", reason };
};

/** Creates the client of the engine at `address` (`ip:port`). */
export const createEngineClient = (address: string): EngineClient => {
    const dispatcher = createStreamDispatcher();
    return {
        generate: async (attempt, onIncarnation, onToken, signal) => {
            try {
                return await requestFromPeer({
                    dispatcher,
                    url: `http://${address}/v1/completions`,
                    kind: "stream",
                    method: "POST",
                    signal,
                    headers: { "content-type": "application/json" },
                    body: JSON.stringify({
                        request_id: attempt.attempt,
                        prompt: attempt.prompt,
                        max_tokens: attempt.maximumTokens,
                        stream: true,
                        priority: attempt.priority,
                        resume_from: attempt.resumeFrom,
                    }),
                }, async ({ status, headers, body }, read) => {
                    const incarnation = headers[incarnationHeader];
                    if (typeof incarnation === "string") {
                        onIncarnation(incarnation);
                    }
                    if (status !== okStatus) {
                        await readWholeBody(body, read);
                        return err({ kind: "refused", reason: `the engine answered status ${status}` });
                    }
                    return readCompletion(readChunks(body, read), attempt, onToken);
                });
            }
            catch (error) {
                return err(classifyUpstreamError(error, signal));
            }
        },
        load: async signal => {
            const timeout = createTimeoutSignal(signal, loadTimeoutMilliseconds);
            try {
                const response = await requestWhole({
                    dispatcher,
                    url: `http://${address}/load`,
                    kind: "report",
                    method: "GET",
                    signal: timeout.signal,
                });
                const parsed = loadSchema.safeParse(JSON.parse(response.body.toString("utf8")));
                // The report lags and may predate a restart; the header names the current incarnation.
                const incarnation = response.headers[incarnationHeader];
                return parsed.success
                    ? ok({
                        ...parsed.data,
                        ...(incarnation === undefined ? {} : { incarnation: String(incarnation) }),
                    })
                    : err({ kind: "refused", reason: "engine load report is invalid" });
            }
            catch (error) {
                return err(classifyUpstreamError(error, timeout.signal));
            }
            finally {
                timeout.dispose();
            }
        },
    };
};
