/**
 * Appends a change to the `settings` stream and waits until its position in the log has determined its outcome.
 *
 * If the response to an append is lost, the stream is read and searched for the change's id. Appending the same change
 * again is safe: once the first copy has been accepted, the base revisions of the second are out of date, so it can
 * only be rejected.
 */
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import { applySettingsRecords } from "../state/settingsStateMachine.js";
import type { SettingsConflict, SettingsReplay } from "../state/settingsStateMachine.js";
import { emptySettings } from "../state/settingsTree.js";
import type { SettingsState } from "../state/settingsTree.js";
import type { Clock, LogRecord, RandomNumber, SettingsChange, SettingsRecord } from "../state/types.js";
import type { LogStream, ReadFailure } from "./logStream.js";

const firstRetryMilliseconds = 100;
const maximumRetryMilliseconds = 2_000;

/** The whole stream as far as the log retains it: the current tree and the verdict on each record. */
export type SettingsHistory = SettingsReplay;

/** A change in the log that won over another. */
export type WinningChange = SettingsConflict & { change?: SettingsChange; };

/** The outcome of a change, once it is certain. */
export type ChangeOutcome =
    | { kind: "accepted"; offset: number; state: SettingsState; }
    | { kind: "conflict"; offset: number; winners: WinningChange[]; };

/** `not-taken`: the log definitely does not contain the change; `unsettled`: it may, but could not be read in time. */
export type ChangeFailure = { kind: "not-taken" | "unsettled"; reason: string; };

/** Reads the stream from its oldest record to its end and applies the records. */
export const readSettingsHistory = async (
    stream: LogStream<SettingsRecord>,
    signal: AbortSignal,
): Promise<Result<SettingsHistory, ReadFailure>> => {
    const records: LogRecord<SettingsRecord>[] = [];
    for (;;) {
        const slice = await stream.read((records.at(-1)?.offset ?? -1) + 1, 0, signal);
        if (slice.isErr()) {
            return err(slice.error);
        }
        records.push(...slice.value.records);
        const end = (records.at(-1)?.offset ?? -1) + 1;
        if (end >= slice.value.nextOffset || slice.value.records.length === 0) {
            const history = applySettingsRecords(emptySettings, records);
            return history.state.offset + 1 === slice.value.nextOffset
                ? ok(history)
                : err({ kind: "unavailable", reason: `stream "${stream.name}" contains no snapshot to start from` });
        }
    }
};

/** The outcome of the change with the identifier `id` in `history`; undefined if the stream does not contain it. */
export const changeOutcomeOf = (history: SettingsHistory, id: string): ChangeOutcome | undefined => {
    const copies = history.steps.flatMap(({ record, verdict }) =>
        "change" in verdict && verdict.change.id === id ? [{ offset: record.offset, verdict }] : []
    );
    const accepted = copies.find(({ verdict }) => verdict.kind === "accepted");
    if (accepted !== undefined) {
        return { kind: "accepted", offset: accepted.offset, state: history.state };
    }
    const [rejected] = copies;
    if (rejected?.verdict.kind !== "conflict") {
        return undefined;
    }
    const winners = rejected.verdict.conflicts.map(conflict => ({ ...conflict, ...winningChange(history, conflict) }));
    return { kind: "conflict", offset: rejected.offset, winners };
};

const winningChange = (history: SettingsHistory, { winningOffset }: SettingsConflict): { change?: SettingsChange; } => {
    const step = history.steps.find(({ record }) => record.offset === winningOffset);
    return step?.verdict.kind === "accepted" ? { change: step.verdict.change } : {};
};

export type ApplyOptions = {
    stream: LogStream<SettingsRecord>;
    /** How long to keep trying, in milliseconds. */
    timeoutMilliseconds: number;
    clock: Clock;
    random: RandomNumber;
    signal: AbortSignal;
};

/** Appends `change` and returns its outcome; retries after rejections, lost responses and outages until the timeout. */
export const applyChange = async (
    change: SettingsChange,
    options: ApplyOptions,
): Promise<Result<ChangeOutcome, ChangeFailure>> => {
    const { stream, timeoutMilliseconds, clock, random, signal } = options;
    const deadline = clock.now() + timeoutMilliseconds;
    let failure: ChangeFailure = { kind: "not-taken", reason: "the change was abandoned before it was sent" };

    const backOff = async (attempt: number): Promise<void> => {
        const maximumDelay = Math.min(firstRetryMilliseconds * 2 ** attempt, maximumRetryMilliseconds);
        await clock.sleep(Math.min(maximumDelay * (0.5 + random() / 2), Math.max(deadline - clock.now(), 0)), signal);
    };

    for (let attempt = 0; clock.now() < deadline && !signal.aborted; attempt++) {
        // Once an append may have taken effect, only reading the log can determine the outcome of the change.
        if (failure.kind === "unsettled") {
            const history = await readSettingsHistory(stream, signal);
            if (history.isErr()) {
                failure = { kind: "unsettled", reason: history.error.reason };
                await backOff(attempt);
                continue;
            }
            const outcome = changeOutcomeOf(history.value, change.id);
            if (outcome !== undefined) {
                return ok(outcome);
            }
        }
        // The change's absence from the log proves nothing, since the append may still be in progress, so it is
        // appended again.
        const appended = await stream.append(change, signal);
        if (appended.isOk()) {
            failure = { kind: "unsettled", reason: "the log accepted the change, but it has not been read back" };
            continue;
        }
        const mayBeAppended = failure.kind === "unsettled" || appended.error.kind === "unknown";
        failure = { kind: mayBeAppended ? "unsettled" : "not-taken", reason: appended.error.reason };
        await backOff(attempt);
    }
    return err(failure);
};
