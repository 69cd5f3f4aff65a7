/**
 * What the tasks at the entry need from routing: an upstream for each attempt, or the refusal to pass on.
 */
import type { Result } from "neverthrow";
import type { Refusal } from "../state/errors.js";
import type { HostRecord, LoadReport } from "../state/types.js";
import type { AttemptFailure, ModelRequest, ServiceRequest } from "./attempts.js";

/** An upstream chosen for one attempt. */
export type ChosenUpstream = {
    upstream: HostRecord;
    /** Aborts when the upstream falls silent, so that the attempt is given up. */
    lostSignal: AbortSignal;
    /** Counts `tokens` received tokens. */
    recordTokens: (tokens: number) => void;
    /** Called exactly once, when the attempt has ended; a failure that is not the upstream's is left out. */
    finish: (result: { failure?: AttemptFailure; load?: LoadReport; }) => void;
};

/** What the earlier attempts of a request mean for its next one. */
export type ChoiceOptions = {
    /** Hosts to pass over while any other takes work. */
    avoidedHosts: ReadonlySet<string>;
    /** Number of tokens that the caller already has; such a request goes before new ones. */
    receivedTokens: number;
    /** When the request must have its answer, by the clock. */
    deadline: number;
};

/** Chooses for one attempt; waits in the queue while no upstream has a free place, until `signal` aborts. */
export type UpstreamChooser = {
    chooseForModel: (
        request: ModelRequest,
        options: ChoiceOptions,
        signal: AbortSignal,
    ) => Promise<Result<ChosenUpstream, Refusal>>;
    chooseForService: (
        request: ServiceRequest,
        options: ChoiceOptions,
        signal: AbortSignal,
    ) => Promise<Result<ChosenUpstream, Refusal>>;
};
