/**
 * Follows the `settings` stream: one task reads it record by record and maintains the resulting tree.
 *
 * The state also arrives from other daemons by gossip. Whatever its source, the state only ever advances to a higher
 * offset. During an outage of the log, the follower keeps serving its last state and retries with jittered backoff.
 * While other daemons read the stream on behalf of all, it reads the log only occasionally.
 */
import { adoptSettings, applySettingsRecords } from "../state/settingsStateMachine.js";
import type { SettingsReplay } from "../state/settingsStateMachine.js";
import { emptySettings } from "../state/settingsTree.js";
import type { SettingsState } from "../state/settingsTree.js";
import type { Clock, LogRecord, LogSlice, RandomNumber, SettingsRecord } from "../state/types.js";
import type { LogStream } from "./logStream.js";
import { createRecentRecords } from "./recentRecords.js";

const longPollMilliseconds = 10_000;
const firstRetryMilliseconds = 100;
const maximumRetryMilliseconds = 1_000;
// Prevents tight polling of a log that answers empty reads immediately.
const emptyReadPauseMilliseconds = 100;
const maximumPendingRecords = 16_384;
const nonReaderPollMilliseconds = 60_000;
const nonReaderCheckMilliseconds = 1_000;

/** The latest snapshot that the follower has seen in the stream; times are by the log's clock. */
export type SnapshotPosition = { offset: number; upToOffset: number; appendedAt: number; };

export type SettingsFollowerStatus = {
    offset: number;
    /** Why the last read of the log failed; absent if it succeeded. */
    logFailure?: string;
    /** When the last read of the log succeeded. */
    lastReadAt?: number;
    /** Records that were read but cannot be applied yet, because earlier ones are missing. */
    pendingRecords: number;
    /** Offset that the next append to the stream would have got at the time of the last read. */
    nextOffset?: number;
    /** Totals since the start. */
    accepted: number;
    conflicts: number;
    malformed: number;
    snapshot?: SnapshotPosition;
};

export type SettingsFollower = {
    /** The newest state known to this daemon. */
    readonly state: () => SettingsState;
    /** Calls `listener` with each newer state until `signal` aborts, but not with the current one. */
    readonly subscribe: (listener: (state: SettingsState) => void, signal: AbortSignal) => void;
    /** Adopts a whole state from another daemon; a state that is not newer is ignored. */
    readonly adopt: (state: SettingsState) => void;
    /** Applies records of the stream from another daemon, in stream order. */
    readonly applyRecords: (records: readonly LogRecord<SettingsRecord>[]) => void;
    /**
     * The consecutive records after `offset` up to the current state's offset, if the follower still has all of them.
     */
    readonly recordsAfter: (offset: number) => LogRecord<SettingsRecord>[] | undefined;
    readonly status: () => SettingsFollowerStatus;
    /** Resolves when the task has ended after `signal` aborted. */
    readonly done: Promise<void>;
};

export type SettingsFollowerOptions = {
    stream: LogStream<SettingsRecord>;
    clock: Clock;
    random: RandomNumber;
    signal: AbortSignal;
    /** Whether this daemon long-polls the log for new records; others receive them by gossip. Defaults to always. */
    isReader?: () => boolean;
};

/** Starts the task that follows the stream, from an empty tree. */
export const startSettingsFollower = (options: SettingsFollowerOptions): SettingsFollower => {
    const { stream, clock, random, signal, isReader = () => true } = options;
    const listeners = new Set<(state: SettingsState) => void>();
    const recent = createRecentRecords<SettingsRecord>();
    const status: SettingsFollowerStatus = { offset: -1, pendingRecords: 0, accepted: 0, conflicts: 0, malformed: 0 };
    let current: SettingsState = emptySettings;
    let pending: LogRecord<SettingsRecord>[] = [];

    const publish = (state: SettingsState): void => {
        current = adoptSettings(current, state);
        status.offset = current.offset;
        for (const listener of [...listeners]) {
            listener(current);
        }
    };

    const countStep = ({ record, verdict }: SettingsReplay["steps"][number]): void => {
        status.accepted += verdict.kind === "accepted" ? 1 : 0;
        status.conflicts += verdict.kind === "conflict" ? 1 : 0;
        status.malformed += verdict.kind === "malformed" ? 1 : 0;
        if (verdict.kind === "snapshot" && record.offset > (status.snapshot?.offset ?? -1)) {
            const { upToOffset } = verdict;
            status.snapshot = { offset: record.offset, upToOffset, appendedAt: record.appendedAt };
        }
    };

    const applyRecords = (records: readonly LogRecord<SettingsRecord>[]): void => {
        const { state, steps } = applySettingsRecords(current, records);
        if (state.offset <= current.offset) {
            return;
        }
        const applied = steps.filter(({ verdict }) => verdict.kind !== "repeated" && verdict.kind !== "gap");
        applied.forEach(countStep);
        recent.add(applied.map(({ record }) => record));
        publish(state);
    };

    const adopt = (state: SettingsState): void => {
        if (state.offset > current.offset) {
            recent.clear();
            publish(state);
        }
    };

    const applySlice = (slice: LogSlice<SettingsRecord>): void => {
        status.nextOffset = slice.nextOffset;
        // Records after a gap are kept here until a snapshot arrives that connects to them.
        pending = [...pending, ...slice.records].slice(-maximumPendingRecords);
        applyRecords(pending);
        pending = pending.filter(({ offset }) => offset > current.offset);
        status.pendingRecords = pending.length;
    };

    const nextOffset = (): number => Math.max(current.offset, pending.at(-1)?.offset ?? -1) + 1;

    const waitAsNonReader = async (): Promise<void> => {
        const until = clock.now() + nonReaderPollMilliseconds * (0.5 + random());
        while (!signal.aborted && !isReader() && pending.length === 0 && clock.now() < until) {
            await clock.sleep(nonReaderCheckMilliseconds, signal);
        }
    };

    const follow = async (): Promise<void> => {
        let failures = 0;
        while (!signal.aborted) {
            const waitMilliseconds = isReader() ? longPollMilliseconds : 0;
            const slice = await stream.read(nextOffset(), waitMilliseconds, signal);
            if (slice.isErr()) {
                status.logFailure = slice.error.reason;
                const maximumDelay = Math.min(firstRetryMilliseconds * 2 ** failures, maximumRetryMilliseconds);
                failures += 1;
                await clock.sleep(maximumDelay * (0.5 + random() / 2), signal);
                continue;
            }
            failures = 0;
            delete status.logFailure;
            status.lastReadAt = clock.now();
            applySlice(slice.value);
            if (slice.value.records.length === 0) {
                await clock.sleep(emptyReadPauseMilliseconds, signal);
                await waitAsNonReader();
            }
        }
    };

    return {
        state: () => current,
        subscribe: (listener, until) => {
            listeners.add(listener);
            until.addEventListener("abort", () => listeners.delete(listener), { once: true });
        },
        adopt,
        applyRecords,
        recordsAfter: recent.after,
        status: () => ({ ...status }),
        done: follow(),
    };
};
