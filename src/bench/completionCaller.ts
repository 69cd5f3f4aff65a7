/**
 * A caller of streamed completions, through an entry or straight at an engine, that checks each answer to its last
 * token against what the stand-in engine must generate.
 */
import { performance } from "node:perf_hooks";
import { Agent, type Dispatcher, request } from "undici";
import { outcomeHeader } from "../protocol/callerProtocol.js";
import { expectedAnswer } from "../standin/tokens.js";

/** Where completions go: `entry` speaks the callers' protocol, `engine` that of the stand-in engine. */
export type CompletionTarget =
    | { kind: "entry"; address: string; key: string; model: string; }
    | { kind: "engine"; address: string; };

export type CompletionCall = { requestId: string; prompt: string; maximumTokens: number; };

/**
 * How a call ended: `whole` is the expected answer to the last token, `wrong` ended as if whole but is not, `refused`
 * was answered with an error status, `broken` ended in an explicit error or a cut connection.
 */
export type CompletionEnd = "whole" | "wrong" | "refused" | "broken";

export type CompletionResult = {
    end: CompletionEnd;
    /** Outcome that the answer states, or its status or error where there is none. */
    outcome: string;
    /** Moments of `performance.now()`. */
    firstTokenAt: number | undefined;
    endedAt: number;
    /** Longest wait between two tokens, in milliseconds. */
    longestGap: number;
    tokens: number;
};

const okStatus = 200;
const eventEnd = "\n\n";

/** Keeps connections to all targets of a run; close it by `close`. */
export const newDispatcher = (): Agent => new Agent({ pipelining: 1, bodyTimeout: 0, headersTimeout: 0 });

const bodyFor = (target: CompletionTarget, call: CompletionCall): string =>
    target.kind === "entry"
        ? JSON.stringify({
            model: target.model,
            prompt: call.prompt,
            max_tokens: call.maximumTokens,
            stream: true,
        })
        : JSON.stringify({
            request_id: call.requestId,
            prompt: call.prompt,
            max_tokens: call.maximumTokens,
            stream: true,
        });

const headersFor = (target: CompletionTarget): Record<string, string> => ({
    "content-type": "application/json",
    ...(target.kind === "entry" ? { authorization: `Bearer ${target.key}` } : {}),
});

type Chunk = { text?: string; choices?: { text: string; }[]; };

/** Text of one event, `undefined` if the event carries no token. */
const textOf = (event: string): string | undefined => {
    if (!event.startsWith("data: {")) {
        return undefined;
    }
    const chunk = JSON.parse(event.slice("data: ".length)) as Chunk;
    const text = chunk.text ?? chunk.choices?.[0]?.text;
    return text === "" ? undefined : text;
};

/** Reads one stream of events and keeps the times of its tokens. */
class AnswerReader {
    firstTokenAt: number | undefined;
    longestGap = 0;
    tokens = 0;
    text = "";
    sawEnd = false;
    sawError = false;
    private lastTokenAt = 0;
    private rest = "";
    private readonly onToken: (now: number) => void;

    constructor(onToken: (now: number) => void) {
        this.onToken = onToken;
    }

    take(data: string): void {
        const events = (this.rest + data).split(eventEnd);
        this.rest = events.pop() ?? "";
        const now = performance.now();
        for (const event of events) {
            this.takeEvent(event, now);
        }
    }

    private takeEvent(event: string, now: number): void {
        this.sawEnd ||= event === "data: [DONE]";
        this.sawError ||= event.startsWith("event: error");
        const text = textOf(event);
        if (text === undefined) {
            return;
        }
        if (this.firstTokenAt === undefined) {
            this.firstTokenAt = now;
        }
        else {
            this.longestGap = Math.max(this.longestGap, now - this.lastTokenAt);
        }
        this.lastTokenAt = now;
        this.tokens += 1;
        this.onToken(now);
        this.text += text;
    }
}

const endOf = (reader: AnswerReader, call: CompletionCall): CompletionEnd => {
    if (reader.sawError || !reader.sawEnd) {
        return "broken";
    }
    return reader.text === expectedAnswer(call.prompt, call.maximumTokens) ? "whole" : "wrong";
};

/** Runs one completion to its end and reports the moment of each token to `onToken`; never rejects. */
export const callCompletion = async (
    target: CompletionTarget,
    call: CompletionCall,
    dispatcher: Dispatcher,
    signal: AbortSignal,
    onToken: (now: number) => void,
): Promise<CompletionResult> => {
    const reader = new AnswerReader(onToken);
    const result = (end: CompletionEnd, outcome: string): CompletionResult => ({
        end,
        outcome,
        firstTokenAt: reader.firstTokenAt,
        endedAt: performance.now(),
        longestGap: reader.longestGap,
        tokens: reader.tokens,
    });
    try {
        const answer = await request(`http://${target.address}/v1/completions`, {
            method: "POST",
            headers: headersFor(target),
            body: bodyFor(target, call),
            dispatcher,
            signal,
        });
        if (answer.statusCode !== okStatus) {
            const { error } = await answer.body.json() as { error?: { code?: string; }; };
            const outcome = String(answer.headers[outcomeHeader] ?? "no-outcome");
            return result("refused", `${error?.code ?? answer.statusCode}:${outcome}`);
        }
        answer.body.setEncoding("utf8");
        for await (const data of answer.body) {
            reader.take(data as string);
        }
        const end = endOf(reader, call);
        return result(end, end);
    }
    catch (error) {
        return result("broken", (error as { code?: string; }).code ?? "error");
    }
};
