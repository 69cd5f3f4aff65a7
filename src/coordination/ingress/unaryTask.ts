/**
 * Runs one request of a plain service.
 *
 * What may not repeat is sent again only when nothing was sent or the upstream itself says that it has not run it. The
 * whole answer is read before the caller gets its first byte, so an answer that is cut costs a retry and not the caller.
 */
import type { KnownUpstream } from "./deploymentState.js";
import {
    type AttemptHistory,
    createAttemptHistory,
    failRequest,
    missingResponseCode,
    recordFailedAttempt,
    type RequestContext,
    type RequestDependencies,
} from "./requestContext.js";
import type { UnaryScheduler } from "./unaryScheduler.js";
import {
    type AttemptTimeouts,
    type FailedAttempt,
    findResponseFault,
    isUpstreamAbsent,
    readFullBody,
    type UpstreamResponse,
} from "./upstreamAttempt.js";

/** A repeatable request is taken elsewhere when an upstream is silent for this many objectives. */
const attemptTimeoutInObjectives = 1.5;
const minimumAttemptTimeoutMilliseconds = 400;
/** When to come back after a refusal for want of an upstream, with as much again at random to spread returns. */
const baseRetryAfterMilliseconds = 300;
const serverErrorStatus = 500;

type AttemptResult =
    | { kind: "final"; answer: UpstreamResponse; body: Buffer[]; }
    | FailedAttempt
    /** The upstream ran the request and answered with an error of its own. */
    | { kind: "failed"; answer: UpstreamResponse; body: Buffer[]; };

const classifyResponse = async (answer: UpstreamResponse, requestId: string): Promise<AttemptResult> => {
    const fault = findResponseFault(answer, requestId);
    if (fault !== undefined) {
        answer.close();
        return fault;
    }
    const body = await readFullBody(answer);
    if (body === undefined) {
        return { kind: "broken", reason: "the answer was cut" };
    }
    return { kind: answer.status >= serverErrorStatus ? "failed" : "final", answer, body };
};

export const createUnaryTask = (scheduler: UnaryScheduler, dependencies: RequestDependencies) => {
    const { clock, log, metrics, health, retryBudget, random } = dependencies;

    const attempt = async (context: RequestContext, upstream: KnownUpstream): Promise<AttemptResult> => {
        const {
            envelope,
            route,
            clientAccount,
            callerDeadlineAt: patienceUntil,
            responseDueAt: answerBy,
            send,
            signal,
        } = context;
        const left = answerBy - clock.now();
        const attemptTimeout = Math.max(
            minimumAttemptTimeoutMilliseconds,
            route.objectiveMilliseconds * attemptTimeoutInObjectives,
        );
        const wait = route.kind === "idempotent" ? Math.min(left, attemptTimeout) : left;
        const times: AttemptTimeouts = { headersMilliseconds: wait, idleMilliseconds: wait };
        const head = { patienceMilliseconds: patienceUntil - clock.now(), clientAccount, lastEventId: undefined };
        const answer = await send(upstream, head, times, signal);
        return answer.isErr() ? answer.error : classifyResponse(answer.value, envelope.requestId);
    };

    const deliver = (
        { sink, envelope, arrivedAt }: RequestContext,
        upstreamId: string,
        answer: UpstreamResponse,
        body: Buffer[],
    ): void => {
        sink.start(answer.status, answer.headers);
        body.forEach(sink.write);
        sink.end();
        const took = clock.now() - arrivedAt;
        metrics.observe("ingress_plain_answer", took);
        log.request(envelope.requestId, "answered", {
            upstream: upstreamId,
            status: answer.status,
            afterMilliseconds: Math.round(took),
        });
    };

    /** A sending counts against the budget once bytes of the one before may have arrived somewhere. */
    const mayRetry = (
        { route }: RequestContext,
        { reached }: AttemptHistory,
        previousFailure: FailedAttempt["kind"] | undefined,
    ): boolean =>
        reached.size < route.attempts
        && (previousFailure === undefined || previousFailure === "unreachable" || retryBudget.takeRetry());

    return async (context: RequestContext): Promise<void> => {
        const { route, service, envelope, signal } = context;
        const attempts = createAttemptHistory();
        let lastFailure: { verdict: Extract<AttemptResult, { kind: "failed"; }>; upstreamId: string; } | undefined;
        let lastReason = "no upstream takes work";
        let lastKind: FailedAttempt["kind"] | undefined;
        retryBudget.recordRequest();
        while (!signal.aborted) {
            const reservation = scheduler.reserve(service, attempts.excluded);
            if (reservation === undefined || !mayRetry(context, attempts, lastKind)) {
                reservation?.release();
                break;
            }
            const { upstream, release } = reservation;
            const sentAt = clock.now();
            const result = await attempt(context, upstream);
            release();
            const took = clock.now() - sentAt;
            attempts.excluded.add(upstream.id);
            const isUnreachable = result.kind !== "final" && result.kind !== "failed" && isUpstreamAbsent(result);
            if (!isUnreachable) {
                attempts.reached.add(upstream.id);
            }
            if (result.kind === "final") {
                health.recordSuccess(upstream.id, took);
                deliver(context, upstream.id, result.answer, result.body);
                return;
            }
            const reason = result.kind === "failed" ? `status ${result.answer.status}` : result.reason;
            if (!signal.aborted) {
                const failedAttempt = {
                    kind: result.kind,
                    reason,
                    isUnreachable: isUnreachable,
                    durationMilliseconds: took,
                };
                recordFailedAttempt(dependencies, envelope.requestId, upstream.id, failedAttempt);
            }
            lastReason = reason;
            lastKind = result.kind === "failed" ? "broken" : result.kind;
            lastFailure = result.kind === "failed" ? { verdict: result, upstreamId: upstream.id } : lastFailure;
            attempts.mayHaveRun ||= result.kind === "broken" || result.kind === "failed";
            if (attempts.mayHaveRun && route.kind !== "idempotent") {
                break;
            }
        }
        if (lastFailure !== undefined && !signal.aborted) {
            const { verdict: result, upstreamId } = lastFailure;
            deliver(context, upstreamId, result.answer, result.body);
        }
        else if (attempts.mayHaveRun || signal.aborted && attempts.reached.size > 0) {
            failRequest(context, dependencies, missingResponseCode(context), {
                reason: lastReason,
                reached: [...attempts.reached],
            });
        }
        else {
            const details = { reason: lastReason, reached: [...attempts.reached], avoided: [...attempts.excluded] };
            failRequest(context, dependencies, "no-upstream", details, baseRetryAfterMilliseconds * (1 + random()));
        }
    };
};
