/**
 * This entry's own calls to the platform's store, and whether the store serves it.
 *
 * Topics are stored apart and may be silent one by one, so that is known by topic. A call without an answer ends the other
 * running calls for its topic: they wait at the same partition, and maybe on connections that fell silent with its own.
 */
import type { Result } from "neverthrow";
import type { Clock } from "../../state/types.js";
import type { IngressLog } from "./ingressLog.js";
import { type FeedFailure, type FeedTopic, feedTopics, type RecordBatch, type RecordSource } from "./recordSource.js";
import type { TopicFreshness } from "./topicFreshness.js";

export type StoreAccess = RecordSource & {
    /** Whether the store answered the latest call for the topic; true before the first. */
    isServed: (topic: FeedTopic) => boolean;
    /** The topics for which it did not. */
    unserved: () => FeedTopic[];
    /** When the store last answered a call for the topic. */
    answeredAt: (topic: FeedTopic) => number | undefined;
};

export type StoreAccessOptions = {
    store: RecordSource;
    freshness: Pick<TopicFreshness, "recordAnswer">;
    /** Called when the store can't continue a topic from where it was read. */
    onTruncated: () => void;
    /** Called when the other entries should soon hear what the store answered, or that it did not. */
    onNews: () => void;
    clock: Pick<Clock, "now">;
    log: IngressLog;
};

/** The other entries probe the store for a topic when they have heard of no answer for a little longer. */
const publishAnswerAfterMilliseconds = 500;

export const createStoreAccess = (options: StoreAccessOptions): StoreAccess => {
    const { store, freshness, onTruncated, onNews, clock, log } = options;
    const unserved = new Set<FeedTopic>();
    const answeredAt = new Map<FeedTopic, number>();
    const runningCalls = new Map<AbortController, FeedTopic>();

    const isServed = (topic: FeedTopic): boolean => !unserved.has(topic);

    const setServed = (topic: FeedTopic, isServedNow: boolean, reason: string): void => {
        if (isServed(topic) === isServedNow) {
            return;
        }
        if (isServedNow) {
            unserved.delete(topic);
        }
        else {
            unserved.add(topic);
        }
        log.stateChange(isServedNow ? "store serves this entry again" : "store does not serve this entry", {
            topic,
            reason,
        });
        onNews();
    };

    const recordAnswer = (topic: FeedTopic, askedAt: number, batch: RecordBatch | undefined): void => {
        const silentFor = clock.now() - (answeredAt.get(topic) ?? -Infinity);
        answeredAt.set(topic, clock.now());
        freshness.recordAnswer(topic, askedAt, batch?.next);
        setServed(topic, true, "it answered");
        if (silentFor > publishAnswerAfterMilliseconds) {
            onNews();
        }
    };

    const call = async (
        topic: FeedTopic,
        callerSignal: AbortSignal,
        read: (signal: AbortSignal) => Promise<Result<RecordBatch, FeedFailure>>,
    ): Promise<Result<RecordBatch, FeedFailure>> => {
        const askedAt = clock.now();
        const controller = new AbortController();
        const abort = (): void => controller.abort(callerSignal.reason);
        callerSignal.addEventListener("abort", abort, { once: true });
        if (callerSignal.aborted) {
            abort();
        }
        runningCalls.set(controller, topic);
        const result = await read(controller.signal);
        callerSignal.removeEventListener("abort", abort);
        runningCalls.delete(controller);
        result.match(
            batch => recordAnswer(topic, askedAt, batch),
            ({ kind, reason }) => {
                if (kind === "truncated") {
                    recordAnswer(topic, askedAt, undefined);
                    onTruncated();
                }
                else if (!controller.signal.aborted) {
                    setServed(topic, false, reason);
                    [...runningCalls].filter(([, called]) => called === topic).forEach(([other]) => other.abort());
                }
            },
        );
        return result;
    };

    return {
        readAll: (topic, signal) => call(topic, signal, callSignal => store.readAll(topic, callSignal)),
        readNewer: (topic, from, waitMilliseconds, signal) =>
            call(topic, signal, callSignal => store.readNewer(topic, from, waitMilliseconds, callSignal)),
        isServed,
        unserved: () => feedTopics.filter(topic => unserved.has(topic)),
        answeredAt: topic => answeredAt.get(topic),
    };
};
