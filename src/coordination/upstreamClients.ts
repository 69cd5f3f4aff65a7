/**
 * Clients of the one upstream beside an agent: a rank of a model engine, or a plain service.
 *
 * The transport layer implements both over HTTP. Each failure tells how far the call got, since that decides whether an
 * entry may repeat it.
 */
import type { Result } from "neverthrow";
import type { ModelAttempt, ServiceAttempt, ServiceResponse, TokenHandler } from "./attempts.js";

/**
 * How a call to an upstream failed: `unreachable` and `refused` mean that nothing ran, `crashed` that the connection
 * broke while the call was in flight, `cut` that the response ended early or the call timed out.
 */
export type UpstreamFailure = { kind: "unreachable" | "refused" | "crashed" | "cut"; reason: string; };

/** Load report of a model engine, which lags behind its state. */
export type EngineLoad = {
    running: number;
    waiting: number;
    tokensPerSecond: number;
    stepMilliseconds: number;
    formation: number;
    incarnation: string;
    takenAt: number;
};

export type EngineClient = {
    /** Streams the tokens from `attempt.resumeFrom` on; first calls `onIncarnation` with the engine's incarnation. */
    generate: (
        attempt: ModelAttempt,
        onIncarnation: (incarnation: string) => void,
        onToken: TokenHandler,
        signal: AbortSignal,
    ) => Promise<Result<{ tokens: number; finishReason: string; }, UpstreamFailure>>;
    load: (signal: AbortSignal) => Promise<Result<EngineLoad, UpstreamFailure>>;
};

export type ServiceClient = {
    call: (attempt: ServiceAttempt, signal: AbortSignal) => Promise<Result<ServiceResponse, UpstreamFailure>>;
};
