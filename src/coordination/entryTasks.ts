/**
 * Runs the requests of an entry within the rate limits of their client accounts.
 */
import { err, type Result } from "neverthrow";
import { type Refusal, refusal } from "../state/errors.js";
import type { AccountRateLimiter, RateLimitGrant } from "./accountRateLimiter.js";
import type { ModelCompletion, ModelRequest, ServiceRequest, ServiceResponse } from "./attempts.js";
import { runCompletion, type TaskDependencies, type TaskLimits } from "./completionTask.js";
import type { RetryBudget } from "./retryBudget.js";
import { runServiceCall } from "./serviceTask.js";

export type EntryTasks = {
    /** Runs `request` and passes each token to `onToken` exactly once and in order. */
    complete: (
        request: ModelRequest,
        limits: TaskLimits,
        onToken: (text: string) => void,
        signal: AbortSignal,
    ) => Promise<Result<ModelCompletion, Refusal>>;
    callService: (
        request: ServiceRequest,
        limits: TaskLimits,
        signal: AbortSignal,
    ) => Promise<Result<ServiceResponse, Refusal>>;
};

type EntryTaskDependencies = {
    dependencies: Omit<TaskDependencies, "takeRetry">;
    rateLimiter: AccountRateLimiter;
    retryBudget: RetryBudget;
};

export const createEntryTasks = (
    { dependencies, rateLimiter, retryBudget }: EntryTaskDependencies,
): EntryTasks => {
    const taskDependencies: TaskDependencies = { ...dependencies, takeRetry: retryBudget.takeRetry };

    const admit = (clientAccount: string, tokens: number): Result<RateLimitGrant, Refusal> =>
        rateLimiter.admit(clientAccount, tokens).mapErr(({ retryAfterMilliseconds }) =>
            refusal("over-limit", [clientAccount], Math.max(1, Math.ceil(retryAfterMilliseconds / 1_000)))
        );

    return {
        complete: async (request, limits, onToken, signal) => {
            const grant = admit(request.clientAccount, request.maximumTokens);
            if (grant.isErr()) {
                return err(grant.error);
            }
            retryBudget.recordRequest();
            let generatedTokens = 0;
            const countToken = (text: string): void => {
                generatedTokens += 1;
                onToken(text);
            };
            const result = await runCompletion(taskDependencies, request, limits, countToken, signal);
            grant.value.refundUnusedTokens(generatedTokens);
            return result;
        },
        callService: async (request, limits, signal) => {
            const grant = admit(request.clientAccount, 0);
            if (grant.isErr()) {
                return err(grant.error);
            }
            retryBudget.recordRequest();
            return runServiceCall(taskDependencies, request, limits, signal);
        },
    };
};
