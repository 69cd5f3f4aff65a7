/**
 * Follows the operator's configuration and the list of upstreams in the platform's store.
 *
 * Operator changes are awaited by a long poll, as they are rare. Upstreams are read at a steady pace, since each of them
 * writes about once a second and a long poll would be answered at each of those writes. Whichever loop finds the store
 * gone wakes the other, so that a connection which went silent can't hide a change for the length of a long poll.
 */
import type { Result } from "neverthrow";
import type { IngressConfiguration, Upstream } from "../../state/ingressTypes.js";
import type { Clock } from "../../state/types.js";
import type { IngressLog } from "./ingressLog.js";

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

/** Each long poll is priced; a connection that went silent is found by the reads of upstreams, not by its end. */
const operatorWaitMilliseconds = 12_000;
/** Two reads fit into the shortest drain bound of the deployments, 2 s, also when one fails. */
const upstreamPaceMilliseconds = 750;
/** Soon enough to serve within a second of the store's return, slow enough to cost two calls a second. */
const retryPaceMilliseconds = 400;

export type FollowOptions = {
    feed: DeploymentFeed;
    sink: FeedSink;
    clock: Clock;
    log: IngressLog;
    random: () => number;
    signal: AbortSignal;
};

/** Starts both loops; `lastContact` is when the store last answered, by the steady clock. */
export const followDeployment = (options: FollowOptions): { lastContact: () => number | undefined; } => {
    const { feed, sink, clock, log, random, signal } = options;
    let lastContact: number | undefined;
    let isLost = false;
    /** Ends the calls under way; `signal` does so too. */
    let wake = new AbortController();
    signal.addEventListener("abort", () => wake.abort(), { once: true });

    const reportFailure = (topic: FeedTopic, { kind, reason }: FeedFailure): void => {
        log.belief("store read failed", { topic, failure: kind, reason, lastContactAgo: age(lastContact) });
        if (kind === "unavailable" && !isLost) {
            isLost = true;
            sink.storeLost();
            log.dependency("store", "lost", { reason });
            wake.abort();
            wake = new AbortController();
        }
    };

    const age = (instant: number | undefined): number | undefined =>
        instant === undefined ? undefined : Math.round(clock.now() - instant);

    const reportContact = (): void => {
        lastContact = clock.now();
        if (isLost) {
            isLost = false;
            sink.storeRegained();
            log.dependency("store", "regained", {});
        }
    };

    const follow = async (topic: FeedTopic, waitMilliseconds: number, paceMilliseconds: number): Promise<void> => {
        let offset: number | undefined;
        while (!signal.aborted) {
            const call = wake.signal;
            const slice = offset === undefined
                ? await feed.readAll(topic, call)
                : await feed.readNewer(topic, offset, waitMilliseconds, call);
            if (slice.isErr()) {
                reportFailure(topic, slice.error);
                offset = slice.error.kind === "truncated" ? undefined : offset;
                await clock.sleep(retryPaceMilliseconds * (0.5 + random()), signal);
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
            if (paceMilliseconds > 0) {
                await clock.sleep(paceMilliseconds, signal);
            }
        }
    };

    void follow("operator", operatorWaitMilliseconds, 0);
    void follow("upstreams", 0, upstreamPaceMilliseconds);
    return { lastContact: () => lastContact };
};
