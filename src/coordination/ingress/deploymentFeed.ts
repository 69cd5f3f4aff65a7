/**
 * Follows the operator's configuration and the list of upstreams in the platform's store.
 *
 * Both are read by long polls, as new records are rare: the store appends a record that an upstream writes as a
 * heartbeat only if anything else in it changed. A poll that hangs on a dead connection would hide changes, so
 * occasional probes check that the store responds (see `storeMonitor.ts`). The first call that finds the store
 * unavailable aborts the polls, and a poll is restarted if another entry has read records that this one has not.
 *
 * After the store has come back from an older copy, what is missing there is not taken for removed at once: the operator
 * and the upstreams write their records again, and a second complete read then shows what has gone.
 */
import type { Result } from "neverthrow";
import type { IngressConfiguration, Upstream } from "../../state/ingressTypes.js";
import type { Clock } from "../../state/types.js";
import type { IngressLog } from "./ingressLog.js";
import {
    comparePositions,
    type FeedFailure,
    type FeedPosition,
    type RecordBatch,
    type RecordSource,
    type StoredRecord,
} from "./recordSource.js";
import type { StoreMonitor } from "./storeMonitor.js";

export type DeploymentTopic = "operator" | "upstreams";

export const deploymentTopics: readonly DeploymentTopic[] = ["operator", "upstreams"];

export type FeedRecord =
    | { kind: "configuration"; configuration: IngressConfiguration; }
    | { kind: "zone-evacuated"; availabilityZone: string; }
    | { kind: "zone-returned"; availabilityZone: string; }
    | { kind: "upstream"; upstream: Upstream; }
    | { kind: "upstream-gone"; id: string; }
    | { kind: "unreadable"; key: string; reason: string; };

export type FeedDecoder = (topic: DeploymentTopic, record: StoredRecord) => FeedRecord;

export type FeedSink = {
    /** Replaces the state of a topic by these records; what they don't contain is removed. */
    replace: (topic: DeploymentTopic, records: FeedRecord[]) => void;
    /** Takes over records of a store that came back from an older copy: nothing that is known goes back. */
    restore: (topic: DeploymentTopic, records: FeedRecord[]) => void;
    /** Applies records that follow those applied before. */
    apply: (records: FeedRecord[]) => void;
    markStoreUnavailable: () => void;
    markStoreAvailable: () => void;
};

/** The store charges for each poll and limits its wait to 30 s. */
const longPollMilliseconds = 25_000;
/** A poll is restarted if another entry has records that it has not delivered after this time. */
const lagGraceMilliseconds = 100;
/** Short enough to recover within a second of the store's return; costs about two calls a second. */
const retryIntervalMilliseconds = 400;

/** Interval between checks whether a probe is due. */
const probeCheckIntervalMilliseconds = 50;

/** Within this time after the store came back from an older copy, its records have been written again. */
const restoreMilliseconds = 5_000;

export type DeploymentFollowerOptions = {
    /** The store, or another entry that reads from it. */
    source: RecordSource;
    /** The store itself, for probes. */
    store: RecordSource;
    decode: FeedDecoder;
    sink: FeedSink;
    storeMonitor: StoreMonitor;
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

export const followDeployment = (options: DeploymentFollowerOptions): DeploymentFollower => {
    const { source, store, decode, sink, storeMonitor, originOf, clock, log, random, signal } = options;
    let isStoreUnavailable = false;
    /** Topics in which another entry is ahead, while the running poll still has time to deliver the records. */
    const topicsAwaitingLagCheck = new Set<DeploymentTopic>();
    /** Abort the running polls; `signal` does so too. */
    const pollControllers: Record<DeploymentTopic, AbortController> = {
        operator: new AbortController(),
        upstreams: new AbortController(),
    };
    const restartPoll = (topic: DeploymentTopic): void => {
        pollControllers[topic].abort();
        pollControllers[topic] = new AbortController();
    };
    /** The positions from which the topics are read on; undefined for one that is to be read as a whole. */
    const positions: Record<DeploymentTopic, FeedPosition | undefined> = { operator: undefined, upstreams: undefined };
    const readAgain = (topic: DeploymentTopic): void => {
        positions[topic] = undefined;
        restartPoll(topic);
    };
    signal.addEventListener("abort", () => deploymentTopics.forEach(topic => pollControllers[topic].abort()), {
        once: true,
    });

    const handleFailure = (topic: DeploymentTopic, { kind, reason }: FeedFailure): void => {
        const lastContact = storeMonitor.lastContact();
        const lastContactAgo = lastContact === undefined ? undefined : Math.round(clock.now() - lastContact);
        log.stateChange("store read failed", { topic, failure: kind, reason, lastContactAgo });
        if (kind === "unavailable" && !isStoreUnavailable) {
            isStoreUnavailable = true;
            sink.markStoreUnavailable();
            log.dependency("store", "lost", { reason });
            deploymentTopics.forEach(restartPoll);
        }
    };

    const handleSuccess = (): void => {
        if (isStoreUnavailable) {
            isStoreUnavailable = false;
            sink.markStoreAvailable();
            log.dependency("store", "regained", {});
        }
    };

    const follow = async (topic: DeploymentTopic): Promise<void> => {
        /** The latest position that was read, also while the topic must be read again. */
        let reached: FeedPosition | undefined;
        let restoringUntil = -Infinity;
        while (!signal.aborted) {
            const pollSignal = pollControllers[topic].signal;
            const from: FeedPosition | undefined = positions[topic];
            const batch: Result<RecordBatch, FeedFailure> = from === undefined
                ? await source.readAll(topic, pollSignal)
                // While the store is unavailable, polls don't wait: the first response shows its return.
                : await source.readNewer(topic, from, isStoreUnavailable ? 0 : longPollMilliseconds, pollSignal);
            if (batch.isErr()) {
                // A call that was aborted by this entry says nothing about the store.
                if (!pollSignal.aborted) {
                    handleFailure(topic, batch.error);
                }
                if (batch.error.kind === "truncated") {
                    positions[topic] = undefined;
                }
                else if (!pollSignal.aborted) {
                    await clock.sleep(retryIntervalMilliseconds * (0.5 + random()), signal);
                }
                continue;
            }
            handleSuccess();
            if (positions[topic] !== from) {
                // The topic is to be read as a whole since this poll began.
                continue;
            }
            const { next, forgotten = [] } = batch.value;
            const records = batch.value.records.map(record => decode(topic, record));
            if (topic === "operator" && records.length > 0) {
                log.stateChange("operator records received", {
                    records: records.length,
                    ...next,
                    from: originOf(topic),
                });
            }
            const isOlderCopy = clock.now() < restoringUntil || reached !== undefined && next.era > reached.era;
            if (from !== undefined) {
                sink.apply(records);
            }
            else if (isOlderCopy) {
                log.stateChange("store came back from an older copy", { topic, ...next, reached });
                sink.restore(topic, records);
            }
            else {
                sink.replace(topic, records);
            }
            if (from === undefined && reached === undefined) {
                sink.apply(forgotten.map(record => decode(topic, record)));
            }
            if (from === undefined && (isOlderCopy || reached === undefined && forgotten.length > 0)) {
                restoringUntil = clock.now() + restoreMilliseconds;
                void clock.sleep(restoreMilliseconds, signal).then(() => {
                    if (clock.now() >= restoringUntil) {
                        readAgain(topic);
                    }
                });
            }
            positions[topic] = next;
            reached = next;
            storeMonitor.recordRead(topic, next);
        }
    };

    /** Probes only while the store counts as available; otherwise the polls detect its return. */
    const probe = async (): Promise<void> => {
        while (!signal.aborted) {
            const delayMilliseconds = storeMonitor.millisecondsUntilProbe();
            const positions = storeMonitor.readStatus()?.positions;
            if (delayMilliseconds > 0 || isStoreUnavailable || positions === undefined) {
                await clock.sleep(Math.max(delayMilliseconds, probeCheckIntervalMilliseconds), signal);
                continue;
            }
            const response = await store.readNewer("upstreams", positions.upstreams, 0, signal);
            if (response.isOk()) {
                if (response.value.records.length > 0) {
                    // The running poll should have delivered them at the same time.
                    restartPoll("upstreams");
                }
                continue;
            }
            log.stateChange("store probe failed", { ...response.error });
            // The running polls wait at a store that does not answer, or at positions that it doesn't have any more.
            deploymentTopics.forEach(response.error.kind === "truncated" ? readAgain : restartPoll);
            await clock.sleep(retryIntervalMilliseconds, signal);
        }
    };

    /** Gives the running poll time to deliver the missing records, and restarts it if it doesn't. */
    const scheduleLagCheck = (topic: DeploymentTopic): void => {
        if (topicsAwaitingLagCheck.has(topic)) {
            return;
        }
        topicsAwaitingLagCheck.add(topic);
        const positionBefore = storeMonitor.readStatus()?.positions[topic];
        void clock.sleep(lagGraceMilliseconds, signal).then(() => {
            topicsAwaitingLagCheck.delete(topic);
            const position = storeMonitor.readStatus()?.positions[topic];
            if (
                position !== undefined && positionBefore !== undefined
                && comparePositions(position, positionBefore) === 0
            ) {
                log.stateChange("store poll restarted, peers have newer records", { topic, ...positionBefore });
                // A poll at a store that came back from an older copy may wait at an offset that it gave out again.
                (storeMonitor.isInOlderEra(topic) ? readAgain : restartPoll)(topic);
            }
        });
    };

    deploymentTopics.forEach(topic => void follow(topic));
    void probe();
    return {
        checkPeerPositions: () => deploymentTopics.filter(storeMonitor.isBehind).forEach(scheduleLagCheck),
    };
};
