/**
 * What an agent needs from the one upstream beside it: a rank of a model engine, or a plain service.
 *
 * Transport implements both over HTTP. Each failure says how far the call got, since that decides what an entry may do.
 */
import type { Result } from "neverthrow";
import type { ModelAttempt, ServiceAttempt, ServiceResponse, TokenHandler } from "./attempts.js";

/**
 * How a call to an upstream failed: `unreachable` and `refused` mean that nothing ran; `crashed` that the connection
 * broke while the call was in flight; `cut` that the answer ended early or the time was up.
 */
export type UpstreamFailure = { kind: "unreachable" | "refused" | "crashed" | "cut"; reason: string; };

/** What a model engine reports of itself; it comes with a lag. */
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
    /** Streams the tokens from `attempt.resumeFrom` on; `onIncarnation` names the engine's incarnation first. */
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
