/**
 * Admission control for streams: starts a stream, queues it or refuses it.
 *
 * It handles more callers than the groups can serve at the required pace, for seconds or for the whole day. A stream
 * that can't start at once is queued only if it is expected to start within its latency objective; any other is refused
 * at once. Refusals carry a randomized retry time, so that retries don't arrive together; callers retry once, within a
 * third of the time they have left.
 *
 * Streams that can no longer meet their objective are not queued behind the others for another 0.7 s: they took
 * capacity that new streams would have used in time, and lowered the score of four days of heavy load by 0.01 to 0.04.
 */
import { err, ok, type Result } from "neverthrow";
import type { Hold } from "../../state/crashEvidence.js";
import type { ErrorCode } from "../../state/errors.js";
import type { Priority } from "../../state/types.js";
import { createFairQueue, type FairQueue } from "../fairQueue.js";
import type { RecoveryWait } from "./recoveryWait.js";
import type { RequestContext, RequestDependencies } from "./requestContext.js";
import { suspectTraits } from "./requestTraits.js";
import type { StreamReservation, StreamScheduler } from "./streamScheduler.js";
import type { LimitState } from "./upstreamLimits.js";
import type { UrgencyDecision, UrgencyShares } from "./urgencyShares.js";

export type AdmissionRefusal = {
    kind: ErrorCode;
    /** Undefined if the caller should not come again. */
    retryAfterMilliseconds: number | undefined;
    /** The inputs of the decision, for the log. */
    details: Record<string, unknown>;
};

export type StreamAdmission = {
    enter: (context: RequestContext) => Promise<Result<StreamReservation, AdmissionRefusal>>;
    /** Offers free capacity to queued streams; called when some may have become available. */
    retryQueued: () => void;
    /** Randomized time after which a caller that is refused now should retry. */
    suggestedRetryMilliseconds: () => number;
    /** Position in the queues of engines; undefined where the engines' own order is left as it is. */
    queuePriority: (context: Pick<RequestContext, "service" | "urgency">) => number | undefined;
};

/** The rest of the objective is for prefill and one forward pass. */
const queueingShareOfObjective = 0.35;
/**
 * Streams queued per service; at the rates of the deployments in use, streams further back would not start within their
 * wait.
 */
const queueLimit = 16;
/** Retries are spread over the time in which running streams end. */
const minimumRetryAfterMilliseconds = 800;
const retryAfterSpreadMilliseconds = 1_700;
/** A stalled group takes over two seconds to re-form, so callers retry as late as their deadline allows. */
const stalledRetryAfterMilliseconds = 2_300;
const stalledRetryAfterSpreadMilliseconds = 400;

/** Each denial costs a round trip to another entry, so a stream then goes to an upstream without a limit if it can. */
const deniedUntilUnlimited = 2;

/** Parts that take effect only where the configuration or the settings call for them. */
export type StreamAdmissionParts = { urgencyShares?: UrgencyShares; recoveryWait?: RecoveryWait | undefined; };

const localPriority = (priority: number): Priority =>
    priority === 0 ? "interactive" : priority === 1 ? "standard" : "batch";

export const createStreamAdmission = (
    scheduler: StreamScheduler,
    { clock, random, crashEvidence, upstreamLimits, log, metrics }: RequestDependencies,
    { urgencyShares, recoveryWait }: StreamAdmissionParts = {},
): StreamAdmission => {
    const queues = new Map<string, FairQueue>();
    const noneExcluded: ReadonlySet<string> = new Set();

    const queueOf = (service: string): FairQueue => {
        const queue = queues.get(service) ?? createFairQueue(clock, () => queueLimit);
        queues.set(service, queue);
        return queue;
    };

    const suggestedRetryMilliseconds = (): number =>
        minimumRetryAfterMilliseconds + random() * retryAfterSpreadMilliseconds;
    /** The division of capacity, as it concerns one stream; undefined if the routes of its service don't differ. */
    const sharesFor = ({ service, urgency }: Pick<RequestContext, "service" | "urgency">) =>
        urgencyShares === undefined || urgency === undefined ? undefined : {
            decide: () => urgencyShares.decide(service, urgency),
            heldBackPlaces: () => urgencyShares.heldBackPlaces(service, urgency),
            queuePriority: () => urgencyShares.queuePriority(service, urgency),
            retryAfterMilliseconds: (callerDeadlineAt: number) =>
                urgencyShares.retryAfterMilliseconds(service, callerDeadlineAt),
            recordWait: () => urgencyShares.demand.recordWait(service, urgency),
            recordStart: () => urgencyShares.demand.recordStart(service, urgency),
        };
    const retryMilliseconds = (context: RequestContext): number =>
        sharesFor(context)?.retryAfterMilliseconds(context.callerDeadlineAt) ?? suggestedRetryMilliseconds();
    const suggestedRetryAfterStall = (): number =>
        stalledRetryAfterMilliseconds + random() * stalledRetryAfterSpreadMilliseconds;

    const heldBack = (hold: Hold): AdmissionRefusal => ({
        kind: "crashes-upstreams",
        retryAfterMilliseconds: undefined,
        details: { hold },
    });

    const noUpstream = (service: string): AdmissionRefusal => {
        const pauseMilliseconds = scheduler.pauseMilliseconds(service);
        return {
            kind: "no-upstream",
            retryAfterMilliseconds: pauseMilliseconds === undefined
                ? suggestedRetryAfterStall()
                : pauseMilliseconds + random() * retryAfterSpreadMilliseconds,
            details: {
                reason: pauseMilliseconds === undefined
                    ? "no running group has a usable upstream"
                    : "all upstreams asked for a pause",
                groups: scheduler.groups(),
            },
        };
    };

    const allLimited = ({ millisecondsUntilOpen, limited }: LimitState): AdmissionRefusal => ({
        kind: "upstreams-limited",
        retryAfterMilliseconds: Math.max(millisecondsUntilOpen, minimumRetryAfterMilliseconds)
            + random() * retryAfterSpreadMilliseconds,
        details: { opensIn: Math.round(millisecondsUntilOpen), limited },
    });

    const startDeadlineOf = (
        { route, arrivedAt, responseDueAt }: Pick<RequestContext, "route" | "arrivedAt" | "responseDueAt">,
    ): number => Math.min(responseDueAt, arrivedAt + route.objectiveMilliseconds * queueingShareOfObjective);

    const retryQueued = (): void => queues.forEach(queue => queue.dispatch());

    /** Waits for a place; it may be on an upstream that is at the limit on requests that it states. */
    const waitForPlace = async (
        context: RequestContext,
        prefersUnlimited: boolean,
        decision: UrgencyDecision | undefined,
    ): Promise<Result<StreamReservation, AdmissionRefusal>> => {
        const { service, route, envelope, clientAccount, cost, arrivedAt, responseDueAt, traits, signal } = context;
        const queue = queueOf(service);
        const startDeadline = startDeadlineOf({ route, arrivedAt, responseDueAt });
        const entered = await queue.submit<Result<StreamReservation, AdmissionRefusal>>({
            clientAccount: clientAccount ?? "",
            priority: context.urgency ?? localPriority(context.priority),
            tokens: envelope.promptTokens + envelope.maximumAnswerTokens,
            startDeadline,
            tryStart: () => {
                const hold = crashEvidence.holdOf(suspectTraits(traits), false);
                if (hold !== undefined) {
                    return { kind: "done", value: err(heldBack(hold)) };
                }
                const reservation = scheduler.reserve(service, noneExcluded, {
                    admissionClass: "new",
                    prefersUnlimited,
                    ...decision === undefined
                        ? {}
                        : { heldBackPlaces: sharesFor(context)?.heldBackPlaces() ?? 0 },
                    cost,
                });
                if (reservation !== undefined) {
                    return { kind: "done", value: ok(reservation) };
                }
                if (!scheduler.hasUpstream(service, noneExcluded)) {
                    return { kind: "done", value: err(noUpstream(service)) };
                }
                const limitState = scheduler.limitState(service, noneExcluded);
                const opensTooLate = limitState.millisecondsUntilOpen > 0
                    && clock.now() + limitState.millisecondsUntilOpen >= startDeadline;
                return opensTooLate ? { kind: "done", value: err(allLimited(limitState)) } : { kind: "wait" };
            },
        }, signal);
        return entered.mapErr(({ kind }): AdmissionRefusal => ({
            kind: kind === "full" ? "queue-full" : "cannot-start-in-time",
            retryAfterMilliseconds: retryMilliseconds(context),
            details: { queued: queue.length(), groups: scheduler.groups() },
        })).andThen(started => started);
    };

    /** Whether the stream may go on, now that a group runs again. */
    const waitForRecovery = async (context: RequestContext): Promise<boolean> => {
        if (recoveryWait === undefined || !scheduler.isRecovering(context.service)) {
            return false;
        }
        const hasRecovered = await recoveryWait.untilRecovered(context);
        metrics.count(`ingress_recovery_waits_total{recovered="${hasRecovered}"}`);
        log.request(context.envelope.requestId, "waited for a group to recover", {
            hasRecovered,
            afterMilliseconds: Math.round(clock.now() - context.arrivedAt),
        });
        return hasRecovered && scheduler.hasUpstream(context.service, noneExcluded);
    };

    return {
        enter: async context => {
            const { service, signal } = context;
            const hold = crashEvidence.holdOf(suspectTraits(context.traits), false);
            if (hold !== undefined) {
                return err(heldBack(hold));
            }
            if (!scheduler.hasUpstream(service, noneExcluded) && !await waitForRecovery(context)) {
                return err(noUpstream(service));
            }
            const shares = sharesFor(context);
            const decision = shares?.decide();
            if (decision?.kind === "outranked") {
                return err({
                    kind: "outranked",
                    retryAfterMilliseconds: retryMilliseconds(context),
                    details: { ...decision.details, groups: scheduler.groups() },
                });
            }
            for (let denied = 0;; denied += 1) {
                const endWait = shares?.recordWait();
                const place = await waitForPlace(context, denied >= deniedUntilUnlimited, decision);
                endWait?.();
                if (place.isErr()) {
                    return place;
                }
                if (await upstreamLimits.take(place.value.upstream, signal) || signal.aborted) {
                    shares?.recordStart();
                    return place;
                }
                place.value.release();
                retryQueued();
                if (clock.now() > startDeadlineOf(context) && denied >= deniedUntilUnlimited) {
                    return err(allLimited(scheduler.limitState(service, noneExcluded)));
                }
            }
        },
        retryQueued,
        suggestedRetryMilliseconds,
        queuePriority: context => sharesFor(context)?.queuePriority(),
    };
};
