/**
 * Interface of the claim registry towards the rest of an agent: the request for a key, the decision on it and the
 * registry that decides.
 */
import type { Result } from "neverthrow";
import type { StoredAnswer } from "../state/claimStateMachine.js";
import type { Refusal } from "../state/errors.js";

export type ClaimRequest = {
    key: string;
    /** Hash of the request's content. */
    digest: string;
    /** By the agent's clock; an attempt whose claim is not settled by then never runs. */
    deadline: number;
};

/** The right to run an attempt once; exactly one of its functions is called when the run has ended. */
export type RunPermit = {
    /** The service returned its complete answer. */
    complete: (answer: StoredAnswer) => void;
    /** The attempt may have run, but its answer is lost. */
    markAnswerLost: () => void;
    /** No part of the attempt reached the service, and none will. */
    release: () => void;
};

export type ClaimDecision = { kind: "run"; permit: RunPermit; } | { kind: "replay"; answer: StoredAnswer; };

/** The state of a registry, for the state dump. */
export type ClaimRegistryStatus = {
    nextOffset: number;
    ready: boolean;
    keys: number;
    openAttempts: number;
    waitingEntries: number;
};

export type ClaimRegistry = {
    /**
     * Claims a key. Returns the permit to run, or the answer of the earlier run. Fails with the refusal for the caller,
     * whose outcome is `unknown` if another attempt holds the key and its result does not appear in time.
     */
    claim: (request: ClaimRequest, signal: AbortSignal) => Promise<Result<ClaimDecision, Refusal>>;
    status: () => ClaimRegistryStatus;
    /** Resolves when all results and releases are in the log, or after `milliseconds`. */
    waitUntilDrained: (milliseconds: number, signal: AbortSignal) => Promise<void>;
    /** Appends and reads until `signal` aborts. */
    run: (signal: AbortSignal) => Promise<void>;
};
