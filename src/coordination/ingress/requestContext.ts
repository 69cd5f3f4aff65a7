/**
 * What the tasks of requests share: one caller's request, the way to answer it and the entry's common parts.
 */
import { type ErrorCode, type Refusal, refusal } from "../../state/errors.js";
import type { Envelope, IngressRoute } from "../../state/ingressTypes.js";
import type { Clock } from "../../state/types.js";
import type { Metrics } from "../metrics.js";
import type { RetryBudget } from "../retryBudget.js";
import type { IngressLog } from "./ingressLog.js";
import type { LostSending, SendToUpstream } from "./upstreamCaller.js";
import type { UpstreamHealth } from "./upstreamHealth.js";

/** The caller's side of one request; exactly one of `end`, `refuse` and `cut` closes it. */
export type AnswerSink = {
    begin: (status: number, fields: string[]) => void;
    write: (bytes: Buffer) => void;
    end: () => void;
    /** Only before `begin`. */
    refuse: (reason: Refusal) => void;
    /** Breaks the connection, so that what was sent can't look whole. */
    cut: () => void;
    hasBegun: () => boolean;
};

export type RequestContext = {
    envelope: Envelope;
    route: IngressRoute;
    service: string;
    clientAccount: string | undefined;
    priority: number;
    arrivedAt: number;
    /** When the caller stops waiting, by the steady clock. */
    patienceUntil: number;
    /** When a final answer is due: the caller's patience or the route's timeout, whichever ends first. */
    answerBy: number;
    send: SendToUpstream;
    sink: AnswerSink;
    /** Aborts when the caller is gone or the answer is overdue. */
    signal: AbortSignal;
    /** Aborts when the caller is gone. */
    callerGone: AbortSignal;
};

export type SharedParts = {
    clock: Clock;
    log: IngressLog;
    metrics: Metrics;
    health: UpstreamHealth;
    retryBudget: RetryBudget;
    random: () => number;
};

/** What became known of the sendings of one request so far. */
export type Sendings = {
    /** Upstreams that the request reached. */
    reached: Set<string>;
    /** Upstreams not to be tried again, reached or not. */
    avoided: Set<string>;
    /** Whether any sending may have run. */
    mayHaveRun: boolean;
};

export const noSendings = (): Sendings => ({ reached: new Set(), avoided: new Set(), mayHaveRun: false });

const millisecondsPerSecond = 1_000;

/** Notes a sending that gave no usable answer; `isNotThere`: the upstream itself can't be reached. */
export const recordLostSending = (
    { health, metrics, log }: SharedParts,
    requestId: string,
    upstreamId: string,
    lost: { kind: LostSending["kind"] | "failed"; reason: string; isNotThere: boolean; tookMilliseconds: number; },
): void => {
    const { kind, reason, isNotThere, tookMilliseconds } = lost;
    health.recordFailure(upstreamId, isNotThere, reason);
    metrics.count(`ingress_sendings_lost_total{kind="${kind}"}`);
    log.request(requestId, "sending lost", {
        upstream: upstreamId,
        kind,
        reason,
        afterMilliseconds: Math.round(tookMilliseconds),
    });
};

/** The code for a request that may have run and has no whole answer. */
export const lostAnswerCode = ({ signal, callerGone }: RequestContext): ErrorCode =>
    signal.aborted && !callerGone.aborted ? "no-answer-in-time" : "interrupted";

/** Ends a request without an upstream's answer, and says why in the log; a caller that has gone is owed none. */
export const fail = (
    { sink, envelope, route, service, arrivedAt, callerGone }: RequestContext,
    { clock, log, metrics }: SharedParts,
    code: ErrorCode,
    inputs: Record<string, unknown>,
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
        ...inputs,
    });
    if (sink.hasBegun()) {
        sink.cut();
    }
    else {
        sink.refuse(reason);
    }
};
