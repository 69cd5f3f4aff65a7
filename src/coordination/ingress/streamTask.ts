/**
 * Runs one streamed request: waits for a place, passes whole events on as they come, and goes on at another upstream
 * after the last event that the caller has when an answer is cut.
 *
 * The caller sees one answer with the head of its first upstream. Nothing is sent to it before the first event, so until
 * then a lost sending can still be replaced by a refusal or another upstream's answer.
 */
import { createEventSplitter, maximumEventBytes, type StreamEvent } from "./eventSplitter.js";
import {
    type AttemptHistory,
    createAttemptHistory,
    failRequest,
    missingResponseCode,
    recordFailedAttempt,
    type RequestContext,
    type RequestDependencies,
} from "./requestContext.js";
import type { StreamAdmission } from "./streamAdmission.js";
import type { StreamReservation, StreamScheduler } from "./streamScheduler.js";
import {
    type AttemptTimeouts,
    type FailedAttempt,
    findResponseFault,
    isUpstreamAbsent,
    readFullBody,
    type UpstreamResponse,
} from "./upstreamAttempt.js";

/** Callers leave after two seconds without an event; these leave time to go on elsewhere before that. */
const streamTimeouts: AttemptTimeouts = { headersMilliseconds: 1_000, idleMilliseconds: 800 };
/** Until when a stream that was cut is worth taking up again, after the caller's last event. */
const resumeWindowMilliseconds = 1_850;
const reservationRetryMilliseconds = 40;
const okStatus = 200;
const serverErrorStatus = 500;

type AttemptResult =
    | { kind: "whole"; }
    /** The upstream's own answer that is no stream, to be passed on as it is. */
    | { kind: "other"; answer: UpstreamResponse; }
    | FailedAttempt;

/** How far the caller's stream has come, over all sendings. */
type StreamProgress = {
    lastEventId: string | undefined;
    events: number;
    firstEventAt: number | undefined;
    lastEventAt: number | undefined;
    /** Over all sendings, so it includes the time that going on elsewhere took. */
    longestPause: number;
};

/** Whether `event` comes after what the caller has; ids are whole numbers that increase. */
const isNewer = ({ id }: StreamEvent, { lastEventId }: StreamProgress): boolean =>
    lastEventId === undefined || id === undefined || Number(id) > Number(lastEventId);

export const createStreamTask = (
    scheduler: StreamScheduler,
    admission: StreamAdmission,
    dependencies: RequestDependencies,
) => {
    const { clock, log, metrics, health, retryBudget } = dependencies;

    const relay = async (
        context: RequestContext,
        response: UpstreamResponse,
        reservation: StreamReservation,
        progress: StreamProgress,
    ): Promise<AttemptResult> => {
        const { sink, route, arrivedAt } = context;
        const splitter = createEventSplitter();
        let eventsInAttempt = 0;
        for await (const chunk of response.body) {
            for (const event of splitter.push(chunk)) {
                if (!isNewer(event, progress)) {
                    continue;
                }
                const now = clock.now();
                if (!sink.hasStarted()) {
                    sink.start(response.status, response.headers);
                    metrics.observe("ingress_first_event", now - arrivedAt);
                }
                sink.write(event.bytes);
                const pause = eventsInAttempt > 0 && progress.lastEventAt !== undefined
                    ? now - progress.lastEventAt
                    : undefined;
                reservation.recordEvent(pause, route.gapTargetMilliseconds);
                if (pause !== undefined) {
                    metrics.observe("ingress_event_pause", pause);
                }
                eventsInAttempt += 1;
                progress.events += 1;
                progress.firstEventAt ??= now;
                progress.longestPause = Math.max(progress.longestPause, now - (progress.lastEventAt ?? now));
                progress.lastEventAt = now;
                progress.lastEventId = event.id ?? progress.lastEventId;
            }
            if (splitter.pendingBytes() > maximumEventBytes) {
                response.close();
                return { kind: "broken", reason: "an event without an end" };
            }
        }
        if (!response.isComplete() || splitter.pendingBytes() > 0) {
            return { kind: "broken", reason: "the stream was cut" };
        }
        if (!sink.hasStarted()) {
            sink.start(response.status, response.headers);
        }
        return { kind: "whole" };
    };

    const attempt = async (
        context: RequestContext,
        reservation: StreamReservation,
        progress: StreamProgress,
    ): Promise<AttemptResult> => {
        const { envelope, clientAccount, callerDeadlineAt: patienceUntil, send, signal } = context;
        const metadata = {
            patienceMilliseconds: patienceUntil - clock.now(),
            clientAccount,
            lastEventId: progress.lastEventId,
        };
        const responseOrFailure = await send(reservation.upstream, metadata, streamTimeouts, signal);
        if (responseOrFailure.isErr()) {
            return responseOrFailure.error;
        }
        const response = responseOrFailure.value;
        const fault = findResponseFault(response, envelope.requestId);
        if (fault !== undefined) {
            response.close();
            return fault;
        }
        return response.status === okStatus
            ? relay(context, response, reservation, progress)
            : { kind: "other", answer: response };
    };

    /** Passes on an upstream's failure as it is; gives what became of it. */
    const forwardResponse = async ({ sink }: RequestContext, response: UpstreamResponse): Promise<AttemptResult> => {
        const chunks = await readFullBody(response);
        if (chunks === undefined) {
            return { kind: "broken", reason: "the answer was cut" };
        }
        sink.start(response.status, response.headers);
        chunks.forEach(sink.write);
        return { kind: "whole" };
    };

    /** Whether the request may be sent once more after `ending`. */
    const mayRetry = ({ route, signal }: RequestContext, attempts: AttemptHistory, result: AttemptResult): boolean => {
        if (signal.aborted || attempts.reached.size >= route.attempts || attempts.mayHaveRun && !route.isResumable) {
            return false;
        }
        return result.kind === "unreachable" || retryBudget.takeRetry();
    };

    const recordResult = (
        context: RequestContext,
        reservation: StreamReservation,
        result: AttemptResult,
        sentAt: number,
    ): void => {
        const { id } = reservation.upstream;
        if (result.kind === "whole") {
            health.recordSuccess(id, clock.now() - sentAt);
        }
        else if (!context.signal.aborted && result.kind !== "other") {
            recordFailedAttempt(dependencies, context.envelope.requestId, id, {
                kind: result.kind,
                reason: result.reason,
                isUnreachable: isUpstreamAbsent(result),
                durationMilliseconds: clock.now() - sentAt,
            });
            if (result.kind !== "misdirected") {
                reservation.recordFailure(result.reason);
            }
        }
    };

    /** Waits for a place to go on, as long as the caller waits for its next event. */
    const reserveForResume = async (
        context: RequestContext,
        attempts: AttemptHistory,
        progress: StreamProgress,
    ): Promise<StreamReservation | undefined> => {
        const resumeBy = (progress.lastEventAt ?? context.arrivedAt) + resumeWindowMilliseconds;
        for (;;) {
            const reservation = scheduler.reserve(context.service, attempts.excluded, "owed");
            const shouldGiveUp = clock.now() >= resumeBy || context.signal.aborted
                || !scheduler.hasUpstream(context.service, attempts.excluded);
            if (reservation !== undefined || shouldGiveUp) {
                return reservation;
            }
            await clock.sleep(reservationRetryMilliseconds, context.signal);
        }
    };

    const finish = (context: RequestContext, progress: StreamProgress, attempts: AttemptHistory): void => {
        const durationMilliseconds = clock.now() - context.arrivedAt;
        context.sink.end();
        metrics.observe("ingress_stream", durationMilliseconds);
        log.request(context.envelope.requestId, "answered", {
            events: progress.events,
            firstEventAfter: Math.round((progress.firstEventAt ?? context.arrivedAt) - context.arrivedAt),
            longestPause: Math.round(progress.longestPause),
            upstreams: [...attempts.reached],
            patience: context.envelope.patienceMilliseconds,
            afterMilliseconds: Math.round(durationMilliseconds),
        });
    };

    return async (context: RequestContext): Promise<void> => {
        const { envelope, signal } = context;
        const attempts = createAttemptHistory();
        const progress: StreamProgress = {
            lastEventId: undefined,
            events: 0,
            firstEventAt: undefined,
            lastEventAt: undefined,
            longestPause: 0,
        };
        retryBudget.recordRequest();
        const admitted = await admission.enter(context);
        if (admitted.isErr()) {
            if (!signal.aborted) {
                const { kind, retryAfterMilliseconds, details: inputs } = admitted.error;
                failRequest(context, dependencies, kind, inputs, retryAfterMilliseconds);
            }
            return;
        }
        let reservation: StreamReservation | undefined = admitted.value;
        let lastReason = "";
        while (reservation !== undefined) {
            const { upstream } = reservation;
            const sentAt = clock.now();
            log.request(envelope.requestId, "sent", {
                upstream: upstream.id,
                afterMilliseconds: Math.round(sentAt - context.arrivedAt),
                afterEvent: progress.lastEventId,
            });
            let result = await attempt(context, reservation, progress);
            if (result.kind === "other") {
                const { answer: response } = result;
                const isFinalAttempt = response.status < serverErrorStatus
                    || attempts.reached.size + 1 >= context.route.attempts;
                // A caller that has a part of the stream can't be given another answer any more.
                result = isFinalAttempt && !context.sink.hasStarted()
                    ? await forwardResponse(context, response)
                    : { kind: "broken", reason: `status ${response.status}` };
                response.close();
            }
            recordResult(context, reservation, result, sentAt);
            reservation.release();
            admission.retryQueued();
            attempts.excluded.add(upstream.id);
            if (result.kind === "whole") {
                attempts.reached.add(upstream.id);
                finish(context, progress, attempts);
                return;
            }
            if (result.kind === "other" || !isUpstreamAbsent(result)) {
                attempts.reached.add(upstream.id);
            }
            attempts.mayHaveRun ||= result.kind === "broken";
            lastReason = result.kind === "other" ? "" : result.reason;
            reservation = mayRetry(context, attempts, result)
                ? await reserveForResume(context, attempts, progress)
                : undefined;
        }
        if (attempts.mayHaveRun || context.sink.hasStarted() || signal.aborted) {
            failRequest(context, dependencies, missingResponseCode(context), {
                reason: lastReason,
                reached: [...attempts.reached],
                events: progress.events,
            });
        }
        else {
            const details = { reason: lastReason, reached: [...attempts.reached], avoided: [...attempts.excluded] };
            failRequest(context, dependencies, "no-upstream", details, admission.suggestedRetryMilliseconds());
        }
    };
};
