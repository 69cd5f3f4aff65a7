/**
 * Whether a stream starts now, waits for a place or is refused.
 *
 * Load it answers: more callers than the groups can pace, for seconds or for the whole day. A stream that can't start
 * at once waits only as long as it can still meet its objective; what can't is refused at once and told when to come
 * back, spread over time so that returns don't arrive together. Callers come back once, within a third of the time they
 * have left.
 *
 * Tried and dropped: letting callers that are late already wait for 0.7 s behind the others. They took places that new
 * callers would have used in time, and four heavy days were worth 0.01 to 0.04 less.
 */
import { err, type Result } from "neverthrow";
import type { ErrorCode } from "../../state/errors.js";
import type { Priority } from "../../state/types.js";
import { createFairQueue, type FairQueue } from "../fairQueue.js";
import type { RequestContext, RequestDependencies } from "./requestContext.js";
import type { StreamReservation, StreamScheduler } from "./streamScheduler.js";

export type AdmissionRefusal = {
    kind: ErrorCode;
    retryAfterMilliseconds: number;
    /** What decided it, for the log. */
    details: Record<string, unknown>;
};

export type StreamAdmission = {
    enter: (context: RequestContext) => Promise<Result<StreamReservation, AdmissionRefusal>>;
    /** To be called when places may have become free. */
    retryQueued: () => void;
    /** When a caller that is refused now may come back. */
    suggestedRetryMilliseconds: () => number;
};

/** Share of the objective that may go into waiting; the rest is for prefill and one pass. */
const queueingShareOfObjective = 0.35;
/** Waiting streams of one service; at the sites' rates these start within the wait or not at all. */
const queueLimit = 16;
/** Returns are spread over the time in which running streams end. */
const minimumRetryAfterMilliseconds = 800;
const retryAfterSpreadMilliseconds = 1_700;
/** A group needs over two seconds to form anew, so callers come back as late as they may. */
const stalledRetryAfterMilliseconds = 2_300;
const stalledRetryAfterSpreadMilliseconds = 400;

const queuePriority = (priority: number): Priority =>
    priority === 0 ? "interactive" : priority === 1 ? "standard" : "batch";

export const createStreamAdmission = (
    scheduler: StreamScheduler,
    { clock, random }: RequestDependencies,
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
    const suggestedRetryAfterStall = (): number =>
        stalledRetryAfterMilliseconds + random() * stalledRetryAfterSpreadMilliseconds;

    return {
        enter: async context => {
            const { service, route, envelope, clientAccount, priority, arrivedAt, responseDueAt: answerBy, signal } =
                context;
            if (!scheduler.hasUpstream(service, noneExcluded)) {
                const details = { reason: "no group that runs", groups: scheduler.groups() };
                return err({
                    kind: "no-upstream",
                    retryAfterMilliseconds: suggestedRetryAfterStall(),
                    details: details,
                });
            }
            const queue = queueOf(service);
            const entered = await queue.submit<StreamReservation>({
                clientAccount: clientAccount ?? "",
                priority: queuePriority(priority),
                tokens: envelope.promptTokens + envelope.maximumAnswerTokens,
                startDeadline: Math.min(answerBy, arrivedAt + route.objectiveMilliseconds * queueingShareOfObjective),
                tryStart: () => {
                    const reservation = scheduler.reserve(service, noneExcluded, "new");
                    return reservation === undefined ? { kind: "wait" } : { kind: "done", value: reservation };
                },
            }, signal);
            return entered.mapErr(({ kind }) => ({
                kind: kind === "full" ? "queue-full" : "cannot-start-in-time",
                retryAfterMilliseconds: suggestedRetryMilliseconds(),
                details: { queued: queue.length(), groups: scheduler.groups() },
            }));
        },
        retryQueued: () => queues.forEach(queue => queue.dispatch()),
        suggestedRetryMilliseconds: suggestedRetryMilliseconds,
    };
};
