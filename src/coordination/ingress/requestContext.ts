/**
 * What the tasks of requests share: one caller's request, the way to answer it and the entry's common parts.
 */
import { type ErrorCode, type Refusal, refusal } from "../../state/errors.js";
import type { Envelope, IngressRoute } from "../../state/ingressTypes.js";
import type { Clock } from "../../state/types.js";
import type { Metrics } from "../metrics.js";
import type { RetryBudget } from "../retryBudget.js";
import type { IngressLog } from "./ingressLog.js";
import type { FailedAttempt, SendToUpstream } from "./upstreamAttempt.js";
import type { UpstreamHealth } from "./upstreamHealth.js";

/** The caller's side of one request; exactly one of `end`, `refuse` and `cut` closes it. */
export type ResponseSink = {
    start: (status: number, headers: string[]) => void;
    write: (bytes: Buffer) => void;
    end: () => void;
    /** Only before `begin`. */
    refuse: (refusal: Refusal) => void;
    /** Breaks the connection, so that what was sent can't look whole. */
    abort: () => void;
    hasStarted: () => boolean;
};

export type RequestContext = {
    envelope: Envelope;
    route: IngressRoute;
    service: string;
    clientAccount: string | undefined;
    priority: number;
    arrivedAt: number;
    /** When the caller stops waiting, by the steady clock. */
    callerDeadlineAt: number;
    /** When a final answer is due: the caller's patience or the route's timeout, whichever ends first. */
    responseDueAt: number;
    send: SendToUpstream;
    sink: ResponseSink;
    /** Aborts when the caller is gone or the answer is overdue. */
    signal: AbortSignal;
    /** Aborts when the caller is gone. */
    callerGone: AbortSignal;
};

export type RequestDependencies = {
    clock: Clock;
    log: IngressLog;
    metrics: Metrics;
    health: UpstreamHealth;
    retryBudget: RetryBudget;
    random: () => number;
};

/** What became known of the sendings of one request so far. */
export type AttemptHistory = {
    /** Upstreams that the request reached. */
    reached: Set<string>;
    /** Upstreams not to be tried again, reached or not. */
    excluded: Set<string>;
    /** Whether any sending may have run. */
    mayHaveRun: boolean;
};

export const createAttemptHistory = (): AttemptHistory => ({
    reached: new Set(),
    excluded: new Set(),
    mayHaveRun: false,
});

const millisecondsPerSecond = 1_000;

/** Notes a sending that gave no usable answer; `isNotThere`: the upstream itself can't be reached. */
export const recordFailedAttempt = (
    { health, metrics, log }: RequestDependencies,
    requestId: string,
    upstreamId: string,
    failedAttempt: {
        kind: FailedAttempt["kind"] | "failed";
        reason: string;
        isUnreachable: boolean;
        durationMilliseconds: number;
    },
): void => {
    const { kind, reason, isUnreachable: isUnreachable, durationMilliseconds: durationMilliseconds } = failedAttempt;
    health.recordFailure(upstreamId, isUnreachable, reason);
    metrics.count(`ingress_sendings_lost_total{kind="${kind}"}`);
    log.request(requestId, "sending lost", {
        upstream: upstreamId,
        kind,
        reason,
        afterMilliseconds: Math.round(durationMilliseconds),
    });
};

/** The code for a request that may have run and has no whole answer. */
export const missingResponseCode = ({ signal, callerGone }: RequestContext): ErrorCode =>
    signal.aborted && !callerGone.aborted ? "no-answer-in-time" : "interrupted";

/** Ends a request without an upstream's answer, and says why in the log; a caller that has gone is owed none. */
export const failRequest = (
    { sink, envelope, route, service, arrivedAt, callerGone }: RequestContext,
    { clock, log, metrics }: RequestDependencies,
    code: ErrorCode,
    details: Record<string, unknown>,
    retryAfterMilliseconds?: number,
): void => {
    if (callerGone.aborted) {
        return;
    }
    const retryAfterSeconds = retryAfterMilliseconds === undefined
        ? undefined
        : Math.round(retryAfterMilliseconds) / millisecondsPerSecond;
    const reason = refusal(code, [service], retryAfterSeconds);
    metrics.count(`ingress_failures_total{code="${code}"}`);
    log.failure(envelope.requestId, reason.outcome === "not-run" ? "refused" : "failed", {
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
        sink.refuse(reason);
    }
};
