/**
 * Follows the operator's configuration and the list of upstreams in the platform's store.
 *
 * Operator changes are awaited by a long poll, as they are rare. Upstreams are read when `SharedReads` finds it due, since
 * each of them writes about once a second and a long poll would be answered at each of those writes. Whichever loop finds
 * the store gone wakes the other, and so does another entry that has newer records of the operator, so that a connection
 * which went silent can't hide a change for the length of a long poll.
 */
import type { Result } from "neverthrow";
import type { IngressConfiguration, Upstream } from "../../state/ingressTypes.js";
import type { Clock } from "../../state/types.js";
import type { IngressLog } from "./ingressLog.js";
import type { SharedReads } from "./sharedReads.js";

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
    /** Takes records that follow those taken before; gives how many there are up to the last that changed anything. */
    apply: (records: FeedRecord[]) => number;
    storeLost: () => void;
    storeRegained: () => void;
};

/** Each long poll is priced, and the store lets none wait longer than 30 s. */
const operatorWaitMilliseconds = 25_000;
/** A change reaches every entry's own long poll within some milliseconds; one that lacks it after this asks again. */
const behindMilliseconds = 300;
/** Soon enough to serve within a second of the store's return, slow enough to cost two calls a second. */
const retryPaceMilliseconds = 400;

export type FollowOptions = {
    feed: DeploymentFeed;
    sink: FeedSink;
    reads: SharedReads;
    /** Called after the list of upstreams was read, so that the others hear of it soon. */
    onListRead: () => void;
    clock: Clock;
    log: IngressLog;
    random: () => number;
    signal: AbortSignal;
};

export type DeploymentFollower = {
    /** To be called after another entry's news of its reads were heard. */
    newsHeard: () => void;
};

/** Starts both loops. */
export const followDeployment = (options: FollowOptions): DeploymentFollower => {
    const { feed, sink, reads, onListRead, clock, log, random, signal } = options;
    let isLost = false;
    let isBehind = false;
    /** Ends the wait for the next read of upstreams. */
    let nap = new AbortController();
    /** End the calls and waits under way of the loop; `signal` does so too. */
    const wakes: Record<FeedTopic, AbortController> = {
        operator: new AbortController(),
        upstreams: new AbortController(),
    };
    const wake = (topic: FeedTopic): void => {
        wakes[topic].abort();
        wakes[topic] = new AbortController();
    };
    signal.addEventListener("abort", () => Object.values(wakes).forEach(controller => controller.abort()), {
        once: true,
    });

    const reportFailure = (topic: FeedTopic, { kind, reason }: FeedFailure): void => {
        const lastContact = reads.lastContact();
        const lastContactAgo = lastContact === undefined ? undefined : Math.round(clock.now() - lastContact);
        log.belief("store read failed", { topic, failure: kind, reason, lastContactAgo });
        if (kind === "unavailable" && !isLost) {
            isLost = true;
            sink.storeLost();
            log.dependency("store", "lost", { reason });
            wake("operator");
            wake("upstreams");
        }
    };

    const reportContact = (): void => {
        reads.contact();
        if (isLost) {
            isLost = false;
            sink.storeRegained();
            log.dependency("store", "regained", {});
        }
    };

    /** Reads on from `offset`, or everything; undefined after a failure, once the next try is due. */
    const readOn = async (
        topic: FeedTopic,
        offset: number | undefined,
        waitMilliseconds: number,
    ): Promise<FeedSlice | FeedFailure> => {
        const call = wakes[topic].signal;
        const slice = offset === undefined
            ? await feed.readAll(topic, call)
            : await feed.readNewer(topic, offset, waitMilliseconds, call);
        if (slice.isOk()) {
            reportContact();
            return slice.value;
        }
        // A call that was ended from here says nothing about the store.
        if (!call.aborted) {
            reportFailure(topic, slice.error);
            await clock.sleep(retryPaceMilliseconds * (0.5 + random()), signal);
        }
        return slice.error;
    };

    const offsetAfter = (offset: number | undefined, { kind }: FeedFailure): number | undefined =>
        kind === "truncated" ? undefined : offset;

    const followOperator = async (): Promise<void> => {
        let offset: number | undefined;
        while (!signal.aborted) {
            const slice = await readOn("operator", offset, operatorWaitMilliseconds);
            if ("kind" in slice) {
                offset = offsetAfter(offset, slice);
                continue;
            }
            if (offset === undefined) {
                sink.replace("operator", slice.records);
            }
            else {
                sink.apply(slice.records);
            }
            offset = slice.nextOffset;
            reads.operatorRead(offset);
        }
    };

    const followUpstreams = async (): Promise<void> => {
        let offset: number | undefined;
        let changedBefore = 0;
        while (!signal.aborted) {
            const dueIn = reads.listDueIn();
            if (offset !== undefined && !isLost && dueIn > 0) {
                nap = new AbortController();
                await clock.sleep(dueIn, AbortSignal.any([nap.signal, wakes.upstreams.signal]));
                continue;
            }
            const slice = await readOn("upstreams", offset, 0);
            if ("kind" in slice) {
                offset = offsetAfter(offset, slice);
                continue;
            }
            if (offset === undefined) {
                sink.replace("upstreams", slice.records);
                changedBefore = slice.nextOffset;
            }
            else {
                const changed = sink.apply(slice.records);
                changedBefore = changed > 0 ? offset + changed : changedBefore;
            }
            offset = slice.nextOffset;
            reads.listRead(offset, changedBefore);
            onListRead();
        }
    };

    const askAgainWhileBehind = async (): Promise<void> => {
        isBehind = true;
        await clock.sleep(behindMilliseconds, signal);
        isBehind = false;
        if (reads.isOperatorBehind()) {
            log.belief("others have newer records of the operator", {});
            wake("operator");
        }
    };

    void followOperator();
    void followUpstreams();
    return {
        newsHeard: () => {
            if (reads.listDueIn() <= 0) {
                nap.abort();
            }
            if (reads.isOperatorBehind() && !isBehind) {
                void askAgainWhileBehind();
            }
        },
    };
};
