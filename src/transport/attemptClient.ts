/**
 * Runs attempts on agents over HTTP: the entry's side of the data path.
 *
 * The frames of an answer must come with consecutive indexes from `resumeFrom` on and name this attempt at both ends. An
 * agent that falls silent for `silenceTimeoutMilliseconds` is given up, since a frozen process keeps its connections
 * open.
 */
import { err, ok, type Result } from "neverthrow";
import { type Dispatcher, request } from "undici";
import type {
    AttemptClient,
    AttemptFailure,
    ModelAttempt,
    ModelEnd,
    ServiceAttempt,
    TokenSink,
} from "../coordination/attempts.js";
import {
    agentRefusalSchema,
    attemptHeader,
    type ClosingFrame,
    type Frame,
    frameSchema,
    serviceReplySchema,
    silenceTimeoutMilliseconds,
} from "../protocol/attemptProtocol.js";
import type { HostRecord } from "../state/types.js";
import { boundSignal } from "./boundedSignal.js";
import { readLines } from "./lines.js";
import { createStreamDispatcher, isUnsent } from "./upstreamConnections.js";

type Answer = Dispatcher.ResponseData;

const okStatus = 200;

const connectionFailure = (error: unknown): AttemptFailure => {
    const { code, message } = error as { code?: string; message?: string; };
    const reason = `${code ?? "error"}: ${message ?? ""}`;
    return { kind: isUnsent(error) ? "unreachable" : "cut", reason };
};

const closings: {
    [Type in ClosingFrame["type"]]: (frame: ClosingFrame & { type: Type; }) => Result<ModelEnd, AttemptFailure>;
} = {
    end: ({ tokens, finishReason, load }) => ok({ tokens, finishReason, load }),
    moved: ({ load }) => err({ kind: "moved", ...(load === undefined ? {} : { load }) }),
    crashed: ({ reason }) => err({ kind: "crashed", reason }),
    cut: ({ reason }) => err({ kind: "cut", reason }),
};

const close = (frame: ClosingFrame): Result<ModelEnd, AttemptFailure> =>
    (closings[frame.type] as (frame: ClosingFrame) => Result<ModelEnd, AttemptFailure>)(frame);

const decodeFrame = (line: string): Frame | undefined => {
    try {
        const frame = JSON.parse(line) as Frame;
        // Tokens are by far the most frequent frames; a full schema check of each costs more than relaying it.
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
 * Gives a function that takes the lines of one answer in order: it passes tokens on and gives the answer's end, once it
 * is known.
 */
const frameTaker = (attempt: ModelAttempt, onToken: TokenSink) => {
    let next = attempt.resumeFrom;
    return (line: string): Result<ModelEnd, AttemptFailure> | undefined => {
        const frame = decodeFrame(line);
        if (frame === undefined) {
            return err({ kind: "cut", reason: "a frame is not valid" });
        }
        if (frame.type === "heartbeat") {
            return undefined;
        }
        if (frame.type !== "token") {
            return frame.attempt === attempt.attempt
                ? close(frame)
                : err({ kind: "cut", reason: `the answer belongs to attempt "${frame.attempt}"` });
        }
        if (frame.index !== next) {
            return err({ kind: "cut", reason: `token ${frame.index} came where token ${next} was due` });
        }
        next++;
        onToken(frame.index, frame.text);
        return undefined;
    };
};

const readFrames = async (
    answer: Answer,
    attempt: ModelAttempt,
    onToken: TokenSink,
    onSign: () => void,
): Promise<Result<ModelEnd, AttemptFailure>> => {
    const take = frameTaker(attempt, onToken);
    let ended: Result<ModelEnd, AttemptFailure> | undefined;
    for await (const lines of readLines(answer.body)) {
        onSign();
        for (const line of lines) {
            ended ??= take(line);
        }
        // A whole answer is read to its end, since leaving it earlier destroys the connection.
        if (ended?.isErr() === true) {
            return ended;
        }
    }
    return ended ?? err({ kind: "cut", reason: "the answer ended without its closing frame" });
};

const decodeRefusal = async (answer: Answer): Promise<AttemptFailure> => {
    const body: unknown = await answer.body.json().catch(() => undefined);
    const checked = agentRefusalSchema.safeParse(body);
    if (!checked.success) {
        return { kind: "cut", reason: `the agent answered status ${answer.statusCode} without a refusal` };
    }
    return { kind: "refused", ...checked.data };
};

/** Builds the client; `peerToken` authenticates the entry to the agents. */
export const createAttemptClient = (peerToken: string): AttemptClient => {
    const dispatcher = createStreamDispatcher();
    const send = (upstream: HostRecord, path: string, attempt: ModelAttempt | ServiceAttempt, signal: AbortSignal) =>
        request(`http://${upstream.address}${path}`, {
            method: "POST",
            dispatcher,
            signal,
            headers: {
                "content-type": "application/json",
                "authorization": `Bearer ${peerToken}`,
                [attemptHeader]: attempt.attempt,
            },
            body: JSON.stringify(attempt),
        });

    return {
        runModel: async (upstream, attempt, onToken, signal) => {
            const limited = boundSignal(signal, attempt.timeoutMilliseconds);
            const guard = boundSignal(limited.signal, silenceTimeoutMilliseconds);
            try {
                const answer = await send(upstream, "/attempts/model", attempt, guard.signal);
                if (answer.statusCode !== okStatus) {
                    return err(await decodeRefusal(answer));
                }
                return await readFrames(answer, attempt, onToken, guard.renew);
            }
            catch (error) {
                return err(connectionFailure(error));
            }
            finally {
                guard.release();
                limited.release();
            }
        },
        runService: async (upstream, attempt, signal) => {
            const limited = boundSignal(signal, attempt.timeoutMilliseconds);
            try {
                const answer = await send(upstream, "/attempts/service", attempt, limited.signal);
                if (answer.statusCode !== okStatus) {
                    return err(await decodeRefusal(answer));
                }
                const reply = serviceReplySchema.safeParse(await answer.body.json());
                if (!reply.success || reply.data.attempt !== attempt.attempt) {
                    return err({ kind: "cut", reason: "the agent's reply is not an answer to this attempt" });
                }
                return ok({ answer: reply.data.answer, load: reply.data.load });
            }
            catch (error) {
                return err(connectionFailure(error));
            }
            finally {
                limited.release();
            }
        },
    };
};
