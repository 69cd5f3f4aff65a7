/**
 * Follows the operator's configuration and the list of upstreams in the platform's store.
 *
 * Both are read by long polls, as new records are rare: the store appends a record that an upstream writes as a
 * heartbeat only if anything else in it changed. A poll that hangs on a dead connection would hide changes, so
 * occasional probes ask the store for newer records (see `topicFreshness.ts`), and a poll is restarted if a probe or
 * another entry has read records that it has not delivered. Each topic is followed for itself, as the store may be silent
 * for one and answer for the other.
 *
 * Complete reads also bring records that hold though the store has forgotten them, as it came back from an older copy
 * (see `recordOrder.ts`).
 */
import type { Result } from "neverthrow";
import type { IngressConfiguration, Upstream } from "../../state/ingressTypes.js";
import type { Clock } from "../../state/types.js";
import type { IngressLog } from "./ingressLog.js";
import type { RevisionOf } from "./recordOrder.js";
import {
    type DeploymentTopic,
    deploymentTopics,
    type FeedFailure,
    type FeedPosition,
    isDeploymentTopic,
    type RecordBatch,
    type RecordSource,
    type StoredRecord,
} from "./recordSource.js";
import type { TopicFreshness } from "./topicFreshness.js";

export type FeedRecord =
    | { kind: "configuration"; configuration: IngressConfiguration; }
    | { kind: "zone-evacuated"; availabilityZone: string; }
    | { kind: "zone-returned"; availabilityZone: string; }
    | { kind: "upstream"; upstream: Upstream; }
    | { kind: "upstream-gone"; id: string; }
    | { kind: "unreadable"; key: string; reason: string; };

export type FeedDecoder = (topic: DeploymentTopic, record: StoredRecord) => FeedRecord;

/** Configurations have versions; upstreams number their records, anew after each start. */
export const createRevisionOf = (decode: FeedDecoder): RevisionOf => (topic, record) => {
    const decoded = isDeploymentTopic(topic) ? decode(topic, record) : undefined;
    switch (decoded?.kind) {
        case "configuration":
            return [decoded.configuration.version];
        case "upstream":
            return [decoded.upstream.bornAt, decoded.upstream.revision];
        default:
            return undefined;
    }
};

export type FeedSink = {
    /**
     * Replaces the state of a topic by these records; what they don't contain is removed. `unlisted`: records among them
     * that the store's list lacks, as it came back from an older copy.
     */
    replace: (topic: DeploymentTopic, records: FeedRecord[], unlisted?: FeedRecord[]) => void;
    /** Applies records that follow those applied before. */
    apply: (records: FeedRecord[]) => void;
    /** The store answers no read of the topic to any entry, or does so again. */
    markTopicUnavailable: (topic: DeploymentTopic) => void;
    markTopicAvailable: (topic: DeploymentTopic) => void;
};

/** The store charges for each poll and limits its wait to 30 s. */
const longPollMilliseconds = 25_000;
/** A poll is restarted if another entry has records that it has not delivered after this time. */
const lagGraceMilliseconds = 100;
/** Short enough to recover within a second of the store's return; costs about two calls a second. */
const retryIntervalMilliseconds = 400;

/** Interval between checks whether a probe is due. */
const probeCheckIntervalMilliseconds = 50;

export type DeploymentFollowerOptions = {
    /** The store, or another entry that reads from it. */
    source: RecordSource;
    /** The store itself, for probes. */
    store: RecordSource;
    decode: FeedDecoder;
    sink: FeedSink;
    freshness: TopicFreshness;
    /** Who gave the latest records of a topic, for the log. */
    originOf: (topic: DeploymentTopic) => string | undefined;
    clock: Clock;
    log: IngressLog;
    random: () => number;
    signal: AbortSignal;
};

export type DeploymentFollower = {
    /** To be called after a status from another entry was recorded. */
    checkPeerPositions: () => void;
};

/** Follows one topic; nothing that happens to another one changes what it does. */
const followTopic = (topic: DeploymentTopic, options: DeploymentFollowerOptions): DeploymentFollower => {
    const { source, store, decode, sink, freshness, originOf, clock, log, random, signal } = options;
    let isUnavailable = false;
    /** The position from which the topic is read on; undefined while it is to be read as a whole. */
    let position: FeedPosition | undefined;
    let isLagCheckScheduled = false;
    let answeredPolls = 0;
    /** Aborts the running poll; `signal` does so too. */
    let pollController = new AbortController();
    signal.addEventListener("abort", () => pollController.abort(), { once: true });

    const restartPoll = (): void => {
        pollController.abort();
        pollController = new AbortController();
    };

    const readAgain = (): void => {
        position = undefined;
        restartPoll();
    };

    const handleFailure = ({ kind, reason }: FeedFailure): void => {
        const confirmedAt = freshness.confirmedAt(topic);
        const confirmedAgo = confirmedAt === undefined ? undefined : Math.round(clock.now() - confirmedAt);
        log.stateChange("store read failed", { topic, failure: kind, reason, confirmedAgo });
        if (kind === "unavailable" && !isUnavailable) {
            isUnavailable = true;
            sink.markTopicUnavailable(topic);
            log.dependency("store", "lost", { topic, reason });
            restartPoll();
        }
    };

    const handleSuccess = (): void => {
        if (isUnavailable) {
            isUnavailable = false;
            sink.markTopicAvailable(topic);
            log.dependency("store", "regained", { topic });
        }
    };

    const advance = (next: FeedPosition, records: FeedRecord[]): void => {
        if (topic === "operator" && records.length > 0) {
            log.stateChange("operator records received", { records: records.length, ...next, from: originOf(topic) });
        }
        position = next;
        freshness.recordRead(topic, next);
    };

    const decodeAll = (records: StoredRecord[]): FeedRecord[] => records.map(record => decode(topic, record));

    const takeAll = ({ records, next, forgotten = [] }: RecordBatch): void => {
        const listedKeys = new Set(records.map(({ key }) => key));
        const forgottenKeys = new Set(forgotten.map(({ key }) => key));
        const listed = decodeAll([
            ...records.filter(({ key }) => !forgottenKeys.has(key)),
            ...forgotten.filter(({ key }) => listedKeys.has(key)),
        ]);
        const unlisted = decodeAll(forgotten.filter(({ key }) => !listedKeys.has(key)));
        if (forgotten.length > 0) {
            log.stateChange("records hold that the store has forgotten", { topic, keys: [...forgottenKeys], ...next });
        }
        sink.replace(topic, listed, unlisted);
        advance(next, listed);
    };

    /** Takes records that were read on from a position; polls and probes overlap, so some may be known already. */
    const takeNewer = ({ records, next }: RecordBatch): void => {
        const known = position;
        if (known === undefined || known.era !== next.era || next.offset < known.offset) {
            return;
        }
        const decoded = decodeAll(records.filter(({ offset }) => offset >= known.offset));
        sink.apply(decoded);
        advance(next, decoded);
    };

    const poll = async (): Promise<void> => {
        while (!signal.aborted) {
            const pollSignal = pollController.signal;
            const from = position;
            const batch: Result<RecordBatch, FeedFailure> = from === undefined
                ? await source.readAll(topic, pollSignal)
                // While the store is unavailable, polls don't wait: the first response shows its return.
                : await source.readNewer(topic, from, isUnavailable ? 0 : longPollMilliseconds, pollSignal);
            if (batch.isOk()) {
                handleSuccess();
                answeredPolls += 1;
                (from === undefined ? takeAll : takeNewer)(batch.value);
                continue;
            }
            // A call that was aborted by this entry says nothing about the store.
            if (!pollSignal.aborted) {
                handleFailure(batch.error);
            }
            if (batch.error.kind === "truncated") {
                position = undefined;
            }
            else if (!pollSignal.aborted) {
                await clock.sleep(retryIntervalMilliseconds * (0.5 + random()), signal);
            }
        }
    };

    /** Gives the running poll time to deliver records that are known to exist, and restarts it if it doesn't. */
    const restartLatePoll = async (restart: () => void): Promise<boolean> => {
        const [answeredBefore, pollBefore] = [answeredPolls, pollController];
        await clock.sleep(lagGraceMilliseconds, signal);
        const isLate = answeredPolls === answeredBefore && pollController === pollBefore;
        if (isLate) {
            restart();
        }
        return isLate;
    };

    /** Probes only while the store counts as available; otherwise the polls detect its return. */
    const probe = async (): Promise<void> => {
        while (!signal.aborted) {
            const delayMilliseconds = freshness.millisecondsUntilProbe(topic);
            const from = position;
            if (delayMilliseconds > 0 || isUnavailable || from === undefined) {
                await clock.sleep(Math.max(delayMilliseconds, probeCheckIntervalMilliseconds), signal);
                continue;
            }
            const response = await store.readNewer(topic, from, 0, signal);
            if (response.isOk()) {
                takeNewer(response.value);
                if (response.value.records.length > 0) {
                    await restartLatePoll(restartPoll);
                }
                continue;
            }
            log.stateChange("store probe failed", { topic, ...response.error });
            if (response.error.kind === "truncated") {
                readAgain();
            }
            await clock.sleep(retryIntervalMilliseconds, signal);
        }
    };

    const scheduleLagCheck = async (): Promise<void> => {
        if (isLagCheckScheduled) {
            return;
        }
        isLagCheckScheduled = true;
        const positionBefore = position;
        // A poll at a store that came back from an older copy may wait at an offset that it gave out again.
        const isLate = await restartLatePoll(freshness.isInOlderEra(topic) ? readAgain : restartPoll);
        isLagCheckScheduled = false;
        if (isLate) {
            log.stateChange("store poll restarted, peers have newer records", { topic, ...positionBefore });
        }
    };

    void poll();
    void probe();
    return {
        checkPeerPositions: () => {
            if (freshness.isBehind(topic)) {
                void scheduleLagCheck();
            }
        },
    };
};

export const followDeployment = (options: DeploymentFollowerOptions): DeploymentFollower => {
    const followers = deploymentTopics.map(topic => followTopic(topic, options));
    return { checkPeerPositions: () => followers.forEach(follower => follower.checkPeerPositions()) };
};
