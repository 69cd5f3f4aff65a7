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
import type { RequestContext, SharedParts } from "./requestContext.js";
import type { Place, StreamPlaces } from "./streamPlaces.js";

export type AdmissionRefusal = {
    kind: ErrorCode;
    retryAfterMilliseconds: number;
    /** What decided it, for the log. */
    inputs: Record<string, unknown>;
};

export type StreamAdmission = {
    enter: (context: RequestContext) => Promise<Result<Place, AdmissionRefusal>>;
    /** To be called when places may have become free. */
    placeFreed: () => void;
    /** When a caller that is refused now may come back. */
    returnMilliseconds: () => number;
};

/** Share of the objective that may go into waiting; the rest is for prefill and one pass. */
const waitingShare = 0.35;
/** Waiting streams of one service; at the sites' rates these start within the wait or not at all. */
const queueLimit = 16;
/** Returns are spread over the time in which running streams end. */
const earliestReturnMilliseconds = 800;
const returnSpreadMilliseconds = 1_700;
/** A group needs over two seconds to form anew, so callers come back as late as they may. */
const stalledReturnMilliseconds = 2_300;
const stalledReturnSpreadMilliseconds = 400;

const priorityOf = (priority: number): Priority =>
    priority === 0 ? "interactive" : priority === 1 ? "standard" : "batch";

export const createStreamAdmission = (places: StreamPlaces, { clock, random }: SharedParts): StreamAdmission => {
    const queues = new Map<string, FairQueue>();
    const nothingAvoided: ReadonlySet<string> = new Set();

    const queueOf = (service: string): FairQueue => {
        const queue = queues.get(service) ?? createFairQueue(clock, () => queueLimit);
        queues.set(service, queue);
        return queue;
    };

    const returnMilliseconds = (): number => earliestReturnMilliseconds + random() * returnSpreadMilliseconds;
    const stalledReturn = (): number => stalledReturnMilliseconds + random() * stalledReturnSpreadMilliseconds;

    return {
        enter: async context => {
            const { service, route, envelope, clientAccount, priority, arrivedAt, answerBy, signal } = context;
            if (!places.hasUpstream(service, nothingAvoided)) {
                const inputs = { reason: "no group that runs", groups: places.groups() };
                return err({ kind: "no-upstream", retryAfterMilliseconds: stalledReturn(), inputs });
            }
            const queue = queueOf(service);
            const entered = await queue.enter<Place>({
                clientAccount: clientAccount ?? "",
                priority: priorityOf(priority),
                tokens: envelope.promptTokens + envelope.maximumAnswerTokens,
                startBy: Math.min(answerBy, arrivedAt + route.objectiveMilliseconds * waitingShare),
                tryStart: () => {
                    const place = places.take(service, nothingAvoided, "new");
                    return place === undefined ? { kind: "wait" } : { kind: "done", value: place };
                },
            }, signal);
            return entered.mapErr(({ kind }) => ({
                kind: kind === "full" ? "queue-full" : "cannot-start-in-time",
                retryAfterMilliseconds: returnMilliseconds(),
                inputs: { queued: queue.length(), groups: places.groups() },
            }));
        },
        placeFreed: () => queues.forEach(queue => queue.pump()),
        returnMilliseconds,
    };
};
