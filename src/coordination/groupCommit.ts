/**
 * Group commit: one append to a stream carries every entry that came in while the append before it was in flight.
 *
 * At most one append is in flight, and two appends start at least one interval apart. An urgent entry that finds the
 * writer idle is appended at once; one that nobody waits for goes along with the next, or after a while by itself. The interval doubles whenever the log turns an append away and shrinks again with each
 * success, so that many writers share a log of limited rate without a coordinator.
 */
import { err, type Result } from "neverthrow";
import type { Clock } from "../state/types.js";
import { createChanges } from "./changes.js";
import type { AppendFailure } from "./logStream.js";

export type GroupCommitLimits = {
    entriesPerAppend: number;
    bytesPerAppend: number;
    /** Entries that may wait for an append. */
    waitingEntries: number;
    /** Least time between the starts of two appends. */
    intervalMilliseconds: number;
    /** How long an append may stay without an answer. */
    appendTimeoutMilliseconds: number;
};

export const defaultGroupCommitLimits: GroupCommitLimits = {
    entriesPerAppend: 1_024,
    bytesPerAppend: 262_144,
    waitingEntries: 16_384,
    intervalMilliseconds: 10,
    appendTimeoutMilliseconds: 5_000,
};

const longestIntervalMilliseconds = 500;
const intervalDecay = 0.8;
const laterMilliseconds = 50;
const idleMilliseconds = 60_000;
const queueChange = "queue";
/** Reason of an append's abort; without one, each abort builds an error with its stack. */
const appendEnded = "the append has ended";
const drainedChange = "drained";

export type GroupCommitOptions<Entry> = {
    clock: Clock;
    limits: GroupCommitLimits;
    append: (entries: Entry[], signal: AbortSignal) => Promise<Result<number, AppendFailure>>;
    /** Size of an entry in the record, in bytes. */
    sizeOf: (entry: Entry) => number;
    /** Called as an entry goes into an append; `false` drops the entry instead. */
    onSend: (entry: Entry) => boolean;
    onTaken: (entries: Entry[]) => void;
    /** Gives the entries that are to be appended again. */
    onFailure: (entries: Entry[], failure: AppendFailure) => Entry[];
};

export type GroupCommit<Entry> = {
    /** Queues `entry`, or says `false` when too many entries wait. */
    submit: (entry: Entry) => boolean;
    /** Queues `entry`, which nobody waits for, even when too many wait; it follows from one admitted earlier. */
    submitLater: (entry: Entry) => void;
    waiting: () => number;
    /** Resolves when nothing waits, after `milliseconds`, or when `signal` aborts. */
    drained: (milliseconds: number, signal: AbortSignal) => Promise<void>;
    /** Appends what is queued until `signal` aborts. */
    run: (signal: AbortSignal) => Promise<void>;
};

export const createGroupCommit = <Entry>(options: GroupCommitOptions<Entry>): GroupCommit<Entry> => {
    const { clock, limits } = options;
    const changes = createChanges(clock);
    let queue: Entry[] = [];
    let inFlight = 0;
    let interval = limits.intervalMilliseconds;
    let nextStartAt = -Infinity;
    /** When the oldest entry in the queue is due. */
    let dueAt = Infinity;

    const enqueue = (entry: Entry, due: number): void => {
        queue.push(entry);
        dueAt = Math.min(dueAt, due);
        changes.announce(queueChange);
    };

    const submitLater = (entry: Entry): void => enqueue(entry, clock.now() + laterMilliseconds);

    const submit = (entry: Entry): boolean => {
        if (queue.length >= limits.waitingEntries) {
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
            if (options.onSend(entry)) {
                batch.push(entry);
                bytes += size;
            }
        }
        queue = queue.slice(taken);
        dueAt = queue.length === 0 ? Infinity : clock.now();
        return batch;
    };

    const appendInTime = async (batch: Entry[], signal: AbortSignal): Promise<Result<number, AppendFailure>> => {
        const append = new AbortController();
        const stop = (): void => append.abort(appendEnded);
        signal.addEventListener("abort", stop, { once: true });
        const timeout = clock.sleep(limits.appendTimeoutMilliseconds, append.signal).then(() =>
            err<number, AppendFailure>({ kind: "unknown", reason: "the append got no answer in time" })
        );
        const appended = await Promise.race([options.append(batch, append.signal), timeout]);
        signal.removeEventListener("abort", stop);
        append.abort(appendEnded);
        return appended;
    };

    const settle = (batch: Entry[], appended: Result<number, AppendFailure>): void => {
        if (appended.isOk()) {
            interval = Math.max(limits.intervalMilliseconds, interval * intervalDecay);
            options.onTaken(batch);
            return;
        }
        interval = Math.min(Math.max(interval, limits.intervalMilliseconds) * 2, longestIntervalMilliseconds);
        nextStartAt = clock.now() + interval;
        queue = [...options.onFailure(batch, appended.error), ...queue];
        dueAt = queue.length === 0 ? Infinity : clock.now();
    };

    const run = async (signal: AbortSignal): Promise<void> => {
        while (!signal.aborted) {
            if (queue.length === 0) {
                await changes.wait(queueChange, idleMilliseconds, signal);
                continue;
            }
            const pause = Math.max(nextStartAt, dueAt) - clock.now();
            if (pause > 0) {
                // An urgent entry may come in before the others are due.
                await changes.wait(queueChange, pause, signal);
                continue;
            }
            const batch = takeBatch();
            if (batch.length > 0) {
                nextStartAt = clock.now() + interval;
                inFlight = batch.length;
                settle(batch, await appendInTime(batch, signal));
                inFlight = 0;
            }
            if (queue.length === 0) {
                changes.announce(drainedChange);
            }
        }
    };

    const waiting = (): number => queue.length + inFlight;

    const drained = async (milliseconds: number, signal: AbortSignal): Promise<void> => {
        if (waiting() > 0) {
            await changes.wait(drainedChange, milliseconds, signal);
        }
    };

    return { submit, submitLater, waiting, drained, run };
};
