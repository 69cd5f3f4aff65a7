/**
 * One stream of the platform's log in memory, with its faults on command.
 */
import { err, ok } from "neverthrow";
import type { LogStream } from "../../src/coordination/logStream.js";
import { createNotifier } from "../../src/coordination/notifier.js";
import type { Clock, LogRecord } from "../../src/state/types.js";

/**
 * What becomes of one append: `taken` and answered; `answer-lost` after it took effect; `lost` altogether; `late`, which
 * takes effect long after its answer was lost; `turned-away` for certain.
 */
export type AppendFate = "taken" | "answer-lost" | "lost" | "late" | "turned-away";

export type FaultyLog<Body> = {
    records: LogRecord<Body>[];
    /** Opens the stream for one reader and writer. */
    open: () => LogStream<Body>;
    /** Drops the records below `offset`, as retention does. */
    dropBelow: (offset: number) => void;
    fate: () => AppendFate;
    appendMilliseconds: () => number;
    readMilliseconds: () => number;
    lateMilliseconds: () => number;
    readable: boolean;
    appends: number;
};

export const faultyLog = <Body>(clock: Clock, signal: AbortSignal, name = "claims/dispatch"): FaultyLog<Body> => {
    const changes = createNotifier(clock);
    let firstOffset = 0;
    let nextOffset = 0;
    const take = (body: Body): number => {
        log.records.push({ offset: nextOffset, appendedAt: clock.now(), body: structuredClone(body) });
        changes.notify(name);
        return nextOffset++;
    };

    const append: LogStream<Body>["append"] = async body => {
        log.appends++;
        const fate = log.fate();
        await clock.sleep(log.appendMilliseconds() / 2, signal);
        if (fate === "turned-away") {
            return err({ kind: "refused", reason: "outage" });
        }
        const offset = fate === "taken" || fate === "answer-lost" ? take(body) : -1;
        if (fate === "late") {
            void clock.sleep(log.lateMilliseconds(), signal).then(() => signal.aborted ? undefined : take(body));
        }
        await clock.sleep(log.appendMilliseconds() / 2, signal);
        return fate === "taken" ? ok(offset) : err({ kind: "unknown", reason: "the connection was cut" });
    };

    const read: LogStream<Body>["read"] = async (fromOffset, waitMilliseconds, readSignal) => {
        const until = clock.now() + waitMilliseconds;
        while (log.readable && nextOffset <= fromOffset && clock.now() < until && !readSignal.aborted) {
            await changes.wait(name, until - clock.now(), readSignal);
        }
        const records = structuredClone(log.records.filter(({ offset }) => offset >= fromOffset));
        const slice = { records, firstOffset, nextOffset };
        await clock.sleep(log.readMilliseconds(), readSignal);
        if (!log.readable) {
            return err({ kind: "unavailable", reason: "outage" });
        }
        return ok(slice);
    };

    const log: FaultyLog<Body> = {
        records: [],
        open: () => ({ name, append, read }),
        dropBelow: offset => {
            firstOffset = Math.max(firstOffset, Math.min(offset, nextOffset));
            log.records = log.records.filter(record => record.offset >= firstOffset);
        },
        fate: () => "taken",
        appendMilliseconds: () => 2,
        readMilliseconds: () => 1,
        lateMilliseconds: () => 3_000,
        readable: true,
        appends: 0,
    };
    return log;
};
