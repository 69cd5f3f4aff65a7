/**
 * The task that serves one completion request at an entry, from the first attempt to the final answer.
 *
 * Completions may be repeated, so a failed attempt is followed by another one, on another upstream and from the first
 * token that the caller lacks. The answer is whole exactly if its tokens came without a gap and the closing frame counts
 * as many; anything else ends in a refusal, never in an answer that looks whole.
 */
import { err, ok, type Result } from "neverthrow";
import { type Refusal, refusal } from "../state/errors.js";
import type { Clock } from "../state/types.js";
import type { AttemptClient, AttemptFailure, ModelAttempt, ModelEnd, ModelWork } from "./attempts.js";
import { trackOutcome } from "./requestOutcome.js";
import { createRetryPolicy, shouldAvoid } from "./retryPolicy.js";
import type { UpstreamChooser } from "./upstreamChooser.js";

export type TaskTools = {
    chooser: UpstreamChooser;
    attempts: AttemptClient;
    clock: Clock;
    newId: () => string;
    /** Takes one retry from the budget, or says that there is none left. */
    takeRetry: () => boolean;
    onAttempt: (event: AttemptEvent) => void;
};

/** One ended attempt, for logs and metrics. */
export type AttemptEvent = {
    requestId: string;
    clientAccount: string;
    attempt: string;
    /** Host of the upstream. */
    upstream: string;
    outcome: "complete" | AttemptFailure["kind"];
};

export type TaskLimits = {
    /** When the caller must have its final answer, by the clock. */
    deadline: number;
    maximumRetries: number;
};

/** Runs `work` and passes each token on once and in order. */
export const runCompletion = async (
    tools: TaskTools,
    work: ModelWork,
    limits: TaskLimits,
    onToken: (text: string) => void,
    signal: AbortSignal,
): Promise<Result<ModelEnd, Refusal>> => {
    const outcome = trackOutcome();
    const retries = createRetryPolicy(limits.maximumRetries, tools.takeRetry);
    const avoided = new Set<string>();
    let received = 0;
    let alone = false;
    const interrupted = (): Refusal => outcome.conclude(work.model, refusal("interrupted", [work.model]));

    for (;;) {
        if (tools.clock.now() >= limits.deadline) {
            return err(outcome.mayHaveRun() ? interrupted() : refusal("deadline-passed"));
        }
        const choice = await tools.chooser.chooseForModel(
            work,
            { avoided, received, deadline: limits.deadline },
            signal,
        );
        if (choice.isErr()) {
            return err(outcome.mayHaveRun() ? interrupted() : choice.error);
        }
        const { upstream, progress, finish } = choice.value;
        const resumeFrom = received;
        const timeoutMilliseconds = limits.deadline - tools.clock.now();
        const attempt: ModelAttempt = {
            ...work,
            attempt: tools.newId(),
            resumeFrom,
            timeoutMilliseconds,
            ...(alone ? { alone } : {}),
        };
        const takeToken = (index: number, text: string): void => {
            // A repeated or early index is not the next token of this answer.
            if (index === received && !signal.aborted) {
                received++;
                progress(1);
                onToken(text);
            }
        };
        const ended: Result<ModelEnd, AttemptFailure> =
            (await tools.attempts.runModel(upstream, attempt, takeToken, signal)).andThen(end =>
                checkWhole(end, received)
            );
        tools.onAttempt(describeAttempt(work, attempt.attempt, upstream.host, ended));
        if (ended.isOk()) {
            finish({ load: ended.value.load });
            return ok(ended.value);
        }
        outcome.record(ended.error);
        if (signal.aborted || tools.clock.now() >= limits.deadline) {
            // The attempt ended with its caller or its time, which says nothing about the upstream.
            finish({});
            return err(interrupted());
        }
        finish({ failure: ended.error });
        // The request may be what crashed the upstream, so it is not run beside others again.
        alone ||= ended.error.kind === "crashed";
        if (shouldAvoid(ended.error)) {
            avoided.add(upstream.host);
        }
        if (!retries.mayRetry(ended.error, received > resumeFrom)) {
            return err(interrupted());
        }
    }
};

const checkWhole = (end: ModelEnd, received: number): Result<ModelEnd, AttemptFailure> =>
    end.tokens === received
        ? ok(end)
        : err({ kind: "cut", reason: `the answer has ${received} of ${end.tokens} tokens` });

/** The event for one ended attempt. */
export const describeAttempt = (
    work: { requestId: string; clientAccount: string; },
    attempt: string,
    upstream: string,
    ended: Result<unknown, AttemptFailure>,
): AttemptEvent => ({
    requestId: work.requestId,
    clientAccount: work.clientAccount,
    attempt,
    upstream,
    outcome: ended.isOk() ? "complete" : ended.error.kind,
});
