/**
 * Moves a stream whose upstream has fallen silent to another group that has room.
 */
import type { AttemptHistory, RequestContext, RequestDependencies } from "./requestContext.js";
import type { StreamProgress } from "./streamProgress.js";
import type { StreamReservation, StreamScheduler } from "./streamScheduler.js";

/**
 * Silence after which a stream is moved to another group if that has room; otherwise it is left where it is, as it may
 * only be slow. Callers disconnect after two seconds without an event.
 */
const silenceUntilMove = { beforeFirstEventMilliseconds: 1_000, betweenEventsMilliseconds: 800 };
const silenceCheckMilliseconds = 250;
const moveRetryMilliseconds = 100;
/** Counted from the last event; a stream resumed later would reach the caller after its two seconds are over. */
export const resumeWindowMilliseconds = 1_850;

export const createSilentStreamMove = (
    scheduler: Pick<StreamScheduler, "reserveElsewhere">,
    { clock, log, retryBudget, upstreamLimits }: RequestDependencies,
) =>
/**
 * Waits until the attempt ends or its stream has brought no complete event for too long while another group has room;
 * returns the place there, after it has ended the attempt. The time that a stream is held back for its caller is no
 * silence.
 */
async (
    { envelope, route, cost }: RequestContext,
    { upstream }: StreamReservation,
    attempts: AttemptHistory,
    progress: StreamProgress,
    attemptEnd: AbortController,
): Promise<StreamReservation | undefined> => {
    const sentAt = clock.now();
    const silence = (): number =>
        clock.now() - Math.max(sentAt, progress.lastEventAt ?? sentAt, progress.heldBackUntil);
    const limit = (): number =>
        progress.lastEventAt === undefined || progress.lastEventAt < sentAt
            ? silenceUntilMove.beforeFirstEventMilliseconds
            : silenceUntilMove.betweenEventsMilliseconds;
    const mayMove = route.isResumable && attempts.reached.size + 1 < route.attempts;
    while (mayMove && !attemptEnd.signal.aborted && silence() < resumeWindowMilliseconds) {
        const remaining = limit() - silence();
        if (remaining > 0) {
            await clock.sleep(Math.min(remaining, silenceCheckMilliseconds), attemptEnd.signal);
            continue;
        }
        const place = scheduler.reserveElsewhere(upstream, attempts.excluded, cost);
        const mayUse = place !== undefined && await upstreamLimits.take(place.upstream, attemptEnd.signal);
        if (!mayUse || attemptEnd.signal.aborted || !retryBudget.takeRetry()) {
            place?.release();
            await clock.sleep(moveRetryMilliseconds, attemptEnd.signal);
            continue;
        }
        log.request(envelope.requestId, "stream moved", {
            from: upstream.id,
            to: place.upstream.id,
            silentFor: Math.round(silence()),
            afterEvent: progress.lastEventId,
        });
        attemptEnd.abort();
        return place;
    }
    return undefined;
};
