/**
 * One request in a simulated model engine and the event stream that it writes to its caller.
 *
 * Events are written directly to the Node.js response, with one write per token and no web stream in between.
 */
import type { ServerResponse } from "node:http";
import { createTokenGenerator } from "./tokens.js";

/** Request priorities, highest first. */
export const priorities = ["interactive", "standard", "batch"] as const;

export type Priority = (typeof priorities)[number];

/** Body of `POST /v1/completions`. */
export type CompletionRequest = {
    request_id: string;
    prompt: string;
    max_tokens: number;
    priority?: Priority;
    /** Index of the first token to generate. */
    resume_from?: number;
};

export class Sequence {
    readonly id: string;
    readonly prompt: string;
    readonly priority: Priority;
    readonly maxTokens: number;
    /** Index of the next token. */
    nextIndex: number;
    private readonly tokenAt: (index: number) => string;
    private readonly response: ServerResponse;
    private readonly eventPrefix: string;

    constructor(request: CompletionRequest, response: ServerResponse) {
        this.id = request.request_id;
        this.prompt = request.prompt;
        this.priority = request.priority ?? "standard";
        this.maxTokens = request.max_tokens;
        this.nextIndex = request.resume_from ?? 0;
        this.tokenAt = createTokenGenerator(request.prompt);
        this.response = response;
        this.eventPrefix = `data: {"id":${JSON.stringify(this.id)},"index":`;
    }

    get finished(): boolean {
        return this.nextIndex >= this.maxTokens;
    }

    /** Generates the next token and returns its server-sent event. */
    generateEvent(): string {
        const index = this.nextIndex;
        this.nextIndex += 1;
        return `${this.eventPrefix}${index},"text":${JSON.stringify(this.tokenAt(index))}}\n\n`;
    }

    write(event: string): void {
        this.response.write(event);
    }

    /** Ends a complete answer with the finish reason and the end marker. */
    end(): void {
        this.response.end(`${this.eventPrefix}${this.maxTokens},"finish_reason":"stop"}\n\ndata: [DONE]\n\n`);
    }

    /** Closes the connection without the closing events. */
    abort(): void {
        this.response.socket?.destroySoon();
    }
}
