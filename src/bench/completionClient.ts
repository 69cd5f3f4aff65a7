/**
 * Client for streamed completions, through an entry or directly at an engine. It verifies each response up to its last
 * token against the text that the stand-in engine generates for the prompt.
 */
import { performance } from "node:perf_hooks";
import { Agent, type Dispatcher, request } from "undici";
import { outcomeHeader } from "../protocol/callerProtocol.js";
import { expectedAnswer } from "../standin/tokens.js";

/** Target of completions: `entry` uses the callers' protocol, `engine` that of the stand-in engine. */
export type CompletionTarget =
    | { kind: "entry"; address: string; key: string; model: string; }
    | { kind: "engine"; address: string; };

export type CompletionCall = { requestId: string; prompt: string; maximumTokens: number; };

/**
 * How a call ended: `whole` means that the response matches the expected text to the last token, `wrong` that it ended
 * normally with another text, `refused` that it had an error status, `broken` that it ended with an error event, a
 * closed connection or no end marker.
 */
export type CompletionEnd = "whole" | "wrong" | "refused" | "broken";

export type CompletionResult = {
    end: CompletionEnd;
    /** For a refusal `code:outcome` of the response; otherwise `end`, or the code of the connection error. */
    outcome: string;
    /** Times by `performance.now()`, in milliseconds. */
    firstTokenAt: number | undefined;
    endedAt: number;
    /** Longest interval between two consecutive tokens. */
    longestGapMilliseconds: number;
    tokens: number;
};

const okStatus = 200;
const eventSeparator = "\n\n";

/** Creates the connection pool for all targets of a run, without timeouts; the caller destroys it after the run. */
export const createDispatcher = (): Agent => new Agent({ pipelining: 1, bodyTimeout: 0, headersTimeout: 0 });

const requestBody = (target: CompletionTarget, call: CompletionCall): string =>
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

const requestHeaders = (target: CompletionTarget): Record<string, string> => ({
    "content-type": "application/json",
    ...(target.kind === "entry" ? { authorization: `Bearer ${target.key}` } : {}),
});

type CompletionChunk = { text?: string; choices?: { text: string; }[]; };

/** Text of the token in one event; `undefined` if the event carries no token. */
const tokenText = (event: string): string | undefined => {
    if (!event.startsWith("data: {")) {
        return undefined;
    }
    const chunk = JSON.parse(event.slice("data: ".length)) as CompletionChunk;
    const text = chunk.text ?? chunk.choices?.[0]?.text;
    return text === "" ? undefined : text;
};

/** Parses one event stream and records the arrival times of its tokens. */
class ResponseReader {
    firstTokenAt: number | undefined;
    longestGapMilliseconds = 0;
    tokens = 0;
    text = "";
    isDone = false;
    hasError = false;
    private lastTokenAt = 0;
    private buffered = "";
    private readonly onToken: (now: number) => void;

    constructor(onToken: (now: number) => void) {
        this.onToken = onToken;
    }

    receive(data: string): void {
        const events = (this.buffered + data).split(eventSeparator);
        this.buffered = events.pop() ?? "";
        const now = performance.now();
        for (const event of events) {
            this.receiveEvent(event, now);
        }
    }

    private receiveEvent(event: string, now: number): void {
        this.isDone ||= event === "data: [DONE]";
        this.hasError ||= event.startsWith("event: error");
        const text = tokenText(event);
        if (text === undefined) {
            return;
        }
        if (this.firstTokenAt === undefined) {
            this.firstTokenAt = now;
        }
        else {
            this.longestGapMilliseconds = Math.max(this.longestGapMilliseconds, now - this.lastTokenAt);
        }
        this.lastTokenAt = now;
        this.tokens += 1;
        this.onToken(now);
        this.text += text;
    }
}

const classifyEnd = (reader: ResponseReader, call: CompletionCall): CompletionEnd => {
    if (reader.hasError || !reader.isDone) {
        return "broken";
    }
    return reader.text === expectedAnswer(call.prompt, call.maximumTokens) ? "whole" : "wrong";
};

/** Runs one completion to its end and reports the arrival time of each token to `onToken`; never rejects. */
export const requestCompletion = async (
    target: CompletionTarget,
    call: CompletionCall,
    dispatcher: Dispatcher,
    signal: AbortSignal,
    onToken: (now: number) => void,
): Promise<CompletionResult> => {
    const reader = new ResponseReader(onToken);
    const result = (end: CompletionEnd, outcome: string): CompletionResult => ({
        end,
        outcome,
        firstTokenAt: reader.firstTokenAt,
        endedAt: performance.now(),
        longestGapMilliseconds: reader.longestGapMilliseconds,
        tokens: reader.tokens,
    });
    try {
        const response = await request(`http://${target.address}/v1/completions`, {
            method: "POST",
            headers: requestHeaders(target),
            body: requestBody(target, call),
            dispatcher,
            signal,
        });
        if (response.statusCode !== okStatus) {
            const { error } = await response.body.json() as { error?: { code?: string; }; };
            const outcome = String(response.headers[outcomeHeader] ?? "no-outcome");
            return result("refused", `${error?.code ?? response.statusCode}:${outcome}`);
        }
        response.body.setEncoding("utf8");
        for await (const data of response.body) {
            reader.receive(data as string);
        }
        const end = classifyEnd(reader, call);
        return result(end, end);
    }
    catch (error) {
        return result("broken", (error as { code?: string; }).code ?? "error");
    }
};
