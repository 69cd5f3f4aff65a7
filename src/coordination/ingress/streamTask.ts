/**
 * Runs one streaming request: waits for admission, forwards complete events as they arrive, and if the response is cut
 * off, resumes the stream at another upstream after the last event that the caller has received.
 *
 * The caller sees a single response with the headers of the first upstream that sent an event. Nothing is sent to the
 * caller before the first event, so until then a failed attempt can still be replaced by a refusal or by another
 * upstream's response.
 */
import { createCallerPace } from "./callerPace.js";
import type { ObservedAttempt } from "./crashObserver.js";
import { createEventSplitter, maximumEventBytes } from "./eventSplitter.js";
import {
    type AttemptHistory,
    createAttemptHistory,
    failRequest,
    missingResponseCode,
    recordFailedAttempt,
    type RequestContext,
    type RequestDependencies,
} from "./requestContext.js";
import { suspectTraits } from "./requestTraits.js";
import { createSilentStreamMove, resumeWindowMilliseconds } from "./silentStreamMove.js";
import type { StreamAdmission } from "./streamAdmission.js";
import { isNewer, isWholeStream, type StreamProgress } from "./streamProgress.js";
import type { StreamReservation, StreamScheduler } from "./streamScheduler.js";
import {
    type AttemptTimeouts,
    type FailedAttempt,
    findResponseFault,
    isUpstreamAbsent,
    readFullBody,
    type UpstreamResponse,
} from "./upstreamAttempt.js";

const reservationRetryMilliseconds = 40;
const okStatus = 200;
const serverErrorStatus = 500;

type AttemptResult =
    | { kind: "complete"; }
    /** The upstream's own response that is no stream, to be forwarded unchanged. */
    | { kind: "other"; response: UpstreamResponse; }
    | FailedAttempt;

export const createStreamTask = (
    scheduler: StreamScheduler,
    admission: StreamAdmission,
    dependencies: RequestDependencies,
) => {
    const { clock, log, metrics, health, retryBudget, crashObserver, crashEvidence, upstreamLimits, requestCosts } =
        dependencies;

    const moveWhenSilent = createSilentStreamMove(scheduler, dependencies);

    const relay = async (
        context: RequestContext,
        response: UpstreamResponse,
        reservation: StreamReservation,
        observed: ObservedAttempt,
        progress: StreamProgress,
        signal: AbortSignal,
    ): Promise<AttemptResult> => {
        const { sink, route, arrivedAt, held } = context;
        const splitter = createEventSplitter();
        const pace = createCallerPace(sink, reservation, progress, clock, signal);
        let eventsInAttempt = 0;
        let heldPendingBytes = 0;
        for await (const chunk of response.body) {
            pace.beginChunk();
            for (const event of splitter.push(chunk)) {
                if (!event.isWellFormed) {
                    response.close();
                    return { kind: "broken", reason: "the stream holds bytes that are no event" };
                }
                if (!isNewer(event, progress)) {
                    continue;
                }
                const now = clock.now();
                if (!sink.hasStarted()) {
                    sink.start(response.status, response.headers);
                    metrics.observe("ingress_first_event", now - arrivedAt);
                }
                sink.write(event.bytes);
                const pauseMilliseconds = eventsInAttempt > 0 && progress.lastEventAt !== undefined && !pace.isBehind()
                    ? now - progress.lastEventAt
                    : undefined;
                if (!pace.isBehind()) {
                    reservation.recordEvent(pauseMilliseconds, route.gapTargetMilliseconds);
                }
                observed.recordEvent();
                if (pauseMilliseconds !== undefined) {
                    metrics.observe("ingress_event_pause", pauseMilliseconds);
                }
                eventsInAttempt += 1;
                progress.events += 1;
                progress.firstEventAt ??= now;
                progress.longestPauseMilliseconds = Math.max(
                    progress.longestPauseMilliseconds,
                    pace.isBehind() ? 0 : now - (progress.lastEventAt ?? now),
                );
                progress.lastEventAt = now;
                progress.lastEventId = event.id ?? progress.lastEventId;
                const callerHasRead = pace.waitForCaller();
                if (callerHasRead !== undefined) {
                    await callerHasRead;
                }
            }
            pace.endChunk();
            held?.add(splitter.pendingBytes() - heldPendingBytes);
            heldPendingBytes = splitter.pendingBytes();
            const kept = response.keepPending?.(heldPendingBytes);
            if (heldPendingBytes > maximumEventBytes || kept?.kind === "end") {
                const reason = kept?.kind === "end" ? kept.reason : `an event exceeds ${maximumEventBytes} bytes`;
                const ending = { ...response.ending(), end: "oversized" as const, pendingBytes: heldPendingBytes };
                response.close();
                return { kind: "broken", reason, ending };
            }
            if (heldPendingBytes > 0 && held?.fits(0) === false) {
                response.close();
                return { kind: "broken", reason: "an event exceeds the memory left for answers", isOwnDoing: true };
            }
        }
        held?.add(-heldPendingBytes);
        const ending = { ...response.ending(), pendingBytes: splitter.pendingBytes() };
        const unfinished = splitter.unfinished();
        if (!isWholeStream(ending, unfinished, route, progress)) {
            return { kind: "broken", reason: "the event stream was cut off", isOwnDoing: pace.wasHeldBack(), ending };
        }
        if (!sink.hasStarted()) {
            sink.start(response.status, response.headers);
        }
        if (unfinished !== undefined && isNewer(unfinished, progress)) {
            sink.write(unfinished.bytes);
        }
        return { kind: "complete" };
    };

    const attempt = async (
        context: RequestContext,
        reservation: StreamReservation,
        observed: ObservedAttempt,
        progress: StreamProgress,
        signal: AbortSignal,
    ): Promise<AttemptResult> => {
        const { envelope, clientAccount, callerDeadlineAt, responseDueAt, send } = context;
        const metadata = {
            patienceMilliseconds: callerDeadlineAt - clock.now(),
            clientAccount,
            lastEventId: progress.lastEventId,
            queuePriority: admission.queuePriority(context),
        };
        const remainingMilliseconds = responseDueAt - clock.now();
        const timeouts: AttemptTimeouts = {
            headersMilliseconds: remainingMilliseconds,
            idleMilliseconds: remainingMilliseconds,
        };
        const responseOrFailure = await send(reservation.upstream, metadata, timeouts, signal);
        if (responseOrFailure.isErr()) {
            return responseOrFailure.error;
        }
        const response = responseOrFailure.value;
        const fault = findResponseFault(response, envelope.requestId);
        if (fault !== undefined) {
            response.close();
            return fault;
        }
        return response.status === okStatus && response.metadata.isEventStream
            ? relay(context, response, reservation, observed, progress, signal)
            : { kind: "other", response };
    };

    /** Forwards the upstream's own response unchanged, once it has been read completely. */
    const forwardResponse = async (
        { sink, held }: RequestContext,
        response: UpstreamResponse,
    ): Promise<AttemptResult> => {
        const chunks = await readFullBody(response, held);
        if (chunks === undefined) {
            return { kind: "broken", reason: "the response was cut off", ending: response.ending() };
        }
        sink.start(response.status, response.headers);
        chunks.forEach(sink.write);
        return { kind: "complete" };
    };

    const isHeldBack = ({ traits }: RequestContext, { mayHaveRun }: AttemptHistory): boolean =>
        crashEvidence.holdOf(suspectTraits(traits), mayHaveRun) !== undefined;

    /** Whether another attempt may follow one that ended with `result`. */
    const mayRetry = (context: RequestContext, attempts: AttemptHistory, result: AttemptResult): boolean => {
        const { route, signal } = context;
        if (
            isHeldBack(context, attempts) || signal.aborted || context.held?.wasExceeded() === true
            || attempts.reached.size >= route.attempts
            || attempts.mayHaveRun && !route.isResumable
        ) {
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
        if (result.kind === "complete") {
            health.recordSuccess(id);
        }
        else if (!context.signal.aborted && result.kind !== "other") {
            recordFailedAttempt(dependencies, context.envelope.requestId, id, {
                kind: result.kind,
                reason: result.reason,
                isUnreachable: isUpstreamAbsent(result),
                durationMilliseconds: clock.now() - sentAt,
                isOwnDoing: result.isOwnDoing,
                ending: result.ending,
            });
            if (result.kind !== "misdirected" && result.isOwnDoing !== true) {
                reservation.recordFailure(result.reason);
            }
        }
    };

    /** Waits for capacity for another attempt, as long as the caller waits for its next event. */
    const reserveForResume = async (
        context: RequestContext,
        attempts: AttemptHistory,
        progress: StreamProgress,
    ): Promise<StreamReservation | undefined> => {
        const resumeBy = Math.max(progress.lastEventAt ?? context.arrivedAt, progress.heldBackUntil)
            + resumeWindowMilliseconds;
        for (;;) {
            const reservation = scheduler.reserve(context.service, attempts.excluded, {
                admissionClass: "admitted",
                cost: context.cost,
            });
            if (reservation !== undefined && isHeldBack(context, attempts)) {
                reservation.release();
                return undefined;
            }
            if (reservation !== undefined && await upstreamLimits.take(reservation.upstream, context.signal)) {
                return reservation;
            }
            reservation?.release();
            const shouldGiveUp = clock.now() >= resumeBy || context.signal.aborted
                || !scheduler.hasUpstream(context.service, attempts.excluded);
            if (shouldGiveUp) {
                return undefined;
            }
            if (reservation === undefined) {
                await clock.sleep(reservationRetryMilliseconds, context.signal);
            }
        }
    };

    const finish = (context: RequestContext, progress: StreamProgress, attempts: AttemptHistory): void => {
        const durationMilliseconds = clock.now() - context.arrivedAt;
        context.sink.end();
        // The events of a stream that its caller resumes are only the rest of its answer.
        if (progress.events > 0 && context.envelope.lastEventId === undefined) {
            requestCosts?.recordStream(context, progress.events);
        }
        metrics.observe("ingress_stream", durationMilliseconds);
        log.request(context.envelope.requestId, "answered", {
            events: progress.events,
            firstEventAfter: Math.round((progress.firstEventAt ?? context.arrivedAt) - context.arrivedAt),
            longestPause: Math.round(progress.longestPauseMilliseconds),
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
            longestPauseMilliseconds: 0,
            heldBackUntil: -Infinity,
            unfinished: undefined,
        };
        retryBudget.recordRequest();
        const admitted = await admission.enter(context);
        if (admitted.isErr()) {
            const { kind, retryAfterMilliseconds, details } = admitted.error;
            failRequest(context, dependencies, kind, details, retryAfterMilliseconds);
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
                cost: context.cost,
            });
            const observed = crashObserver.begin(upstream, envelope.requestId, context.traits);
            const attemptEnd = new AbortController();
            const endAttempt = (): void => attemptEnd.abort();
            signal.addEventListener("abort", endAttempt, { once: true });
            const moved = moveWhenSilent(context, reservation, attempts, progress, attemptEnd);
            let result = await attempt(context, reservation, observed, progress, attemptEnd.signal);
            if (result.kind === "other") {
                const { response } = result;
                const isFinalAttempt = response.status < serverErrorStatus
                    || attempts.reached.size + 1 >= context.route.attempts;
                // A caller that has received part of the stream can't be sent another response.
                result = isFinalAttempt && !context.sink.hasStarted()
                    ? await forwardResponse(context, response)
                    : { kind: "broken", reason: `status ${response.status}, no stream` };
                response.close();
            }
            signal.removeEventListener("abort", endAttempt);
            endAttempt();
            const placeElsewhere = await moved;
            const crashCheck = result.kind === "broken" && !signal.aborted
                ? observed.breakOff()
                : observed.end(result.kind === "complete" && progress.events > 0);
            recordResult(context, reservation, result, sentAt);
            reservation.release();
            admission.retryQueued();
            attempts.excluded.add(upstream.id);
            if (result.kind === "complete") {
                placeElsewhere?.release();
                attempts.reached.add(upstream.id);
                finish(context, progress, attempts);
                return;
            }
            if (result.kind === "other" || !isUpstreamAbsent(result)) {
                attempts.reached.add(upstream.id);
            }
            attempts.mayHaveRun ||= result.kind === "broken";
            if (crashEvidence.isNearHold(suspectTraits(context.traits))) {
                await crashCheck;
            }
            lastReason = result.kind === "other" ? "" : result.reason;
            if (placeElsewhere !== undefined && !signal.aborted && !isHeldBack(context, attempts)) {
                reservation = placeElsewhere;
                continue;
            }
            placeElsewhere?.release();
            reservation = mayRetry(context, attempts, result)
                ? await reserveForResume(context, attempts, progress)
                : undefined;
        }
        if (attempts.mayHaveRun || context.sink.hasStarted() || signal.aborted) {
            failRequest(context, dependencies, missingResponseCode(context, clock.now()), {
                reason: lastReason,
                reached: [...attempts.reached],
                events: progress.events,
            });
        }
        else {
            const details = { reason: lastReason, reached: [...attempts.reached], avoided: [...attempts.excluded] };
            if (isHeldBack(context, attempts)) {
                failRequest(context, dependencies, "crashes-upstreams", details);
            }
            else {
                failRequest(context, dependencies, "no-upstream", details, admission.suggestedRetryMilliseconds());
            }
        }
    };
};
