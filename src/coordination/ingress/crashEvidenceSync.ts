/**
 * Keeps an entry's crash reports in the platform's store, and reads those of all entries there.
 *
 * Each entry has one record, which it replaces when it has new reports. It writes nothing before it has read all
 * records, so that after a restart it doesn't overwrite its own earlier reports.
 */
import type { Result } from "neverthrow";
import type { CrashEvidence } from "../../state/crashEvidence.js";
import type { Clock } from "../../state/types.js";
import { createNotifier } from "../notifier.js";
import type { CrashEvidenceTable } from "./crashEvidenceTable.js";
import type { IngressLog } from "./ingressLog.js";
import type { FeedFailure, FeedPosition } from "./recordSource.js";

export type EvidenceBatch = { records: CrashEvidence[]; next: FeedPosition; };

export type CrashEvidenceStore = {
    /** The record of each entry. */
    readAll: (signal: AbortSignal) => Promise<Result<EvidenceBatch, FeedFailure>>;
    /** The records written from `from` on; if there are none, waits up to `waitMilliseconds` for the first. */
    readNewer: (from: FeedPosition, waitMilliseconds: number, signal: AbortSignal) => Promise<
        Result<EvidenceBatch, FeedFailure>
    >;
    /** Replaces the record of the entry `host`. */
    write: (host: string, evidence: CrashEvidence, signal: AbortSignal) => Promise<Result<void, string>>;
};

export type CrashEvidenceSync = {
    /** To be called when the table has more to store. */
    scheduleWrite: () => void;
    /**
     * Whether the reports have been read since the start, or could not be for a while; until then this entry might send
     * what the others hold back.
     */
    isSettled: () => boolean;
};

export type CrashEvidenceSyncOptions = {
    host: string;
    store: CrashEvidenceStore;
    table: Pick<CrashEvidenceTable, "merge" | "evidenceToStore">;
    /** Number of live entries. */
    entries: () => number;
    clock: Clock;
    log: IngressLog;
    random: () => number;
    signal: AbortSignal;
};

/** The store charges for each poll and limits its wait to 30 s. */
const longPollMilliseconds = 25_000;
/** When many entries write at once, each poll then reads several records. */
const pollPauseMilliseconds = 400;
/** Bounds the polls of all entries to some 700 a second, however many there are. */
const pollPausePerEntryMilliseconds = 1.5;
/** Gossip covers an outage of the store, so its return may be noticed late. */
const readRetryMilliseconds = 2_000;
const firstReadRetryMilliseconds = 200;
const settleTimeoutMilliseconds = 1_000;
const writeRetryMilliseconds = 1_000;
/** Several requests of one entry may break with one crash, and several upstreams may crash together. */
const writeIntervalMilliseconds = 200;
const writeWaitMilliseconds = 60_000;
const evidenceChanged = "evidence changed";

export const startCrashEvidenceSync = (options: CrashEvidenceSyncOptions): CrashEvidenceSync => {
    const { host, store, table, entries, clock, log, random, signal } = options;
    const notifier = createNotifier(clock);
    const startedAt = clock.now();
    let hasRead = false;
    let isWriteDue = false;

    const follow = async (): Promise<void> => {
        let position: FeedPosition | undefined;
        let era: number | undefined;
        while (!signal.aborted) {
            const batch = position === undefined
                ? await store.readAll(signal)
                : await store.readNewer(position, longPollMilliseconds, signal);
            if (batch.isErr()) {
                if (!signal.aborted) {
                    log.stateChange("crash reports read failed", { ...batch.error });
                }
                position = batch.error.kind === "truncated" ? undefined : position;
                const retryMilliseconds = hasRead ? readRetryMilliseconds : firstReadRetryMilliseconds;
                await clock.sleep(retryMilliseconds * (0.5 + random()), signal);
                continue;
            }
            batch.value.records.forEach(table.merge);
            position = batch.value.next;
            if (era !== undefined && era !== position.era) {
                // The store came back from an older copy, which may lack the latest reports.
                isWriteDue = true;
            }
            era = position.era;
            hasRead = true;
            notifier.notify(evidenceChanged);
            await clock.sleep(Math.max(pollPauseMilliseconds, entries() * pollPausePerEntryMilliseconds), signal);
        }
    };

    const write = async (): Promise<void> => {
        while (!signal.aborted) {
            if (!isWriteDue || !hasRead) {
                await notifier.wait(evidenceChanged, writeWaitMilliseconds, signal);
                continue;
            }
            isWriteDue = false;
            const written = await store.write(host, table.evidenceToStore(), signal);
            if (written.isErr() && !signal.aborted) {
                log.stateChange("crash reports write failed", { reason: written.error });
                isWriteDue = true;
            }
            await clock.sleep(written.isErr() ? writeRetryMilliseconds : writeIntervalMilliseconds, signal);
        }
    };

    void follow();
    void write();
    return {
        isSettled: () => hasRead || clock.now() - startedAt > settleTimeoutMilliseconds,
        scheduleWrite: () => {
            isWriteDue = true;
            notifier.notify(evidenceChanged);
        },
    };
};
