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

/** Runs `work` and gives the service's whole answer. */
export const runServiceCall = async (
    tools: TaskTools,
    work: ServiceWork,
    limits: TaskLimits,
    signal: AbortSignal,
): Promise<Result<ServiceAnswer, Refusal>> => {
    const outcome = trackOutcome();
    const avoided = new Set<string>();
    const whenUnknown = work.idempotencyKey === undefined
        ? refusal("interrupted", [work.service])
        : refusal("outcome-unknown", [work.idempotencyKey]);
    const unfinished = (): Refusal => outcome.conclude(work.service, whenUnknown);

    for (let retries = 0;; retries++) {
        const timeoutMilliseconds = limits.deadline - tools.clock.now();
        if (timeoutMilliseconds <= 0) {
            return err(outcome.mayHaveRun() ? unfinished() : refusal("deadline-passed"));
        }
        const choice = tools.chooser.chooseForService(work, avoided);
        if (choice.isErr()) {
            return err(outcome.mayHaveRun() ? unfinished() : choice.error);
        }
        const { upstream, finish } = choice.value;
        const attempt = { ...work, attempt: tools.newId(), timeoutMilliseconds };
        const ended = await tools.attempts.runService(upstream, attempt, signal);
        tools.onAttempt(describeAttempt(work, attempt.attempt, upstream.host, ended));
        if (ended.isOk()) {
            finish({ load: ended.value.load });
            return ok(ended.value.answer);
        }
        finish({ failure: ended.error });
        outcome.record(ended.error);
        avoided.add(upstream.host);
        if (signal.aborted || retries >= limits.maximumRetries || !tools.takeRetry()) {
            return err(unfinished());
        }
    }
};
