/**
 * Types and helpers shared by the tasks that run requests: the caller's request, the sink for its response, the record
 * of attempts, and the dependencies of the entry. An entry is one instance of the ingress.
 */
import { type ErrorCode, type Refusal, refusal } from "../../state/errors.js";
import type { Envelope, IngressRoute } from "../../state/ingressTypes.js";
import type { Clock } from "../../state/types.js";
import type { Metrics } from "../metrics.js";
import type { RetryBudget } from "../retryBudget.js";
import type { HeldBytes } from "./bufferBudget.js";
import type { CrashEvidenceTable } from "./crashEvidenceTable.js";
import type { CrashObserver } from "./crashObserver.js";
import type { IngressLog } from "./ingressLog.js";
import { stopReason } from "./plannedStop.js";
import type { RequestCosts } from "./requestCosts.js";
import type { RequestTraits } from "./requestTraits.js";
import type { StreamCost } from "./streamCost.js";
import type { BodyFraming, FailedAttempt, SendToUpstream } from "./upstreamAttempt.js";
import type { UpstreamHealth } from "./upstreamHealth.js";
import type { UpstreamLimits } from "./upstreamLimits.js";

/** The response to one caller; exactly one of `end`, `refuse` and `abort` finishes it. */
export type ResponseSink = {
    /** `framing` is that of the upstream's response: an end that only its connection marks is passed on as such. */
    start: (status: number, headers: string[], framing: BodyFraming) => void;
    write: (bytes: Buffer) => void;
    /**
     * Resolves when the caller has read enough for more to be written, and also when `signal` aborts or the caller is
     * gone; undefined if more may be written at once. Absent if what is written isn't bounded this way.
     */
    whenWritable?: (signal: AbortSignal) => Promise<void> | undefined;
    /** States when the answer is due; a caller that has stopped reading is disconnected some time after it. */
    setDueAt?: (dueAt: number) => void;
    end: () => void;
    /** Sends an error response; valid only before `start`. */
    refuse: (refusal: Refusal) => void;
    /** Closes the connection, so that the caller can't take a truncated response for a complete one. */
    abort: () => void;
    hasStarted: () => boolean;
};

export type RequestContext = {
    envelope: Envelope;
    traits: RequestTraits;
    route: IngressRoute;
    service: string;
    clientAccount: string | undefined;
    priority: number;
    /** Rank among the streams of its service, 0 for the most urgent; undefined if their routes don't differ in priority. */
    urgency: number | undefined;
    /** Undefined unless it is a stream whose service is routed by cost. */
    cost?: StreamCost | undefined;
    arrivedAt: number;
    /** When the caller stops waiting, on the monotonic clock. */
    callerDeadlineAt: number;
    /**
     * When the response is due on the monotonic clock: the caller's deadline or the route's timeout, whichever is
     * earlier.
     */
    responseDueAt: number;
    send: SendToUpstream;
    sink: ResponseSink;
    /** Accounts for what is held for the request, without what was written to the sink; absent if not budgeted. */
    held?: HeldBytes | undefined;
    /** Aborts when the caller disconnects or the response is overdue. */
    signal: AbortSignal;
    /** Aborts when the caller disconnects. */
    callerGone: AbortSignal;
    /** Whether it ended without a whole answer although an upstream may have executed it. */
    hasFailed?: boolean;
};

export type RequestDependencies = {
    clock: Clock;
    log: IngressLog;
    metrics: Metrics;
    health: UpstreamHealth;
    retryBudget: RetryBudget;
    crashObserver: CrashObserver;
    crashEvidence: Pick<CrashEvidenceTable, "holdOf" | "isNearHold">;
    upstreamLimits: Pick<UpstreamLimits, "take">;
    random: () => number;
    /** Undefined if no service is routed by cost. */
    requestCosts?: Omit<RequestCosts, "describe"> | undefined;
};

/** The attempts of one request so far. */
export type AttemptHistory = {
    /** Upstreams that may have received the request. */
    reached: Set<string>;
    /** Upstreams that further attempts skip, reached or not. */
    excluded: Set<string>;
    /** Whether any upstream may have executed the request. */
    mayHaveRun: boolean;
};

export const createAttemptHistory = (): AttemptHistory => ({
    reached: new Set(),
    excluded: new Set(),
    mayHaveRun: false,
});

const millisecondsPerSecond = 1_000;

/**
 * Records an attempt without a usable response; `isUnreachable`: the upstream itself can't be reached at its address.
 */
export const recordFailedAttempt = (
    { health, metrics, log }: RequestDependencies,
    requestId: string,
    upstreamId: string,
    failedAttempt: {
        kind: FailedAttempt["kind"] | "failed";
        reason: string;
        isUnreachable: boolean;
        durationMilliseconds: number;
        isOwnDoing?: boolean | undefined;
        ending?: FailedAttempt["ending"] | undefined;
    },
): void => {
    const { kind, reason, isUnreachable, durationMilliseconds, isOwnDoing, ending } = failedAttempt;
    if (isOwnDoing !== true) {
        health.recordFailure(upstreamId, isUnreachable, reason);
    }
    metrics.count(`ingress_sendings_lost_total{kind="${kind}"}`);
    if (ending !== undefined) {
        metrics.count(`ingress_bodies_cut_total{framing="${ending.framing}",end="${ending.end}"}`);
    }
    log.request(requestId, "attempt failed", {
        upstream: upstreamId,
        kind,
        reason,
        ...ending,
        afterMilliseconds: Math.round(durationMilliseconds),
    });
};

/** The timers of the attempt and of the request end at the same time; either may fire first. */
const timerToleranceMilliseconds = 5;

/** The error code of a request that may have been executed but has no complete response. */
export const missingResponseCode = (
    { signal, callerGone, responseDueAt }: Pick<RequestContext, "signal" | "callerGone" | "responseDueAt">,
    now: number,
): ErrorCode =>
    signal.reason !== stopReason && !callerGone.aborted
        && (signal.aborted || now >= responseDueAt - timerToleranceMilliseconds)
        ? "no-answer-in-time"
        : "interrupted";

/**
 * Ends a request that has no response from an upstream and logs the cause. A response that has started is aborted; a
 * caller that has disconnected gets none.
 */
export const failRequest = (
    context: RequestContext,
    { clock, log, metrics }: RequestDependencies,
    code: ErrorCode,
    details: Record<string, unknown>,
    retryAfterMilliseconds?: number,
): void => {
    const { sink, envelope, route, service, arrivedAt, callerGone } = context;
    if (callerGone.aborted) {
        return;
    }
    const retryAfterSeconds = retryAfterMilliseconds === undefined
        ? undefined
        : Math.round(retryAfterMilliseconds) / millisecondsPerSecond;
    const error = refusal(code, [service], retryAfterSeconds);
    context.hasFailed = error.outcome !== "not-run";
    metrics.count(`ingress_failures_total{code="${code}"}`);
    log.failure(envelope.requestId, error.outcome === "not-run" ? "refused" : "failed", {
        code,
        route: route.name,
        service,
        afterMilliseconds: Math.round(clock.now() - arrivedAt),
        ...details,
    });
    if (sink.hasStarted()) {
        sink.abort();
    }
    else {
        sink.refuse(error);
    }
};
