/**
 * The task that serves one call to a plain service at an entry.
 *
 * A non-idempotent call may be sent to a second agent under the same key, because the claim on the log lets only one
 * agent run it; the others answer with what the winner knows. An idempotent call is simply repeated.
 */
import { err, ok, type Result } from "neverthrow";
import { type Refusal, refusal } from "../state/errors.js";
import type { ServiceAnswer, ServiceWork } from "./attempts.js";
import { describeAttempt, type TaskLimits, type TaskTools } from "./completionTask.js";
import { trackOutcome } from "./requestOutcome.js";
import { createRetryPolicy, shouldAvoid } from "./retryPolicy.js";

/** Runs `work` and gives the service's whole answer. */
export const runServiceCall = async (
    tools: TaskTools,
    work: ServiceWork,
    limits: TaskLimits,
    signal: AbortSignal,
): Promise<Result<ServiceAnswer, Refusal>> => {
    const outcome = trackOutcome();
    const retries = createRetryPolicy(limits.maximumRetries, tools.takeRetry);
    const avoided = new Set<string>();
    const whenUnknown = work.idempotencyKey === undefined
        ? refusal("interrupted", [work.service])
        : refusal("outcome-unknown", [work.idempotencyKey]);
    const unfinished = (): Refusal => outcome.conclude(work.service, whenUnknown);

    for (;;) {
        if (tools.clock.now() >= limits.deadline) {
            return err(outcome.mayHaveRun() ? unfinished() : refusal("deadline-passed"));
        }
        const choice = await tools.chooser.chooseForService(
            work,
            { avoided, received: 0, deadline: limits.deadline },
            signal,
        );
        if (choice.isErr()) {
            return err(outcome.mayHaveRun() ? unfinished() : choice.error);
        }
        const { upstream, lost, finish } = choice.value;
        const timeoutMilliseconds = limits.deadline - tools.clock.now();
        const attempt = { ...work, attempt: tools.newId(), timeoutMilliseconds };
        const ended = await tools.attempts.runService(upstream, attempt, AbortSignal.any([signal, lost]));
        tools.onAttempt(describeAttempt(work, attempt.attempt, upstream.host, ended));
        if (ended.isOk()) {
            finish({ load: ended.value.load });
            return ok(ended.value.answer);
        }
        outcome.record(ended.error);
        if (signal.aborted || tools.clock.now() >= limits.deadline) {
            // The attempt ended with its caller or its time, which says nothing about the upstream.
            finish({});
            return err(unfinished());
        }
        finish({ failure: ended.error });
        if (shouldAvoid(ended.error)) {
            avoided.add(upstream.host);
        }
        if (!retries.mayRetry(ended.error, false)) {
            return err(unfinished());
        }
    }
};
