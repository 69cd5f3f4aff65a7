/**
 * Runs one streamed request: waits for a place, passes whole events on as they come, and goes on at another upstream
 * after the last event that the caller has when an answer is cut.
 *
 * The caller sees one answer with the head of its first upstream. Nothing is sent to it before the first event, so until
 * then a lost sending can still be replaced by a refusal or another upstream's answer.
 */
import { createEventSplitter, largestEventBytes, type StreamEvent } from "./eventFrames.js";
import {
    fail,
    lostAnswerCode,
    noSendings,
    recordLostSending,
    type RequestContext,
    type Sendings,
    type SharedParts,
} from "./requestContext.js";
import type { StreamAdmission } from "./streamAdmission.js";
import type { Place, StreamPlaces } from "./streamPlaces.js";
import {
    findFault,
    isCertainLoss,
    type LostSending,
    readWhole,
    type SendingTimes,
    type UpstreamAnswer,
} from "./upstreamCaller.js";

/** Callers leave after two seconds without an event; these leave time to go on elsewhere before that. */
const streamTimes: SendingTimes = { headMilliseconds: 1_000, silenceMilliseconds: 800 };
/** Until when a stream that was cut is worth taking up again, after the caller's last event. */
const takeUpMilliseconds = 1_850;
const placeRetryMilliseconds = 40;
const okStatus = 200;
const serverErrorStatus = 500;

type Ending =
    | { kind: "whole"; }
    /** The upstream's own answer that is no stream, to be passed on as it is. */
    | { kind: "other"; answer: UpstreamAnswer; }
    | LostSending;

/** How far the caller's stream has come, over all sendings. */
type Progress = {
    lastEventId: string | undefined;
    events: number;
    firstEventAt: number | undefined;
    lastEventAt: number | undefined;
    /** Over all sendings, so it includes the time that going on elsewhere took. */
    longestPause: number;
};

/** Whether `event` comes after what the caller has; ids are whole numbers that increase. */
const isNewer = ({ id }: StreamEvent, { lastEventId }: Progress): boolean =>
    lastEventId === undefined || id === undefined || Number(id) > Number(lastEventId);

export const createStreamTask = (places: StreamPlaces, admission: StreamAdmission, shared: SharedParts) => {
    const { clock, log, metrics, health, retryBudget } = shared;

    const relay = async (
        context: RequestContext,
        answer: UpstreamAnswer,
        place: Place,
        progress: Progress,
    ): Promise<Ending> => {
        const { sink, route, arrivedAt } = context;
        const splitter = createEventSplitter();
        let eventsOfSending = 0;
        for await (const chunk of answer.body) {
            for (const event of splitter.push(chunk)) {
                if (!isNewer(event, progress)) {
                    continue;
                }
                const now = clock.now();
                if (!sink.hasBegun()) {
                    sink.begin(answer.status, answer.fields);
                    metrics.observe("ingress_first_event", now - arrivedAt);
                }
                sink.write(event.bytes);
                const pause = eventsOfSending > 0 && progress.lastEventAt !== undefined
                    ? now - progress.lastEventAt
                    : undefined;
                place.recordEvent(pause, route.gapTargetMilliseconds);
                if (pause !== undefined) {
                    metrics.observe("ingress_event_pause", pause);
                }
                eventsOfSending += 1;
                progress.events += 1;
                progress.firstEventAt ??= now;
                progress.longestPause = Math.max(progress.longestPause, now - (progress.lastEventAt ?? now));
                progress.lastEventAt = now;
                progress.lastEventId = event.id ?? progress.lastEventId;
            }
            if (splitter.pending() > largestEventBytes) {
                answer.close();
                return { kind: "broken", reason: "an event without an end" };
            }
        }
        if (!answer.isWhole() || splitter.pending() > 0) {
            return { kind: "broken", reason: "the stream was cut" };
        }
        if (!sink.hasBegun()) {
            sink.begin(answer.status, answer.fields);
        }
        return { kind: "whole" };
    };

    const attempt = async (context: RequestContext, place: Place, progress: Progress): Promise<Ending> => {
        const { envelope, clientAccount, patienceUntil, send, signal } = context;
        const head = {
            patienceMilliseconds: patienceUntil - clock.now(),
            clientAccount,
            lastEventId: progress.lastEventId,
        };
        const sent = await send(place.upstream, head, streamTimes, signal);
        if (sent.isErr()) {
            return sent.error;
        }
        const answer = sent.value;
        const fault = findFault(answer, envelope.requestId);
        if (fault !== undefined) {
            answer.close();
            return fault;
        }
        return answer.status === okStatus ? relay(context, answer, place, progress) : { kind: "other", answer };
    };

    /** Passes on an upstream's failure as it is; gives what became of it. */
    const passOn = async ({ sink }: RequestContext, answer: UpstreamAnswer): Promise<Ending> => {
        const chunks = await readWhole(answer);
        if (chunks === undefined) {
            return { kind: "broken", reason: "the answer was cut" };
        }
        sink.begin(answer.status, answer.fields);
        chunks.forEach(sink.write);
        return { kind: "whole" };
    };

    /** Whether the request may be sent once more after `ending`. */
    const mayGoOn = ({ route, signal }: RequestContext, sendings: Sendings, ending: Ending): boolean => {
        if (signal.aborted || sendings.reached.size >= route.attempts || sendings.mayHaveRun && !route.isResumable) {
            return false;
        }
        return ending.kind === "unreachable" || retryBudget.takeRetry();
    };

    const settle = (context: RequestContext, place: Place, ending: Ending, sentAt: number): void => {
        const { id } = place.upstream;
        if (ending.kind === "whole") {
            health.recordAnswer(id, clock.now() - sentAt);
        }
        else if (!context.signal.aborted && ending.kind !== "other") {
            recordLostSending(shared, context.envelope.requestId, id, {
                kind: ending.kind,
                reason: ending.reason,
                isNotThere: isCertainLoss(ending),
                tookMilliseconds: clock.now() - sentAt,
            });
            if (ending.kind !== "misdirected") {
                place.recordLoss(ending.reason);
            }
        }
    };

    /** Waits for a place to go on, as long as the caller waits for its next event. */
    const takeUp = async (
        context: RequestContext,
        sendings: Sendings,
        progress: Progress,
    ): Promise<Place | undefined> => {
        const until = (progress.lastEventAt ?? context.arrivedAt) + takeUpMilliseconds;
        for (;;) {
            const place = places.take(context.service, sendings.avoided, "owed");
            const isHopeless = clock.now() >= until || context.signal.aborted
                || !places.hasUpstream(context.service, sendings.avoided);
            if (place !== undefined || isHopeless) {
                return place;
            }
            await clock.sleep(placeRetryMilliseconds, context.signal);
        }
    };

    const finish = (context: RequestContext, progress: Progress, sendings: Sendings): void => {
        const took = clock.now() - context.arrivedAt;
        context.sink.end();
        metrics.observe("ingress_stream", took);
        log.request(context.envelope.requestId, "answered", {
            events: progress.events,
            firstEventAfter: Math.round((progress.firstEventAt ?? context.arrivedAt) - context.arrivedAt),
            longestPause: Math.round(progress.longestPause),
            upstreams: [...sendings.reached],
            patience: context.envelope.patienceMilliseconds,
            afterMilliseconds: Math.round(took),
        });
    };

    return async (context: RequestContext): Promise<void> => {
        const { envelope, signal } = context;
        const sendings = noSendings();
        const progress: Progress = {
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
                const { kind, retryAfterMilliseconds, inputs } = admitted.error;
                fail(context, shared, kind, inputs, retryAfterMilliseconds);
            }
            return;
        }
        let place: Place | undefined = admitted.value;
        let lastReason = "";
        while (place !== undefined) {
            const { upstream } = place;
            const sentAt = clock.now();
            log.request(envelope.requestId, "sent", {
                upstream: upstream.id,
                afterMilliseconds: Math.round(sentAt - context.arrivedAt),
                afterEvent: progress.lastEventId,
            });
            let ending = await attempt(context, place, progress);
            if (ending.kind === "other") {
                const { answer } = ending;
                const isLast = answer.status < serverErrorStatus || sendings.reached.size + 1 >= context.route.attempts;
                // A caller that has a part of the stream can't be given another answer any more.
                ending = isLast && !context.sink.hasBegun()
                    ? await passOn(context, answer)
                    : { kind: "broken", reason: `status ${answer.status}` };
                answer.close();
            }
            settle(context, place, ending, sentAt);
            place.release();
            admission.placeFreed();
            sendings.avoided.add(upstream.id);
            if (ending.kind === "whole") {
                sendings.reached.add(upstream.id);
                finish(context, progress, sendings);
                return;
            }
            if (ending.kind === "other" || !isCertainLoss(ending)) {
                sendings.reached.add(upstream.id);
            }
            sendings.mayHaveRun ||= ending.kind === "broken";
            lastReason = ending.kind === "other" ? "" : ending.reason;
            place = mayGoOn(context, sendings, ending) ? await takeUp(context, sendings, progress) : undefined;
        }
        if (sendings.mayHaveRun || context.sink.hasBegun() || signal.aborted) {
            fail(context, shared, lostAnswerCode(context), {
                reason: lastReason,
                reached: [...sendings.reached],
                events: progress.events,
            });
        }
        else {
            const inputs = { reason: lastReason, reached: [...sendings.reached], avoided: [...sendings.avoided] };
            fail(context, shared, "no-upstream", inputs, admission.returnMilliseconds());
        }
    };
};
