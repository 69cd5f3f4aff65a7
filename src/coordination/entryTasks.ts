/**
 * The tasks of an entry's requests, run within the limits of their client accounts.
 */
import { err, type Result } from "neverthrow";
import { type Refusal, refusal } from "../state/errors.js";
import type { AccountLimits, Grant } from "./accountLimits.js";
import type { ModelEnd, ModelWork, ServiceAnswer, ServiceWork } from "./attempts.js";
import { runCompletion, type TaskLimits, type TaskTools } from "./completionTask.js";
import type { RetryBudget } from "./retryBudget.js";
import { runServiceCall } from "./serviceTask.js";

export type EntryTasks = {
    /** Runs `work` and passes each token on once and in order. */
    complete: (
        work: ModelWork,
        limits: TaskLimits,
        onToken: (text: string) => void,
        signal: AbortSignal,
    ) => Promise<Result<ModelEnd, Refusal>>;
    callService: (
        work: ServiceWork,
        limits: TaskLimits,
        signal: AbortSignal,
    ) => Promise<Result<ServiceAnswer, Refusal>>;
};

type EntryTaskTools = {
    tools: Omit<TaskTools, "takeRetry">;
    accounts: AccountLimits;
    budget: RetryBudget;
};

export const createEntryTasks = ({ tools, accounts, budget }: EntryTaskTools): EntryTasks => {
    const taskTools: TaskTools = { ...tools, takeRetry: budget.takeRetry };

    const admit = (clientAccount: string, tokens: number): Result<Grant, Refusal> =>
        accounts.admit(clientAccount, tokens).mapErr(({ retryAfterMilliseconds }) =>
            refusal("over-limit", [clientAccount], Math.max(1, Math.ceil(retryAfterMilliseconds / 1_000)))
        );

    return {
        complete: async (work, limits, onToken, signal) => {
            const grant = admit(work.clientAccount, work.maximumTokens);
            if (grant.isErr()) {
                return err(grant.error);
            }
            budget.recordRequest();
            let tokens = 0;
            const countToken = (text: string): void => {
                tokens += 1;
                onToken(text);
            };
            const ended = await runCompletion(taskTools, work, limits, countToken, signal);
            grant.value.settle(tokens);
            return ended;
        },
        callService: async (work, limits, signal) => {
            const grant = admit(work.clientAccount, 0);
            if (grant.isErr()) {
                return err(grant.error);
            }
            budget.recordRequest();
            return runServiceCall(taskTools, work, limits, signal);
        },
    };
};
