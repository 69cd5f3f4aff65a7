/**
 * What every route for callers shares: who calls, until when the answer is due, and how a refusal is written.
 */
import type { Context } from "hono";
import type { ContentfulStatusCode } from "hono/utils/http-status";
import { err, ok, type Result } from "neverthrow";
import { createHash } from "node:crypto";
import type { TaskLimits } from "../coordination/completionTask.js";
import type { EntryTasks } from "../coordination/entryTasks.js";
import { errorBody, outcomeHeader, timeoutHeader } from "../protocol/callerProtocol.js";
import type { SettingsReader } from "../protocol/settingsReader.js";
import type { ClientAccountSettings } from "../protocol/settingsSchema.js";
import { type Refusal, refusal } from "../state/errors.js";
import { apiKeyDigest, bearerToken } from "./tokens.js";

export type CallerRouteDependencies = EntryTasks & {
    host: string;
    settings: SettingsReader;
    now: () => number;
    newId: () => string;
    /** Whether the entry is about to stop, so that its health check fails. */
    isStopping: () => boolean;
    onResponse: (event: ResponseEvent) => void;
};

/** One answered request, for logs and metrics. */
export type ResponseEvent = {
    requestId: string;
    clientAccount?: string;
    outcome: string;
    code?: string;
    startedAt: number;
    firstTokenAt?: number;
    tokens?: number;
};

/** An authenticated caller, with the settings of its account. */
export type Caller = { clientAccount: string; account: ClientAccountSettings; };

/** SHA-256 digest of `parts` in their order, in hexadecimal. */
export const digestOf = (...parts: string[]): string =>
    createHash("sha256").update(JSON.stringify(parts)).digest("hex");

/** Seconds after which a caller may come back to an entry that has not read its settings yet. */
const notReadyRetryAfterSeconds = 1;

/** Finds the client account that owns the API key of the request. */
export const authenticate = (
    context: Context,
    { host, settings }: CallerRouteDependencies,
): Result<Caller, Refusal> => {
    if (!settings.isReady()) {
        // Without settings every key is unknown, which says nothing about the caller.
        return err(refusal("not-ready", [host], notReadyRetryAfterSeconds));
    }
    const key = bearerToken(context.req.header("authorization"));
    const clientAccount = key === undefined ? undefined : settings.clientAccountOfKey(apiKeyDigest(key));
    const account = clientAccount === undefined ? undefined : settings.clientAccount(clientAccount);
    return clientAccount === undefined || account === undefined
        ? err(refusal("unauthenticated"))
        : ok({ clientAccount, account });
};

/** Writes `given` as the final answer. */
export const sendRefusal = (context: Context, error: Refusal): Response => {
    context.header(outcomeHeader, error.outcome);
    if (error.retryAfterSeconds !== undefined) {
        context.header("retry-after", String(error.retryAfterSeconds));
    }
    return context.json(errorBody(error) as object, error.status as ContentfulStatusCode);
};

/** The deadline of a request that came at `now`; the caller may only shorten the time from the settings. */
export const resolveTaskLimits = (
    context: Context,
    now: number,
    timeoutMilliseconds: number,
    maximumRetries: number,
): TaskLimits => {
    const requestedTimeout = Number(context.req.header(timeoutHeader));
    const timeout = requestedTimeout > 0 ? Math.min(requestedTimeout, timeoutMilliseconds) : timeoutMilliseconds;
    return { deadline: now + timeout, maximumRetries };
};
