/**
 * Shared by all routes for callers: authentication, deadlines and the format of refusals.
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
    /** Whether the entry is shutting down; its health check then fails. */
    isStopping: () => boolean;
    onResponse: (event: ResponseEvent) => void;
};

/** A completed request, for logs and metrics. */
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

/** SHA-256 digest of the ordered `parts`, in hexadecimal. */
export const digestOf = (...parts: string[]): string =>
    createHash("sha256").update(JSON.stringify(parts)).digest("hex");

/** `Retry-After` of an entry that has not read its settings yet. */
const notReadyRetryAfterSeconds = 1;

/** Authenticates a request by its API key and returns the client account that owns the key. */
export const authenticate = (
    context: Context,
    { host, settings }: CallerRouteDependencies,
): Result<Caller, Refusal> => {
    if (!settings.isReady()) {
        // Without settings no key is known, so a 401 would blame a caller whose key may be valid.
        return err(refusal("not-ready", [host], notReadyRetryAfterSeconds));
    }
    const key = bearerToken(context.req.header("authorization"));
    const clientAccount = key === undefined ? undefined : settings.clientAccountOfKey(apiKeyDigest(key));
    const account = clientAccount === undefined ? undefined : settings.clientAccount(clientAccount);
    return clientAccount === undefined || account === undefined
        ? err(refusal("unauthenticated"))
        : ok({ clientAccount, account });
};

/** Responds with `error`. */
export const sendRefusal = (context: Context, error: Refusal): Response => {
    context.header(outcomeHeader, error.outcome);
    if (error.retryAfterSeconds !== undefined) {
        context.header("retry-after", String(error.retryAfterSeconds));
    }
    return context.json(errorBody(error) as object, error.status as ContentfulStatusCode);
};

/** Limits of a request received at `now`; the caller can shorten the configured timeout but not extend it. */
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
