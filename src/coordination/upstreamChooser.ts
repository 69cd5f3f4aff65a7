/**
 * What the tasks at an entry need from routing: an upstream for each attempt, or the refusal to pass on.
 */
import type { Result } from "neverthrow";
import type { Refusal } from "../state/errors.js";
import type { HostRecord, LoadReport } from "../state/types.js";
import type { AttemptFailure, ModelRequest, ServiceRequest } from "./attempts.js";

/** An upstream chosen for one attempt. */
export type ChosenUpstream = {
    upstream: HostRecord;
    /** Aborts when the upstream becomes unresponsive, so that the attempt is given up. */
    lostSignal: AbortSignal;
    /** Counts received tokens. */
    recordTokens: (tokens: number) => void;
    /** To be called exactly once, when the attempt has ended; without `failure` if the upstream is not the cause. */
    finish: (result: { failure?: AttemptFailure; load?: LoadReport; }) => void;
};

/** Constraints on the next attempt of a request. */
export type ChoiceOptions = {
    /** Hosts to skip while any other accepts work. */
    avoidedHosts: ReadonlySet<string>;
    /** Number of tokens that the caller already has; if there are any, the request is served before new ones. */
    receivedTokens: number;
    /** When the request must be answered, in milliseconds by the clock. */
    deadline: number;
};

/** Chooses the upstream for one attempt; queues the request while none has free capacity, until `signal` aborts. */
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
