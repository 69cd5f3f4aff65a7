/**
 * Serves one completion request at an entry, from the first attempt to the final response.
 *
 * Completions may be repeated, so a failed attempt is followed by another one, on another upstream and from the first
 * token that the caller lacks. A response is complete only if its tokens arrived without a gap and their number matches
 * the closing frame; anything else ends in a refusal, never in a response that looks complete.
 */
import { err, ok, type Result } from "neverthrow";
import { type Refusal, refusal } from "../state/errors.js";
import type { Clock } from "../state/types.js";
import type { AttemptClient, AttemptFailure, ModelAttempt, ModelCompletion, ModelRequest } from "./attempts.js";
import { trackOutcome } from "./requestOutcome.js";
import { createRetryPolicy, shouldAvoidHost } from "./retryPolicy.js";
import type { UpstreamChooser } from "./upstreamChooser.js";

export type TaskDependencies = {
    chooser: UpstreamChooser;
    attemptClient: AttemptClient;
    clock: Clock;
    newAttemptId: () => string;
    /** Takes one retry from the retry budget; false if none is left. */
    takeRetry: () => boolean;
    onAttempt: (event: AttemptEvent) => void;
};

/** A finished attempt, for logs and metrics. */
export type AttemptEvent = {
    requestId: string;
    clientAccount: string;
    attempt: string;
    /** Host of the upstream. */
    upstream: string;
    outcome: "complete" | AttemptFailure["kind"];
};

export type TaskLimits = {
    /** When the caller must have the final response, in milliseconds by the clock. */
    deadline: number;
    maximumRetries: number;
};

/** Runs `request` and passes each token to `onToken` exactly once and in order. */
export const runCompletion = async (
    dependencies: TaskDependencies,
    request: ModelRequest,
    limits: TaskLimits,
    onToken: (text: string) => void,
    signal: AbortSignal,
): Promise<Result<ModelCompletion, Refusal>> => {
    const outcome = trackOutcome();
    const retries = createRetryPolicy(limits.maximumRetries, dependencies.takeRetry);
    const avoidedHosts = new Set<string>();
    let receivedTokens = 0;
    let mustRunAlone = false;
    const interruptedRefusal = (): Refusal => outcome.conclude(request.model, refusal("interrupted", [request.model]));

    for (;;) {
        if (dependencies.clock.now() >= limits.deadline) {
            return err(outcome.mayHaveRun() ? interruptedRefusal() : refusal("deadline-passed"));
        }
        const choice = await dependencies.chooser.chooseForModel(
            request,
            { avoidedHosts, receivedTokens, deadline: limits.deadline },
            signal,
        );
        if (choice.isErr()) {
            return err(outcome.mayHaveRun() ? interruptedRefusal() : choice.error);
        }
        const { upstream, recordTokens, finish } = choice.value;
        const resumeFrom = receivedTokens;
        const timeoutMilliseconds = limits.deadline - dependencies.clock.now();
        const attempt: ModelAttempt = {
            ...request,
            attempt: dependencies.newAttemptId(),
            resumeFrom,
            timeoutMilliseconds,
            ...(mustRunAlone ? { alone: mustRunAlone } : {}),
        };
        const handleToken = (index: number, text: string): void => {
            // A duplicate token or one that arrived early is not the next one of this response.
            if (index === receivedTokens && !signal.aborted) {
                receivedTokens++;
                recordTokens(1);
                onToken(text);
            }
        };
        const result: Result<ModelCompletion, AttemptFailure> =
            (await dependencies.attemptClient.runModel(upstream, attempt, handleToken, signal)).andThen(completion =>
                checkTokenCount(completion, receivedTokens)
            );
        dependencies.onAttempt(describeAttempt(request, attempt.attempt, upstream.host, result));
        if (result.isOk()) {
            finish({ load: result.value.load });
            return ok(result.value);
        }
        outcome.record(result.error);
        if (signal.aborted || dependencies.clock.now() >= limits.deadline) {
            // The caller is gone or the deadline has passed, which says nothing about the upstream.
            finish({});
            return err(interruptedRefusal());
        }
        finish({ failure: result.error });
        // The request may have caused the crash, so it no longer runs beside other requests.
        mustRunAlone ||= result.error.kind === "crashed";
        if (shouldAvoidHost(result.error)) {
            avoidedHosts.add(upstream.host);
        }
        if (!retries.mayRetry(result.error, receivedTokens > resumeFrom)) {
            return err(interruptedRefusal());
        }
    }
};

const checkTokenCount = (
    completion: ModelCompletion,
    receivedTokens: number,
): Result<ModelCompletion, AttemptFailure> =>
    completion.tokens === receivedTokens
        ? ok(completion)
        : err({ kind: "cut", reason: `response truncated: received ${receivedTokens} of ${completion.tokens} tokens` });

export const describeAttempt = (
    request: { requestId: string; clientAccount: string; },
    attempt: string,
    upstream: string,
    result: Result<unknown, AttemptFailure>,
): AttemptEvent => ({
    requestId: request.requestId,
    clientAccount: request.clientAccount,
    attempt,
    upstream,
    outcome: result.isOk() ? "complete" : result.error.kind,
});
