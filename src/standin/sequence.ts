/**
 * One request inside a stand-in engine and the event stream that it writes to its caller.
 *
 * Chunks go straight to the node response: one write per token and no web stream in between.
 */
import type { ServerResponse } from "node:http";
import { createTokenGenerator } from "./tokens.js";

/** Engine priorities, most urgent first. */
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

    /** Generates the next token and gives the event to write. */
    generateEvent(): string {
        const index = this.nextIndex;
        this.nextIndex += 1;
        return `${this.eventPrefix}${index},"text":${JSON.stringify(this.tokenAt(index))}}\n\n`;
    }

    write(event: string): void {
        this.response.write(event);
    }

    /** Ends a whole answer with its closing events. */
    end(): void {
        this.response.end(`${this.eventPrefix}${this.maxTokens},"finish_reason":"stop"}\n\ndata: [DONE]\n\n`);
    }

    /** Cuts the connection without the closing events. */
    abort(): void {
        this.response.socket?.destroySoon();
    }
}
