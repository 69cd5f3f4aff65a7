/**
 * Group commit: one append to a stream carries every entry that was submitted while the previous append was in flight.
 *
 * At most one append is in flight, and consecutive appends start at least one interval apart. An urgent entry is
 * appended at once if the writer is idle. A deferred entry, for which no caller waits, goes along with the next append,
 * or is appended alone after a short delay. The interval doubles whenever an append fails and shrinks again with each
 * success, so that many writers share a log with a limited rate without a coordinator.
 */
import { err, type Result } from "neverthrow";
import type { Clock } from "../state/types.js";
import type { AppendFailure } from "./logStream.js";
import { createNotifier } from "./notifier.js";

export type GroupCommitLimits = {
    entriesPerAppend: number;
    bytesPerAppend: number;
    /** Maximum number of entries that may wait for an append. */
    maximumQueuedEntries: number;
    /** Minimum time between the starts of two appends. */
    intervalMilliseconds: number;
    /** Time after which an append without a response counts as failed. */
    appendTimeoutMilliseconds: number;
};

export const defaultGroupCommitLimits: GroupCommitLimits = {
    entriesPerAppend: 1_024,
    bytesPerAppend: 262_144,
    maximumQueuedEntries: 16_384,
    intervalMilliseconds: 10,
    appendTimeoutMilliseconds: 5_000,
};

const maximumIntervalMilliseconds = 500;
const intervalDecay = 0.8;
const deferredDelayMilliseconds = 50;
const idleWaitMilliseconds = 60_000;
const entryQueued = "queue";
/** Abort reason of an append; without an explicit reason, each abort would build an error with its stack trace. */
const appendEndedReason = "the append has ended";
const queueDrained = "drained";

export type GroupCommitOptions<Entry> = {
    clock: Clock;
    limits: GroupCommitLimits;
    append: (entries: Entry[], signal: AbortSignal) => Promise<Result<number, AppendFailure>>;
    /** Size of an entry in the record, in bytes. */
    sizeOf: (entry: Entry) => number;
    /** Called when an entry is about to be appended; `false` drops the entry. */
    beforeAppend: (entry: Entry) => boolean;
    onAppended: (entries: Entry[]) => void;
    /** Returns the entries that are to be appended again. */
    onFailure: (entries: Entry[], failure: AppendFailure) => Entry[];
};

export type GroupCommit<Entry> = {
    /** Queues `entry`; returns `false` if too many entries are queued. */
    submit: (entry: Entry) => boolean;
    /**
     * Queues `entry`, for which no caller waits, even if the queue is full; it follows from an entry admitted earlier.
     */
    submitDeferred: (entry: Entry) => void;
    pendingCount: () => number;
    /** Resolves when no entries are pending, after `milliseconds`, or when `signal` aborts. */
    waitUntilDrained: (milliseconds: number, signal: AbortSignal) => Promise<void>;
    /** Appends queued entries until `signal` aborts. */
    run: (signal: AbortSignal) => Promise<void>;
};

export const createGroupCommit = <Entry>(options: GroupCommitOptions<Entry>): GroupCommit<Entry> => {
    const { clock, limits } = options;
    const notifier = createNotifier(clock);
    let queue: Entry[] = [];
    let inFlightEntries = 0;
    let currentIntervalMilliseconds = limits.intervalMilliseconds;
    let nextAppendAt = -Infinity;
    /** When the oldest entry in the queue is due. */
    let dueAt = Infinity;

    const enqueue = (entry: Entry, due: number): void => {
        queue.push(entry);
        dueAt = Math.min(dueAt, due);
        notifier.notify(entryQueued);
    };

    const submitDeferred = (entry: Entry): void => enqueue(entry, clock.now() + deferredDelayMilliseconds);

    const submit = (entry: Entry): boolean => {
        if (queue.length >= limits.maximumQueuedEntries) {
            return false;
        }
        enqueue(entry, clock.now());
        return true;
    };

    const takeBatch = (): Entry[] => {
        const batch: Entry[] = [];
        let bytes = 0;
        let taken = 0;
        for (const entry of queue) {
            const size = options.sizeOf(entry);
            if (batch.length === limits.entriesPerAppend || batch.length > 0 && bytes + size > limits.bytesPerAppend) {
                break;
            }
            taken++;
            if (options.beforeAppend(entry)) {
                batch.push(entry);
                bytes += size;
            }
        }
        queue = queue.slice(taken);
        dueAt = queue.length === 0 ? Infinity : clock.now();
        return batch;
    };

    const appendWithTimeout = async (batch: Entry[], signal: AbortSignal): Promise<Result<number, AppendFailure>> => {
        const append = new AbortController();
        const stop = (): void => append.abort(appendEndedReason);
        signal.addEventListener("abort", stop, { once: true });
        const timeout = clock.sleep(limits.appendTimeoutMilliseconds, append.signal).then(() =>
            err<number, AppendFailure>({ kind: "unknown", reason: "the append timed out without a response" })
        );
        const appended = await Promise.race([options.append(batch, append.signal), timeout]);
        signal.removeEventListener("abort", stop);
        append.abort(appendEndedReason);
        return appended;
    };

    const handleAppendResult = (batch: Entry[], appended: Result<number, AppendFailure>): void => {
        if (appended.isOk()) {
            currentIntervalMilliseconds = Math.max(
                limits.intervalMilliseconds,
                currentIntervalMilliseconds * intervalDecay,
            );
            options.onAppended(batch);
            return;
        }
        currentIntervalMilliseconds = Math.min(
            Math.max(currentIntervalMilliseconds, limits.intervalMilliseconds) * 2,
            maximumIntervalMilliseconds,
        );
        nextAppendAt = clock.now() + currentIntervalMilliseconds;
        queue = [...options.onFailure(batch, appended.error), ...queue];
        dueAt = queue.length === 0 ? Infinity : clock.now();
    };

    const run = async (signal: AbortSignal): Promise<void> => {
        while (!signal.aborted) {
            if (queue.length === 0) {
                await notifier.wait(entryQueued, idleWaitMilliseconds, signal);
                continue;
            }
            const delayMilliseconds = Math.max(nextAppendAt, dueAt) - clock.now();
            if (delayMilliseconds > 0) {
                // An urgent entry may be submitted before the others are due.
                await notifier.wait(entryQueued, delayMilliseconds, signal);
                continue;
            }
            const batch = takeBatch();
            if (batch.length > 0) {
                nextAppendAt = clock.now() + currentIntervalMilliseconds;
                inFlightEntries = batch.length;
                handleAppendResult(batch, await appendWithTimeout(batch, signal));
                inFlightEntries = 0;
            }
            if (queue.length === 0) {
                notifier.notify(queueDrained);
            }
        }
    };

    const pendingCount = (): number => queue.length + inFlightEntries;

    const waitUntilDrained = async (milliseconds: number, signal: AbortSignal): Promise<void> => {
        if (pendingCount() > 0) {
            await notifier.wait(queueDrained, milliseconds, signal);
        }
    };

    return {
        submit,
        submitDeferred,
        pendingCount,
        waitUntilDrained,
        run,
    };
};
