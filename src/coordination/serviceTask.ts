/**
 * Serves one call to a plain service at an entry.
 *
 * A non-idempotent call may be sent to a second agent with the same key, because the claim in the log lets only one
 * agent run it; the others answer with the outcome that the log records. An idempotent call is simply repeated.
 */
import { err, ok, type Result } from "neverthrow";
import { type Refusal, refusal } from "../state/errors.js";
import type { ServiceRequest, ServiceResponse } from "./attempts.js";
import { describeAttempt, type TaskDependencies, type TaskLimits } from "./completionTask.js";
import { trackOutcome } from "./requestOutcome.js";
import { createRetryPolicy, shouldAvoidHost } from "./retryPolicy.js";

export const runServiceCall = async (
    dependencies: TaskDependencies,
    request: ServiceRequest,
    limits: TaskLimits,
    signal: AbortSignal,
): Promise<Result<ServiceResponse, Refusal>> => {
    const outcome = trackOutcome();
    const retries = createRetryPolicy(limits.maximumRetries, dependencies.takeRetry);
    const avoidedHosts = new Set<string>();
    const unknownOutcomeRefusal = request.idempotencyKey === undefined
        ? refusal("interrupted", [request.service])
        : refusal("outcome-unknown", [request.idempotencyKey]);
    const finalRefusal = (): Refusal => outcome.conclude(request.service, unknownOutcomeRefusal);

    for (;;) {
        if (dependencies.clock.now() >= limits.deadline) {
            return err(outcome.mayHaveRun() ? finalRefusal() : refusal("deadline-passed"));
        }
        const choice = await dependencies.chooser.chooseForService(
            request,
            { avoidedHosts, receivedTokens: 0, deadline: limits.deadline },
            signal,
        );
        if (choice.isErr()) {
            return err(outcome.mayHaveRun() ? finalRefusal() : choice.error);
        }
        const { upstream, lostSignal, finish } = choice.value;
        const timeoutMilliseconds = limits.deadline - dependencies.clock.now();
        const attempt = { ...request, attempt: dependencies.newAttemptId(), timeoutMilliseconds };
        const result = await dependencies.attemptClient.runService(
            upstream,
            attempt,
            AbortSignal.any([signal, lostSignal]),
        );
        dependencies.onAttempt(describeAttempt(request, attempt.attempt, upstream.host, result));
        if (result.isOk()) {
            finish({ load: result.value.load });
            return ok(result.value.answer);
        }
        outcome.record(result.error);
        if (signal.aborted || dependencies.clock.now() >= limits.deadline) {
            // The caller is gone or the deadline has passed, which says nothing about the upstream.
            finish({});
            return err(finalRefusal());
        }
        finish({ failure: result.error });
        if (shouldAvoidHost(result.error)) {
            avoidedHosts.add(upstream.host);
        }
        if (!retries.mayRetry(result.error, false)) {
            return err(finalRefusal());
        }
    }
};
