/**
 * In-memory stream of the platform's log whose latency, outages and append failures are set by the test.
 */
import { err, ok } from "neverthrow";
import type { LogStream } from "../../src/coordination/logStream.js";
import { createNotifier } from "../../src/coordination/notifier.js";
import type { Clock, LogRecord } from "../../src/state/types.js";

/**
 * Outcome of one append:
 * - `taken`: appended and acknowledged;
 * - `answer-lost`: appended, but the acknowledgement is lost;
 * - `lost`: neither appended nor acknowledged;
 * - `late`: appended only `lateAppendDelayMilliseconds` later, and never acknowledged;
 * - `turned-away`: refused, so the writer knows that nothing was appended.
 */
export type AppendOutcome = "taken" | "answer-lost" | "lost" | "late" | "turned-away";

export type FaultyLog<Body> = {
    records: LogRecord<Body>[];
    /** Opens the stream for one client. */
    openStream: () => LogStream<Body>;
    /** Deletes the records below `offset`, as the log does after its retention time. */
    deleteRecordsBefore: (offset: number) => void;
    nextAppendOutcome: () => AppendOutcome;
    appendLatencyMilliseconds: () => number;
    readLatencyMilliseconds: () => number;
    lateAppendDelayMilliseconds: () => number;
    isReadable: boolean;
    appendCount: number;
};

export const faultyLog = <Body>(clock: Clock, signal: AbortSignal, name = "claims/dispatch"): FaultyLog<Body> => {
    const notifier = createNotifier(clock);
    let firstOffset = 0;
    let nextOffset = 0;
    const appendRecord = (body: Body): number => {
        log.records.push({ offset: nextOffset, appendedAt: clock.now(), body: structuredClone(body) });
        notifier.notify(name);
        return nextOffset++;
    };

    const append: LogStream<Body>["append"] = async body => {
        log.appendCount++;
        const outcome = log.nextAppendOutcome();
        await clock.sleep(log.appendLatencyMilliseconds() / 2, signal);
        if (outcome === "turned-away") {
            return err({ kind: "refused", reason: "outage" });
        }
        const offset = outcome === "taken" || outcome === "answer-lost" ? appendRecord(body) : -1;
        if (outcome === "late") {
            void clock.sleep(log.lateAppendDelayMilliseconds(), signal).then(() =>
                signal.aborted ? undefined : appendRecord(body)
            );
        }
        await clock.sleep(log.appendLatencyMilliseconds() / 2, signal);
        return outcome === "taken"
            ? ok(offset)
            : err({ kind: "unknown", reason: "connection closed before the acknowledgement" });
    };

    const read: LogStream<Body>["read"] = async (fromOffset, waitMilliseconds, readSignal) => {
        const deadline = clock.now() + waitMilliseconds;
        while (log.isReadable && nextOffset <= fromOffset && clock.now() < deadline && !readSignal.aborted) {
            await notifier.wait(name, deadline - clock.now(), readSignal);
        }
        const records = structuredClone(log.records.filter(({ offset }) => offset >= fromOffset));
        const batch = { records, firstOffset, nextOffset };
        await clock.sleep(log.readLatencyMilliseconds(), readSignal);
        if (!log.isReadable) {
            return err({ kind: "unavailable", reason: "outage" });
        }
        return ok(batch);
    };

    const log: FaultyLog<Body> = {
        records: [],
        openStream: () => ({ name, append, read }),
        deleteRecordsBefore: offset => {
            firstOffset = Math.max(firstOffset, Math.min(offset, nextOffset));
            log.records = log.records.filter(record => record.offset >= firstOffset);
        },
        nextAppendOutcome: () => "taken",
        appendLatencyMilliseconds: () => 2,
        readLatencyMilliseconds: () => 1,
        lateAppendDelayMilliseconds: () => 3_000,
        isReadable: true,
        appendCount: 0,
    };
    return log;
};
