/**
 * Runs one non-streaming (unary) request.
 *
 * A non-idempotent request is retried only if nothing was sent, or if the upstream states that it has not executed it.
 * The complete response is read before the first byte goes to the caller, so that a response which is cut off can be
 * retried and never reaches the caller in part.
 */
import { err, ok, type Result } from "neverthrow";
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
import type { UnaryCost } from "./requestCosts.js";
import { suspectTraits } from "./requestTraits.js";
import type { ResponseTimes } from "./responseTimes.js";
import type { UnaryReservation, UnaryScheduler } from "./unaryScheduler.js";
import {
    type AttemptTimeouts,
    type FailedAttempt,
    findResponseFault,
    isUpstreamAbsent,
    readFullBody,
    type UpstreamResponse,
} from "./upstreamAttempt.js";

/** Timeout of one attempt of an idempotent request, as a multiple of the route's latency objective. */
const attemptTimeoutInObjectives = 1.5;
const minimumAttemptTimeoutMilliseconds = 400;
/** Share of the objective that a request may wait for an upstream at its limit; the rest is for its run. */
const waitingShareOfObjective = 0.35;
/** Each denial costs a round trip to another entry, so a request then goes to an upstream without a limit if it can. */
const deniedUntilUnlimited = 2;
/** Up to as much again is added at random, so that the retries of refused callers don't arrive together. */
const baseRetryAfterMilliseconds = 300;
const serverErrorStatus = 500;

type AttemptResult =
    | { kind: "final"; response: UpstreamResponse; body: Buffer[]; }
    | FailedAttempt
    /** The upstream executed the request and responded with a 5xx status of its own. */
    | { kind: "failed"; response: UpstreamResponse; body: Buffer[]; };

const classifyResponse = async (
    response: UpstreamResponse,
    { envelope: { requestId }, held }: RequestContext,
): Promise<AttemptResult> => {
    const fault = findResponseFault(response, requestId);
    if (fault !== undefined) {
        response.close();
        return fault;
    }
    const body = await readFullBody(response, held);
    if (body === undefined) {
        const ending = response.ending();
        return held?.wasExceeded() === true
            ? { kind: "broken", reason: "the response exceeds the memory left for answers", isOwnDoing: true }
            : { kind: "broken", reason: ending.exceeded ?? "the response was cut off", ending };
    }
    return { kind: response.status >= serverErrorStatus ? "failed" : "final", response, body };
};

export const createUnaryTask = (
    scheduler: UnaryScheduler,
    responseTimes: Pick<ResponseTimes, "record">,
    dependencies: RequestDependencies,
) => {
    const {
        clock,
        log,
        metrics,
        health,
        retryBudget,
        crashObserver,
        crashEvidence,
        upstreamLimits,
        requestCosts,
        random,
    } = dependencies;

    const attempt = async (context: RequestContext, upstream: KnownUpstream): Promise<AttemptResult> => {
        const {
            route,
            clientAccount,
            callerDeadlineAt,
            responseDueAt,
            send,
            signal,
        } = context;
        const remainingMilliseconds = responseDueAt - clock.now();
        const attemptTimeoutMilliseconds = Math.max(
            minimumAttemptTimeoutMilliseconds,
            route.objectiveMilliseconds * attemptTimeoutInObjectives,
        );
        const timeoutMilliseconds = route.kind === "idempotent"
            ? Math.min(remainingMilliseconds, attemptTimeoutMilliseconds)
            : remainingMilliseconds;
        const timeouts: AttemptTimeouts = {
            headersMilliseconds: timeoutMilliseconds,
            idleMilliseconds: timeoutMilliseconds,
        };
        const metadata = {
            patienceMilliseconds: callerDeadlineAt - clock.now(),
            clientAccount,
            lastEventId: undefined,
        };
        const responseOrFailure = await send(upstream, metadata, timeouts, signal);
        return responseOrFailure.isErr()
            ? responseOrFailure.error
            : classifyResponse(responseOrFailure.value, context);
    };

    const deliver = (
        { sink, envelope, arrivedAt }: RequestContext,
        upstreamId: string,
        response: UpstreamResponse,
        body: Buffer[],
    ): void => {
        sink.start(response.status, response.headers);
        body.forEach(sink.write);
        sink.end();
        const durationMilliseconds = clock.now() - arrivedAt;
        metrics.observe("ingress_plain_answer", durationMilliseconds);
        log.request(envelope.requestId, "answered", {
            upstream: upstreamId,
            status: response.status,
            afterMilliseconds: Math.round(durationMilliseconds),
        });
    };

    /** A retry counts against the retry budget, unless the previous attempt failed before anything was sent. */
    const mayRetry = (previousFailure: FailedAttempt["kind"] | undefined): boolean =>
        previousFailure === undefined || previousFailure === "unreachable" || retryBudget.takeRetry();

    /** Reserves an upstream and takes a permit if it states a limit on requests, for which it may wait shortly. */
    const reserve = async (
        { service, route, arrivedAt, signal }: RequestContext,
        { excluded }: AttemptHistory,
        cost: UnaryCost | undefined,
    ): Promise<Result<UnaryReservation, "none" | "limited">> => {
        const waitUntil = arrivedAt + route.objectiveMilliseconds * waitingShareOfObjective;
        let denied = 0;
        while (!signal.aborted) {
            const reservation = scheduler.reserve(service, excluded, denied >= deniedUntilUnlimited, cost);
            if (reservation !== undefined && await upstreamLimits.take(reservation.upstream, signal)) {
                return ok(reservation);
            }
            reservation?.release();
            denied += reservation === undefined ? 0 : 1;
            const { millisecondsUntilOpen } = scheduler.limitState(service, excluded);
            const opensTooLate = millisecondsUntilOpen > 0 && clock.now() + millisecondsUntilOpen > waitUntil;
            if (opensTooLate || clock.now() > waitUntil && denied > deniedUntilUnlimited) {
                return err(Number.isFinite(millisecondsUntilOpen) ? "limited" : "none");
            }
            if (millisecondsUntilOpen > 0) {
                await clock.sleep(millisecondsUntilOpen, signal);
            }
        }
        return err("none");
    };

    return async (context: RequestContext): Promise<void> => {
        const { route, service, envelope, signal } = context;
        const attempts = createAttemptHistory();
        let lastFailure: { result: Extract<AttemptResult, { kind: "failed"; }>; upstreamId: string; } | undefined;
        let lastReason = "no upstream is usable";
        let lastKind: FailedAttempt["kind"] | undefined;
        const traits = suspectTraits(context.traits);
        const isHeldBack = (): boolean => crashEvidence.holdOf(traits, attempts.mayHaveRun) !== undefined;
        retryBudget.recordRequest();
        let isLimited = false;
        const cost = requestCosts?.unaryCost(context);
        while (!signal.aborted && !isHeldBack() && attempts.reached.size < route.attempts) {
            const reservation = await reserve(context, attempts, cost);
            if (reservation.isErr()) {
                isLimited = reservation.error === "limited";
                break;
            }
            const { upstream, release } = reservation.value;
            if (!mayRetry(lastKind)) {
                release();
                break;
            }
            const sentAt = clock.now();
            const observed = crashObserver.begin(upstream, envelope.requestId, context.traits);
            const result = await attempt(context, upstream);
            release();
            const crashCheck = result.kind === "broken" && !signal.aborted
                ? observed.breakOff()
                : observed.end(result.kind === "final");
            const durationMilliseconds = clock.now() - sentAt;
            attempts.excluded.add(upstream.id);
            const isUnreachable = result.kind !== "final" && result.kind !== "failed" && isUpstreamAbsent(result);
            if (!isUnreachable) {
                attempts.reached.add(upstream.id);
            }
            if (result.kind === "final") {
                health.recordSuccess(upstream.id);
                responseTimes.record(
                    upstream,
                    durationMilliseconds,
                    cost && cost.workMilliseconds / cost.meanMilliseconds,
                );
                requestCosts?.recordUnary(context, durationMilliseconds);
                deliver(context, upstream.id, result.response, result.body);
                return;
            }
            const reason = result.kind === "failed" ? `status ${result.response.status}` : result.reason;
            if (!signal.aborted) {
                const failedAttempt = {
                    kind: result.kind,
                    reason,
                    isUnreachable,
                    durationMilliseconds,
                    isOwnDoing: result.kind !== "failed" && result.isOwnDoing,
                    ending: result.kind === "failed" ? undefined : result.ending,
                };
                recordFailedAttempt(dependencies, envelope.requestId, upstream.id, failedAttempt);
            }
            lastReason = reason;
            lastKind = result.kind === "failed" ? "broken" : result.kind;
            lastFailure = result.kind === "failed" ? { result, upstreamId: upstream.id } : lastFailure;
            attempts.mayHaveRun ||= result.kind === "broken" || result.kind === "failed";
            // Another copy of an answer that exceeds the budget would exceed it again.
            if (attempts.mayHaveRun && (route.kind !== "idempotent" || context.held?.wasExceeded() === true)) {
                break;
            }
            if (crashEvidence.isNearHold(traits)) {
                await crashCheck;
            }
        }
        if (lastFailure !== undefined && !signal.aborted) {
            const { result, upstreamId } = lastFailure;
            deliver(context, upstreamId, result.response, result.body);
        }
        else if (attempts.mayHaveRun || signal.aborted && attempts.reached.size > 0) {
            failRequest(context, dependencies, missingResponseCode(context, clock.now()), {
                reason: lastReason,
                reached: [...attempts.reached],
            });
        }
        else {
            const details = { reason: lastReason, reached: [...attempts.reached], avoided: [...attempts.excluded] };
            if (isHeldBack()) {
                failRequest(context, dependencies, "crashes-upstreams", { hold: crashEvidence.holdOf(traits, false) });
            }
            else {
                const limitState = isLimited ? scheduler.limitState(service, attempts.excluded) : undefined;
                const opensInMilliseconds = limitState?.millisecondsUntilOpen
                    ?? scheduler.pauseMilliseconds(service) ?? 0;
                const retryAfterMilliseconds = Math.max(opensInMilliseconds, baseRetryAfterMilliseconds)
                    + baseRetryAfterMilliseconds * random();
                const code = isLimited ? "upstreams-limited" : "no-upstream";
                const limited = limitState?.limited;
                failRequest(context, dependencies, code, { ...details, limited }, retryAfterMilliseconds);
            }
        }
    };
};
