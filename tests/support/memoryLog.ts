/**
 * In-memory settings stream of the platform's log, with several connections that can fail separately.
 */
import { err, ok } from "neverthrow";
import type { LogStream } from "../../src/coordination/logStream.js";
import type { Clock, LogRecord } from "../../src/state/types.js";

export type MemoryLog<Body> = {
    /**
     * Faults of the log itself. The next `loseAnswers` appends take effect without an acknowledgement; only the newest
     * `retentionRecords` records are kept.
     */
    faults: { outage: boolean; loseAnswers: number; retentionRecords: number; };
    /** Opens a connection to the log; it fails while its own `cut` is set or `faults.outage` is. */
    connect: () => LogStream<Body> & { cut: boolean; };
    records: () => LogRecord<Body>[];
    /** Number of reads received, including those that failed or still wait for records. */
    reads: () => number;
};

export const memoryLog = <Body>(clock: Clock): MemoryLog<Body> => {
    const faults = { outage: false, loseAnswers: 0, retentionRecords: Infinity };
    let records: LogRecord<Body>[] = [];
    let nextOffset = 0;
    let reads = 0;
    let waitingReaders: (() => void)[] = [];

    const appendRecord = (body: Body): number => {
        const offset = nextOffset++;
        records.push({ offset, appendedAt: clock.now(), body: structuredClone(body) });
        records = records.slice(-faults.retentionRecords);
        waitingReaders.forEach(wake => wake());
        waitingReaders = [];
        return offset;
    };

    const connect = () => {
        const isUnavailable = (): boolean => faults.outage || connection.cut;
        const connection: LogStream<Body> & { cut: boolean; } = {
            name: "settings",
            cut: false,
            append: async body => {
                if (isUnavailable()) {
                    return err({ kind: "refused", reason: "outage" });
                }
                const offset = appendRecord(body);
                if (faults.loseAnswers > 0) {
                    faults.loseAnswers -= 1;
                    return err({ kind: "unknown", reason: "connection closed before the acknowledgement" });
                }
                return ok(offset);
            },
            read: async (fromOffset, waitMilliseconds, signal) => {
                reads += 1;
                if (!isUnavailable() && fromOffset >= nextOffset) {
                    const nextRecord = new Promise<void>(resolve => waitingReaders.push(resolve));
                    await Promise.race([nextRecord, clock.sleep(waitMilliseconds, signal)]);
                }
                if (isUnavailable() || signal.aborted) {
                    return err({ kind: "unavailable", reason: "outage" });
                }
                const firstOffset = records[0]?.offset ?? nextOffset;
                return ok({
                    records: structuredClone(records.filter(({ offset }) => offset >= fromOffset)),
                    firstOffset,
                    nextOffset,
                });
            },
        };
        return connection;
    };

    return { faults, connect, records: () => records, reads: () => reads };
};
