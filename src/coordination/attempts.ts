/**
 * What a task at the entry needs to run one attempt of a request on one upstream.
 *
 * A request is what the caller sent; an attempt is one try of it on one upstream, under an identifier of its own that
 * the agent echoes, so that a late or crossed answer is never taken for another attempt's. Transport implements
 * `AttemptClient` over HTTP.
 */
import type { Result } from "neverthrow";
import type { Refusal } from "../state/errors.js";
import type { HostRecord, LoadReport, Priority } from "../state/types.js";

/** A completion request, checked and bound to a client account. */
export type ModelRequest = {
    requestId: string;
    clientAccount: string;
    priority: Priority;
    model: string;
    prompt: string;
    maximumTokens: number;
    /** Hash of what the request asks for, equal for a resend; names it in the quarantine. */
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
    /** Present exactly when the call is non-idempotent. */
    idempotencyKey?: string;
};

export type ModelAttempt = ModelRequest & {
    attempt: string;
    /** Index of the first token that the caller still lacks. */
    resumeFrom: number;
    timeoutMilliseconds: number;
    /** The request was in flight when an upstream crashed, so the agent runs it with nothing beside it. */
    alone?: boolean;
};

export type ServiceAttempt = ServiceRequest & { attempt: string; timeoutMilliseconds: number; };

/** The whole answer of a plain service. */
export type ServiceResponse = { status: number; contentType?: string; body: string; };

/** How a model attempt ended well; `tokens` counts from the answer's first token, also after a resume. */
export type ModelCompletion = { tokens: number; finishReason: string; load: LoadReport; };

/**
 * Why an attempt gave no whole answer.
 *
 * - `refused`: the agent says that the attempt did not run and will not run.
 * - `unreachable`: nothing of the attempt was sent.
 * - `moved`: the agent stopped it, and the rest is to be resumed on another upstream.
 * - `crashed`: the upstream crashed while the attempt was in flight.
 * - `cut`: the answer stopped, and the attempt may have run.
 */
export type AttemptFailure =
    | { kind: "refused"; refusal: Refusal; load?: LoadReport; }
    | { kind: "unreachable"; reason: string; }
    | { kind: "moved"; load?: LoadReport; }
    | { kind: "crashed"; reason: string; }
    | { kind: "cut"; reason: string; };

/** Takes the tokens of an answer in order; `index` counts from 0. */
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
