/**
 * Follows the operator's configuration and the list of upstreams in the platform's store.
 *
 * Both are read by long polls, as new records are rare: the store appends a record that an upstream writes as a
 * heartbeat only if anything else in it changed. A poll that hangs on a dead connection would hide changes, so
 * occasional probes check that the store responds (see `storeMonitor.ts`). The first call that finds the store
 * unavailable aborts the polls, and a poll is restarted if another entry has read records that this one has not.
 */
import type { Result } from "neverthrow";
import type { IngressConfiguration, Upstream } from "../../state/ingressTypes.js";
import type { Clock } from "../../state/types.js";
import type { IngressLog } from "./ingressLog.js";
import type { StoreMonitor } from "./storeMonitor.js";

export type FeedTopic = "operator" | "upstreams";

export type FeedRecord =
    | { kind: "configuration"; configuration: IngressConfiguration; }
    | { kind: "zone-evacuated"; availabilityZone: string; }
    | { kind: "zone-returned"; availabilityZone: string; }
    | { kind: "upstream"; upstream: Upstream; }
    | { kind: "upstream-gone"; id: string; }
    | { kind: "unreadable"; key: string; reason: string; };

/** `truncated`: the requested records have been deleted, and the whole topic must be read again. */
export type FeedFailure = { kind: "truncated" | "unavailable"; reason: string; };

export type FeedBatch = { records: FeedRecord[]; nextOffset: number; };

export type DeploymentFeed = {
    /** The newest record of each key. */
    readAll: (topic: FeedTopic, signal: AbortSignal) => Promise<Result<FeedBatch, FeedFailure>>;
    /** All records from `offset` on; if there are none, waits up to `waitMilliseconds` for the first. */
    readNewer: (topic: FeedTopic, offset: number, waitMilliseconds: number, signal: AbortSignal) => Promise<
        Result<FeedBatch, FeedFailure>
    >;
};

export type FeedSink = {
    /** Replaces the state of a topic by these records; what they don't contain is removed. */
    replace: (topic: FeedTopic, records: FeedRecord[]) => void;
    /** Applies records that follow those applied before. */
    apply: (records: FeedRecord[]) => void;
    markStoreUnavailable: () => void;
    markStoreAvailable: () => void;
};

/** The store charges for each poll and limits its wait to 30 s. */
const longPollMilliseconds = 25_000;
/** A change reaches each entry's long poll within milliseconds; a poll without it after this time is restarted. */
const lagGraceMilliseconds = 300;
/** Short enough to recover within a second of the store's return; costs about two calls a second. */
const retryIntervalMilliseconds = 400;

/** Interval between checks whether a probe is due. */
const probeCheckIntervalMilliseconds = 50;

const followedTopics: FeedTopic[] = ["operator", "upstreams"];

export type DeploymentFollowerOptions = {
    feed: DeploymentFeed;
    sink: FeedSink;
    storeMonitor: StoreMonitor;
    /** Called after each response of the store, so that other entries learn of it soon. */
    onStoreContact: () => void;
    clock: Clock;
    log: IngressLog;
    random: () => number;
    signal: AbortSignal;
};

export type DeploymentFollower = {
    /** To be called after a status from another entry was recorded. */
    checkPeerOffsets: () => void;
};

export const followDeployment = (options: DeploymentFollowerOptions): DeploymentFollower => {
    const { feed, sink, storeMonitor, onStoreContact, clock, log, random, signal } = options;
    let isStoreUnavailable = false;
    /** Topics in which another entry is ahead, while the running poll still has time to deliver the records. */
    const topicsAwaitingLagCheck = new Set<FeedTopic>();
    /** Abort the running polls; `signal` does so too. */
    const pollControllers: Record<FeedTopic, AbortController> = {
        operator: new AbortController(),
        upstreams: new AbortController(),
    };
    const restartPoll = (topic: FeedTopic): void => {
        pollControllers[topic].abort();
        pollControllers[topic] = new AbortController();
    };
    signal.addEventListener("abort", () => followedTopics.forEach(topic => pollControllers[topic].abort()), {
        once: true,
    });

    const handleFailure = (topic: FeedTopic, { kind, reason }: FeedFailure): void => {
        const lastContact = storeMonitor.lastContact();
        const lastContactAgo = lastContact === undefined ? undefined : Math.round(clock.now() - lastContact);
        log.stateChange("store read failed", { topic, failure: kind, reason, lastContactAgo });
        if (kind === "unavailable" && !isStoreUnavailable) {
            isStoreUnavailable = true;
            sink.markStoreUnavailable();
            log.dependency("store", "lost", { reason });
            followedTopics.forEach(restartPoll);
        }
    };

    const handleContact = (): void => {
        storeMonitor.recordContact();
        onStoreContact();
        if (isStoreUnavailable) {
            isStoreUnavailable = false;
            sink.markStoreAvailable();
            log.dependency("store", "regained", {});
        }
    };

    const follow = async (topic: FeedTopic): Promise<void> => {
        let offset: number | undefined;
        while (!signal.aborted) {
            const pollSignal = pollControllers[topic].signal;
            const batch = offset === undefined
                ? await feed.readAll(topic, pollSignal)
                // While the store is unavailable, polls don't wait: the first response shows its return.
                : await feed.readNewer(topic, offset, isStoreUnavailable ? 0 : longPollMilliseconds, pollSignal);
            if (batch.isErr()) {
                // A call that was aborted by this entry says nothing about the store.
                if (!pollSignal.aborted) {
                    handleFailure(topic, batch.error);
                }
                offset = batch.error.kind === "truncated" ? undefined : offset;
                await clock.sleep(pollSignal.aborted ? 0 : retryIntervalMilliseconds * (0.5 + random()), signal);
                continue;
            }
            handleContact();
            if (offset === undefined) {
                sink.replace(topic, batch.value.records);
            }
            else {
                sink.apply(batch.value.records);
            }
            offset = batch.value.nextOffset;
            storeMonitor.recordRead(topic, offset);
        }
    };

    /** Probes only while the store counts as available; otherwise the polls detect its return. */
    const probe = async (): Promise<void> => {
        while (!signal.aborted) {
            const delayMilliseconds = storeMonitor.millisecondsUntilProbe();
            const offsets = storeMonitor.readStatus()?.offsets;
            if (delayMilliseconds > 0 || isStoreUnavailable || offsets === undefined) {
                await clock.sleep(Math.max(delayMilliseconds, probeCheckIntervalMilliseconds), signal);
                continue;
            }
            const response = await feed.readNewer("upstreams", offsets.upstreams, 0, signal);
            if (response.isOk()) {
                handleContact();
                if (response.value.records.length > 0) {
                    scheduleLagCheck("upstreams");
                }
                continue;
            }
            handleFailure("upstreams", response.error);
            if (response.error.kind === "truncated") {
                // The running poll waits at an offset that has been deleted; a new poll finds that out.
                restartPoll("upstreams");
            }
            await clock.sleep(retryIntervalMilliseconds, signal);
        }
    };

    /** Gives the running poll time to deliver the missing records, and restarts it if it doesn't. */
    const scheduleLagCheck = (topic: FeedTopic): void => {
        if (topicsAwaitingLagCheck.has(topic)) {
            return;
        }
        topicsAwaitingLagCheck.add(topic);
        const offsetBefore = storeMonitor.readStatus()?.offsets[topic];
        void clock.sleep(lagGraceMilliseconds, signal).then(() => {
            topicsAwaitingLagCheck.delete(topic);
            if (storeMonitor.readStatus()?.offsets[topic] === offsetBefore) {
                log.stateChange("store poll restarted, peers have newer records", { topic, offset: offsetBefore });
                restartPoll(topic);
            }
        });
    };

    followedTopics.forEach(topic => void follow(topic));
    void probe();
    return { checkPeerOffsets: () => followedTopics.filter(storeMonitor.isBehind).forEach(scheduleLagCheck) };
};
