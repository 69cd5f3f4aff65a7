/**
 * HTTP client that runs attempts on agents: the entry side of the data path.
 *
 * Token frames must have consecutive indexes starting at `resumeFrom`, and the closing frame must name this attempt. A
 * model attempt fails when the agent sends nothing for `silenceTimeoutMilliseconds`, because a frozen process keeps its
 * connections open.
 */
import { err, ok, type Result } from "neverthrow";
import type {
    AttemptClient,
    AttemptFailure,
    ModelAttempt,
    ModelCompletion,
    ServiceAttempt,
    ServiceResponse,
    TokenHandler,
} from "../coordination/attempts.js";
import type { PeerRead } from "../coordination/peerReads.js";
import {
    agentRefusalSchema,
    attemptHeader,
    type ClosingFrame,
    type Frame,
    frameSchema,
    serviceReplySchema,
    silenceTimeoutMilliseconds,
} from "../protocol/attemptProtocol.js";
import { decodeJson } from "../protocol/decoding.js";
import type { HostRecord, LoadReport } from "../state/types.js";
import { type PeerResponse, readChunks, readWholeBody, requestFromPeer } from "./boundedBody.js";
import { readLines } from "./lineReader.js";
import { createTimeoutSignal } from "./timeoutSignal.js";
import { createStreamDispatcher, isConnectError } from "./upstreamConnections.js";

const okStatus = 200;

const connectionFailure = (error: unknown): AttemptFailure => {
    const { code, message } = error as { code?: string; message?: string; };
    const reason = `${code ?? "error"}: ${message ?? ""}`;
    return { kind: isConnectError(error) ? "unreachable" : "cut", reason };
};

const closingFrameResults: {
    [Type in ClosingFrame["type"]]: (frame: ClosingFrame & { type: Type; }) => Result<ModelCompletion, AttemptFailure>;
} = {
    end: ({ tokens, finishReason, load }) => ok({ tokens, finishReason, load }),
    moved: ({ load }) => err({ kind: "moved", ...(load === undefined ? {} : { load }) }),
    crashed: ({ reason }) => err({ kind: "crashed", reason }),
    cut: ({ reason }) => err({ kind: "cut", reason }),
};

const closingFrameResult = (frame: ClosingFrame): Result<ModelCompletion, AttemptFailure> =>
    (closingFrameResults[frame.type] as (frame: ClosingFrame) => Result<ModelCompletion, AttemptFailure>)(frame);

const decodeFrame = (line: string): Frame | undefined => {
    try {
        const frame = JSON.parse(line) as Frame;
        // Tokens are by far the most frequent frames, and validating one with the schema costs more than relaying it.
        if (frame.type === "token" && Number.isInteger(frame.index) && typeof frame.text === "string") {
            return frame;
        }
        return frameSchema.safeParse(frame).data;
    }
    catch {
        return undefined;
    }
};

/**
 * Creates a handler for the lines of one response, to be called in order. It passes tokens on and returns the end of
 * the response once that is known.
 */
const createFrameHandler = (attempt: ModelAttempt, onToken: TokenHandler) => {
    let nextIndex = attempt.resumeFrom;
    return (line: string): Result<ModelCompletion, AttemptFailure> | undefined => {
        const frame = decodeFrame(line);
        if (frame === undefined) {
            return err({ kind: "cut", reason: "invalid frame" });
        }
        if (frame.type === "heartbeat") {
            return undefined;
        }
        if (frame.type !== "token") {
            return frame.attempt === attempt.attempt
                ? closingFrameResult(frame)
                : err({ kind: "cut", reason: `closing frame belongs to another attempt, "${frame.attempt}"` });
        }
        if (frame.index !== nextIndex) {
            return err({ kind: "cut", reason: `received token ${frame.index}, expected token ${nextIndex}` });
        }
        nextIndex++;
        onToken(frame.index, frame.text);
        return undefined;
    };
};

const readFrames = async (
    chunks: AsyncIterable<Buffer>,
    attempt: ModelAttempt,
    onToken: TokenHandler,
    onActivity: () => void,
): Promise<Result<ModelCompletion, AttemptFailure>> => {
    const handleLine = createFrameHandler(attempt, onToken);
    let result: Result<ModelCompletion, AttemptFailure> | undefined;
    for await (const lines of readLines(chunks)) {
        onActivity();
        for (const line of lines) {
            result ??= handleLine(line);
        }
        // A successful response is read to its end, because leaving the loop earlier destroys the connection.
        if (result?.isErr() === true) {
            return result;
        }
    }
    return result ?? err({ kind: "cut", reason: "response ended without a closing frame" });
};

const decodeRefusal = async ({ status, body }: PeerResponse, read: PeerRead): Promise<AttemptFailure> => {
    const parsed = agentRefusalSchema.safeParse(
        decodeJson((await readWholeBody(body, read)).toString("utf8")).unwrapOr(undefined),
    );
    if (!parsed.success) {
        return { kind: "cut", reason: `agent responded with status ${status} without a valid refusal` };
    }
    return { kind: "refused", ...parsed.data };
};

const decodeReply = (
    body: Buffer,
    attempt: ServiceAttempt,
): Result<{ answer: ServiceResponse; load: LoadReport; }, AttemptFailure> => {
    const reply = serviceReplySchema.safeParse(decodeJson(body.toString("utf8")).unwrapOr(undefined));
    return reply.success && reply.data.attempt === attempt.attempt
        ? ok({ answer: reply.data.answer, load: reply.data.load })
        : err({ kind: "cut", reason: "agent response is invalid or belongs to another attempt" });
};

/** Creates the client; `peerToken` authenticates the entry to the agents. */
export const createAttemptClient = (peerToken: string): AttemptClient => {
    const dispatcher = createStreamDispatcher();
    const send = <Value>(
        upstream: HostRecord,
        path: string,
        attempt: ModelAttempt | ServiceAttempt,
        signal: AbortSignal,
        consume: (response: PeerResponse, read: PeerRead) => Promise<Value>,
    ): Promise<Value> =>
        requestFromPeer({
            dispatcher,
            url: `http://${upstream.address}${path}`,
            kind: "stream",
            method: "POST",
            signal,
            headers: {
                "content-type": "application/json",
                "authorization": `Bearer ${peerToken}`,
                [attemptHeader]: attempt.attempt,
            },
            body: JSON.stringify(attempt),
        }, consume);

    return {
        runModel: async (upstream, attempt, onToken, signal) => {
            const attemptTimeout = createTimeoutSignal(signal, attempt.timeoutMilliseconds);
            const silenceTimeout = createTimeoutSignal(attemptTimeout.signal, silenceTimeoutMilliseconds);
            try {
                return await send(
                    upstream,
                    "/attempts/model",
                    attempt,
                    silenceTimeout.signal,
                    async (response, read) =>
                        response.status === okStatus
                            ? readFrames(readChunks(response.body, read), attempt, onToken, silenceTimeout.restart)
                            : err(await decodeRefusal(response, read)),
                );
            }
            catch (error) {
                return err(connectionFailure(error));
            }
            finally {
                silenceTimeout.dispose();
                attemptTimeout.dispose();
            }
        },
        runService: async (upstream, attempt, signal) => {
            const attemptTimeout = createTimeoutSignal(signal, attempt.timeoutMilliseconds);
            try {
                return await send(
                    upstream,
                    "/attempts/service",
                    attempt,
                    attemptTimeout.signal,
                    async (response, read) =>
                        response.status === okStatus
                            ? decodeReply(await readWholeBody(response.body, read), attempt)
                            : err(await decodeRefusal(response, read)),
                );
            }
            catch (error) {
                return err(connectionFailure(error));
            }
            finally {
                attemptTimeout.dispose();
            }
        },
    };
};
