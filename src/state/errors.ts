/**
 * Table of all error codes with their HTTP status, request outcome and message template.
 *
 * Each message names the object that failed. `refusal` builds the typed error that is passed between layers and is sent
 * to the caller as the body `{"error": {"code", "message", "outcome"}}`.
 */
import type { Outcome } from "./types.js";

type ErrorEntry = { status: number; outcome: Outcome; message: (...parameters: string[]) => string; };

const entry = (status: number, outcome: Outcome, message: (...parameters: string[]) => string): ErrorEntry => ({
    status,
    outcome,
    message,
});

const errorTable = {
    "malformed-body": entry(400, "not-run", reason => `request body is not valid: ${reason}`),
    "malformed-request": entry(400, "not-run", reason => `request is not valid HTTP: ${reason}`),
    "request-too-slow": entry(408, "not-run", () => "the request took too long to arrive"),
    "headers-too-large": entry(431, "not-run", () => "the request's header fields are too large"),
    "unauthenticated": entry(401, "not-run", () => "API key is missing or not known"),
    "unknown-model": entry(404, "not-run", model => `model "${model}" is not served here`),
    "unknown-service": entry(404, "not-run", service => `service "${service}" does not exist`),
    "unknown-route": entry(404, "not-run", (method, path) => `no route ${method} ${path}`),
    "body-too-large": entry(413, "not-run", limit => `request body exceeds ${limit} bytes`),
    "missing-idempotency-key": entry(
        428,
        "not-run",
        service => `service "${service}" needs the header Idempotency-Key with a UUID version 7`,
    ),
    "invalid-idempotency-key": entry(400, "not-run", key => `Idempotency-Key "${key}" is not a UUID version 7`),
    "expired-idempotency-key": entry(409, "not-run", key => `Idempotency-Key "${key}" is older than the claim window`),
    "future-idempotency-key": entry(400, "not-run", key => `Idempotency-Key "${key}" was made in the future`),
    "idempotency-key-reused": entry(422, "not-run", key => `Idempotency-Key "${key}" was used with another body`),
    "over-limit": entry(429, "not-run", account => `client account "${account}" is over its limit`),
    "quarantined": entry(422, "not-run", digest => `request ${digest} is quarantined: it crashed upstreams`),
    "crashes-upstreams": entry(
        503,
        "not-run",
        service => `the request is held back: it crashed upstreams of "${service}"`,
    ),
    "queue-full": entry(503, "not-run", target => `the queue for "${target}" is full`),
    "buffers-full": entry(503, "not-run", host => `host "${host}" holds as many bytes as its memory allows`),
    "cannot-start-in-time": entry(503, "not-run", target => `"${target}" cannot start the request before its deadline`),
    "outranked": entry(503, "not-run", target => `"${target}" has capacity for more urgent requests only`),
    "no-upstream": entry(503, "not-run", target => `"${target}" has no upstream that takes work`),
    "upstreams-limited": entry(
        503,
        "not-run",
        target => `every upstream of "${target}" is at the limit that it states`,
    ),
    "upstream-full": entry(503, "not-run", upstream => `upstream "${upstream}" is at its limit`),
    "upstream-draining": entry(503, "not-run", upstream => `upstream "${upstream}" is draining`),
    "log-unavailable": entry(503, "not-run", stream => `log stream "${stream}" is not available`),
    "stopping": entry(503, "not-run", host => `host "${host}" is stopping and can't finish the request in time`),
    "not-ready": entry(503, "not-run", host => `host "${host}" has not read its settings yet`),
    "deadline-passed": entry(504, "not-run", () => "the deadline passed before the request started"),
    "internal": entry(500, "unknown", host => `host "${host}" failed to answer the request`),
    "no-answer-in-time": entry(504, "unknown", target => `"${target}" gave no whole answer before the deadline`),
    "interrupted": entry(502, "unknown", target => `the answer of "${target}" was cut and could not be resumed`),
    "outcome-unknown": entry(502, "unknown", key => `whether the request with Idempotency-Key "${key}" ran is unknown`),
} satisfies Record<string, ErrorEntry>;

export type ErrorCode = keyof typeof errorTable;

/** All error codes, for the schemas of messages that carry one. */
export const errorCodes = Object.keys(errorTable) as ErrorCode[];

/** The final rejection or failure of one request. */
export type Refusal = {
    code: ErrorCode;
    message: string;
    status: number;
    outcome: Outcome;
    /** Delay after which the caller may retry, in seconds. */
    retryAfterSeconds?: number;
};

/** Builds the refusal for `code`; `parameters` fill the placeholders of its message. */
export const refusal = (code: ErrorCode, parameters: string[] = [], retryAfterSeconds?: number): Refusal => {
    const { status, outcome, message } = errorTable[code];
    return {
        code,
        message: message(...parameters),
        status,
        outcome,
        ...(retryAfterSeconds === undefined ? {} : { retryAfterSeconds }),
    };
};

/** Message of a thrown value, or its name if the message is empty, as with the error for several failed connections. */
export const reasonOf = (error: unknown): string =>
    error instanceof Error ? error.message || error.name : String(error);
