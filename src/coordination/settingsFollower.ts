/**
 * Follows the `settings` stream: one task reads it record by record and keeps the tree that it amounts to.
 *
 * The state also comes from other daemons through the relay. Whatever its source, it only ever moves to a higher
 * offset. While the log is out, the follower serves on with what it has and tries again after a short, jittered delay.
 * Where other daemons read the stream for all, it leaves the log alone but for a read now and then.
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
// Keeps a log that answers empty reads at once from being polled in a tight loop.
const emptyReadPauseMilliseconds = 100;
const maximumPendingRecords = 16_384;
const nonReaderPollMilliseconds = 60_000;
const nonReaderCheckMilliseconds = 1_000;

/** The last snapshot that the follower has seen in the stream; times are by the log's clock. */
export type SnapshotPosition = { offset: number; upToOffset: number; appendedAt: number; };

export type SettingsFollowerStatus = {
    offset: number;
    /** Why the last read of the log failed; absent when it succeeded. */
    logFailure?: string;
    /** When the last read of the log succeeded. */
    lastReadAt?: number;
    /** Records read that can't be folded yet, since earlier ones are missing. */
    pendingRecords: number;
    /** Offset that the next append to the stream would have got at the last read. */
    nextOffset?: number;
    /** Counts since the start. */
    accepted: number;
    conflicts: number;
    malformed: number;
    snapshot?: SnapshotPosition;
};

export type SettingsFollower = {
    /** The newest state that this daemon has. */
    readonly state: () => SettingsState;
    /** Calls `listener` with each newer state until `signal` aborts; not with the present one. */
    readonly subscribe: (listener: (state: SettingsState) => void, signal: AbortSignal) => void;
    /** Takes a whole state from another daemon; a state that is not newer is ignored. */
    readonly adopt: (state: SettingsState) => void;
    /** Takes records of the stream from another daemon, in their order. */
    readonly applyRecords: (records: readonly LogRecord<SettingsRecord>[]) => void;
    /** The consecutive records after `offset` up to the state's own, if the follower still has them all. */
    readonly recordsAfter: (offset: number) => LogRecord<SettingsRecord>[] | undefined;
    readonly status: () => SettingsFollowerStatus;
    /** Resolves when the task has ended, after `signal` aborted. */
    readonly done: Promise<void>;
};

export type SettingsFollowerOptions = {
    stream: LogStream<SettingsRecord>;
    clock: Clock;
    random: RandomNumber;
    signal: AbortSignal;
    /** Whether this daemon waits at the log for new records; others hear of them through the relay. Always, by default. */
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
        const folded = steps.filter(({ verdict }) => verdict.kind !== "repeated" && verdict.kind !== "gap");
        folded.forEach(countStep);
        recent.add(folded.map(({ record }) => record));
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
        // Records after a gap wait here for the snapshot that connects to them.
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
        applyRecords: applyRecords,
        recordsAfter: recent.after,
        status: () => ({ ...status }),
        done: follow(),
    };
};
