/**
 * Requests, the attempts made for them, and the client that runs an attempt on an upstream.
 *
 * A request is what the caller sent. An attempt is one try of it on one upstream, with an identifier of its own that
 * the agent echoes, so that a late or misrouted response is never attributed to another attempt. The transport layer
 * implements `AttemptClient` over HTTP.
 */
import type { Result } from "neverthrow";
import type { Refusal } from "../state/errors.js";
import type { HostRecord, LoadReport, Priority } from "../state/types.js";

/** A validated completion request of a client account. */
export type ModelRequest = {
    requestId: string;
    clientAccount: string;
    priority: Priority;
    model: string;
    prompt: string;
    maximumTokens: number;
    /** Hash of the request's content, equal for a resend; identifies the request in the quarantine. */
    digest: string;
};

/** A call to a plain service. */
export type ServiceRequest = {
    requestId: string;
    clientAccount: string;
    priority: Priority;
    service: string;
    method: string;
    /** Path and query after `/services/<service>`, with its leading "/". */
    path: string;
    contentType?: string;
    body: string;
    digest: string;
    /** Present if and only if the call is non-idempotent. */
    idempotencyKey?: string;
};

export type ModelAttempt = ModelRequest & {
    attempt: string;
    /** Index of the first token that the caller has not received. */
    resumeFrom: number;
    timeoutMilliseconds: number;
    /** The request was in flight when an upstream crashed, so the agent runs it without other requests beside it. */
    alone?: boolean;
};

export type ServiceAttempt = ServiceRequest & { attempt: string; timeoutMilliseconds: number; };

export type ServiceResponse = { status: number; contentType?: string; body: string; };

/** End of a complete response; `tokens` counts from the response's first token, also after a resume. */
export type ModelCompletion = { tokens: number; finishReason: string; load: LoadReport; };

/**
 * Why an attempt gave no complete response.
 *
 * - `refused`: the agent states that the attempt did not run and will not run.
 * - `unreachable`: nothing of the attempt was sent.
 * - `moved`: the agent stopped the attempt, and the rest is to be resumed on another upstream.
 * - `crashed`: the upstream crashed while the attempt was in flight.
 * - `cut`: the response broke off, and the attempt may have run.
 */
export type AttemptFailure =
    | { kind: "refused"; refusal: Refusal; load?: LoadReport; }
    | { kind: "unreachable"; reason: string; }
    | { kind: "moved"; load?: LoadReport; }
    | { kind: "crashed"; reason: string; }
    | { kind: "cut"; reason: string; };

/** Receives the tokens of a response in order; `index` counts from 0. */
export type TokenHandler = (index: number, text: string) => void;

export type AttemptClient = {
    runModel: (
        upstream: HostRecord,
        attempt: ModelAttempt,
        onToken: TokenHandler,
        signal: AbortSignal,
    ) => Promise<Result<ModelCompletion, AttemptFailure>>;
    runService: (
        upstream: HostRecord,
        attempt: ServiceAttempt,
        signal: AbortSignal,
    ) => Promise<Result<{ answer: ServiceResponse; load: LoadReport; }, AttemptFailure>>;
};
