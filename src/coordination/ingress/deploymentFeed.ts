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
import type { StoreWatch } from "./storeWatch.js";

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

export type FeedSlice = { records: FeedRecord[]; nextOffset: number; };

export type DeploymentFeed = {
    /** The newest record of each key. */
    readAll: (topic: FeedTopic, signal: AbortSignal) => Promise<Result<FeedSlice, FeedFailure>>;
    /** All records from `offset` on, waiting for the first if there is none. */
    readNewer: (topic: FeedTopic, offset: number, waitMilliseconds: number, signal: AbortSignal) => Promise<
        Result<FeedSlice, FeedFailure>
    >;
};

export type FeedSink = {
    /** Takes all records of a topic; what is not among them no longer holds. */
    replace: (topic: FeedTopic, records: FeedRecord[]) => void;
    /** Takes records that follow those taken before. */
    apply: (records: FeedRecord[]) => void;
    storeLost: () => void;
    storeRegained: () => void;
};

/** Each long poll is priced, and the store lets none wait longer than 30 s. */
const pollMilliseconds = 25_000;
/** A change reaches every entry's own long poll within some milliseconds; one that lacks it after this asks again. */
const behindMilliseconds = 300;
/** Soon enough to serve within a second of the store's return, slow enough to cost two calls a second. */
const retryPaceMilliseconds = 400;

/** Between two looks at whether a probe is due, while none is. */
const idleProbeMilliseconds = 50;

const followedTopics: FeedTopic[] = ["operator", "upstreams"];

export type FollowOptions = {
    feed: DeploymentFeed;
    sink: FeedSink;
    watch: StoreWatch;
    /** Called after the store answered, so that the others hear of it soon. */
    onContact: () => void;
    clock: Clock;
    log: IngressLog;
    random: () => number;
    signal: AbortSignal;
};

export type DeploymentFollower = {
    /** To be called after another entry's news of the store were heard. */
    newsHeard: () => void;
};

export const followDeployment = (options: FollowOptions): DeploymentFollower => {
    const { feed, sink, watch, onContact, clock, log, random, signal } = options;
    let isLost = false;
    /** Topics in which others are ahead, while they get the chance to come by themselves. */
    const lagging = new Set<FeedTopic>();
    /** End the polls under way; `signal` does so too. */
    const polls: Record<FeedTopic, AbortController> = {
        operator: new AbortController(),
        upstreams: new AbortController(),
    };
    const askAnew = (topic: FeedTopic): void => {
        polls[topic].abort();
        polls[topic] = new AbortController();
    };
    signal.addEventListener("abort", () => followedTopics.forEach(topic => polls[topic].abort()), { once: true });

    const reportFailure = (topic: FeedTopic, { kind, reason }: FeedFailure): void => {
        const lastContact = watch.lastContact();
        const lastContactAgo = lastContact === undefined ? undefined : Math.round(clock.now() - lastContact);
        log.belief("store read failed", { topic, failure: kind, reason, lastContactAgo });
        if (kind === "unavailable" && !isLost) {
            isLost = true;
            sink.storeLost();
            log.dependency("store", "lost", { reason });
            followedTopics.forEach(askAnew);
        }
    };

    const reportContact = (): void => {
        watch.contact();
        onContact();
        if (isLost) {
            isLost = false;
            sink.storeRegained();
            log.dependency("store", "regained", {});
        }
    };

    const follow = async (topic: FeedTopic): Promise<void> => {
        let offset: number | undefined;
        while (!signal.aborted) {
            const poll = polls[topic].signal;
            const slice = offset === undefined
                ? await feed.readAll(topic, poll)
                // While the store is away nothing is worth a wait: the first answer shows that it is back.
                : await feed.readNewer(topic, offset, isLost ? 0 : pollMilliseconds, poll);
            if (slice.isErr()) {
                // A call that was ended from here says nothing about the store.
                if (!poll.aborted) {
                    reportFailure(topic, slice.error);
                }
                offset = slice.error.kind === "truncated" ? undefined : offset;
                await clock.sleep(poll.aborted ? 0 : retryPaceMilliseconds * (0.5 + random()), signal);
                continue;
            }
            reportContact();
            if (offset === undefined) {
                sink.replace(topic, slice.value.records);
            }
            else {
                sink.apply(slice.value.records);
            }
            offset = slice.value.nextOffset;
            watch.haveRead(topic, offset);
        }
    };

    /** The polls find out by themselves when the store is back. */
    const probe = async (): Promise<void> => {
        while (!signal.aborted) {
            const dueIn = watch.probeDueIn();
            const offsets = watch.news()?.offsets;
            if (dueIn > 0 || isLost || offsets === undefined) {
                await clock.sleep(Math.max(dueIn, idleProbeMilliseconds), signal);
                continue;
            }
            const answered = await feed.readNewer("upstreams", offsets.upstreams, 0, signal);
            if (answered.isOk()) {
                reportContact();
                if (answered.value.records.length > 0) {
                    checkLater("upstreams");
                }
                continue;
            }
            reportFailure("upstreams", answered.error);
            if (answered.error.kind === "truncated") {
                // The poll waits for records that are deleted; it finds that out when it asks anew.
                askAnew("upstreams");
            }
            await clock.sleep(retryPaceMilliseconds, signal);
        }
    };

    /** Lets the poll bring what it lacks by itself; one that doesn't is asked anew. */
    const checkLater = (topic: FeedTopic): void => {
        if (lagging.has(topic)) {
            return;
        }
        lagging.add(topic);
        const lacked = watch.news()?.offsets[topic];
        void clock.sleep(behindMilliseconds, signal).then(() => {
            lagging.delete(topic);
            if (watch.news()?.offsets[topic] === lacked) {
                log.belief("poll brings nothing though others have more", { topic, offset: lacked });
                askAnew(topic);
            }
        });
    };

    followedTopics.forEach(topic => void follow(topic));
    void probe();
    return { newsHeard: () => followedTopics.filter(watch.isBehind).forEach(checkLater) };
};
