/**
 * What the rest of an agent sees of claims: the request for a key, what comes of it, and the keeper that decides.
 */
import type { Result } from "neverthrow";
import type { StoredAnswer } from "../state/claimStateMachine.js";
import type { Refusal } from "../state/errors.js";

export type ClaimRequest = {
    key: string;
    /** Hash of what the request asks for. */
    digest: string;
    /** By the clock: an attempt that is not settled by then never runs. */
    deadline: number;
};

/** The right to run an attempt once; exactly one of its functions is called when the run has ended. */
export type RunPermit = {
    /** The service gave its whole answer. */
    complete: (answer: StoredAnswer) => void;
    /** The attempt may have run, and its answer is lost. */
    markAnswerLost: () => void;
    /** Nothing of the attempt reached the service, and nothing will. */
    release: () => void;
};

export type ClaimDecision = { kind: "run"; permit: RunPermit; } | { kind: "replay"; answer: StoredAnswer; };

/** What a dump shows of a keeper. */
export type ClaimRegistryStatus = {
    nextOffset: number;
    ready: boolean;
    keys: number;
    openAttempts: number;
    waitingEntries: number;
};

export type ClaimRegistry = {
    /**
     * Claims a key. Gives the permit to run, or the answer of the run that took place; fails with the refusal for the
     * caller, whose outcome is `unknown` if another attempt holds the key and its result does not show in time.
     */
    claim: (request: ClaimRequest, signal: AbortSignal) => Promise<Result<ClaimDecision, Refusal>>;
    status: () => ClaimRegistryStatus;
    /** Resolves when all results and releases are on the log, or after `milliseconds`. */
    waitUntilDrained: (milliseconds: number, signal: AbortSignal) => Promise<void>;
    /** Appends and reads until `signal` aborts. */
    run: (signal: AbortSignal) => Promise<void>;
};
