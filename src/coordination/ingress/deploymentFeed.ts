/**
 * Follows the operator's configuration and the list of upstreams in the platform's store.
 *
 * Both are awaited by long polls: the store adds a record only where more than a heartbeat changed. A poll whose
 * connection fell silent would hide changes, so a probe now and then shows whether the store answers (see
 * `storeWatch.ts`). Whichever call finds the store gone ends the others, and a poll asks anew when another entry has
 * records that it lacks.
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

/** `truncated`: the records asked for are deleted, and the whole topic is to be read anew. */
export type FeedFailure = { kind: "truncated" | "unavailable"; reason: string; };

export type FeedBatch = { records: FeedRecord[]; nextOffset: number; };

export type DeploymentFeed = {
    /** The newest record of each key. */
    readAll: (topic: FeedTopic, signal: AbortSignal) => Promise<Result<FeedBatch, FeedFailure>>;
    /** All records from `offset` on, waiting for the first if there is none. */
    readNewer: (topic: FeedTopic, offset: number, waitMilliseconds: number, signal: AbortSignal) => Promise<
        Result<FeedBatch, FeedFailure>
    >;
};

export type FeedSink = {
    /** Takes all records of a topic; what is not among them no longer holds. */
    replace: (topic: FeedTopic, records: FeedRecord[]) => void;
    /** Takes records that follow those taken before. */
    apply: (records: FeedRecord[]) => void;
    markStoreUnavailable: () => void;
    markStoreAvailable: () => void;
};

/** Each long poll is priced, and the store lets none wait longer than 30 s. */
const longPollMilliseconds = 25_000;
/** A change reaches every entry's own long poll within some milliseconds; one that lacks it after this asks again. */
const lagGraceMilliseconds = 300;
/** Soon enough to serve within a second of the store's return, slow enough to cost two calls a second. */
const retryIntervalMilliseconds = 400;

/** Between two looks at whether a probe is due, while none is. */
const probeCheckIntervalMilliseconds = 50;

const followedTopics: FeedTopic[] = ["operator", "upstreams"];

export type DeploymentFollowerOptions = {
    feed: DeploymentFeed;
    sink: FeedSink;
    storeMonitor: StoreMonitor;
    /** Called after the store answered, so that the others hear of it soon. */
    onStoreContact: () => void;
    clock: Clock;
    log: IngressLog;
    random: () => number;
    signal: AbortSignal;
};

export type DeploymentFollower = {
    /** To be called after another entry's news of the store were heard. */
    checkPeerOffsets: () => void;
};

export const followDeployment = (options: DeploymentFollowerOptions): DeploymentFollower => {
    const { feed, sink, storeMonitor: storeMonitor, onStoreContact: onStoreContact, clock, log, random, signal } =
        options;
    let isStoreLost = false;
    /** Topics in which others are ahead, while they get the chance to come by themselves. */
    const topicsAwaitingLagCheck = new Set<FeedTopic>();
    /** End the polls under way; `signal` does so too. */
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
        if (kind === "unavailable" && !isStoreLost) {
            isStoreLost = true;
            sink.markStoreUnavailable();
            log.dependency("store", "lost", { reason });
            followedTopics.forEach(restartPoll);
        }
    };

    const handleContact = (): void => {
        storeMonitor.recordContact();
        onStoreContact();
        if (isStoreLost) {
            isStoreLost = false;
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
                // While the store is away nothing is worth a wait: the first answer shows that it is back.
                : await feed.readNewer(topic, offset, isStoreLost ? 0 : longPollMilliseconds, pollSignal);
            if (batch.isErr()) {
                // A call that was ended from here says nothing about the store.
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

    /** The polls find out by themselves when the store is back. */
    const probe = async (): Promise<void> => {
        while (!signal.aborted) {
            const delayMilliseconds = storeMonitor.millisecondsUntilProbe();
            const offsets = storeMonitor.readStatus()?.offsets;
            if (delayMilliseconds > 0 || isStoreLost || offsets === undefined) {
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
                // The poll waits for records that are deleted; it finds that out when it asks anew.
                restartPoll("upstreams");
            }
            await clock.sleep(retryIntervalMilliseconds, signal);
        }
    };

    /** Lets the poll bring what it lacks by itself; one that doesn't is asked anew. */
    const scheduleLagCheck = (topic: FeedTopic): void => {
        if (topicsAwaitingLagCheck.has(topic)) {
            return;
        }
        topicsAwaitingLagCheck.add(topic);
        const offsetBefore = storeMonitor.readStatus()?.offsets[topic];
        void clock.sleep(lagGraceMilliseconds, signal).then(() => {
            topicsAwaitingLagCheck.delete(topic);
            if (storeMonitor.readStatus()?.offsets[topic] === offsetBefore) {
                log.stateChange("poll brings nothing though others have more", { topic, offset: offsetBefore });
                restartPoll(topic);
            }
        });
    };

    followedTopics.forEach(topic => void follow(topic));
    void probe();
    return { checkPeerOffsets: () => followedTopics.filter(storeMonitor.isBehind).forEach(scheduleLagCheck) };
};
