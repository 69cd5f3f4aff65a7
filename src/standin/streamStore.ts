/**
 * In-memory records of one stream of the simulated log, with appends, reads, long polls and limited retention.
 */
import type { LogRecord, LogSlice } from "../state/types.js";

export class StreamStore {
    private readonly records: LogRecord<unknown>[] = [];
    private firstOffset = 0;
    private readonly waiters = new Set<() => void>();

    /** Appends a record and returns its offset; deletes the oldest records beyond `retentionRecords`. */
    append(body: unknown, appendedAt: number, retentionRecords: number): number {
        const offset = this.firstOffset + this.records.length;
        this.records.push({ offset, appendedAt, body });
        const surplus = this.records.length - retentionRecords;
        if (surplus > 0) {
            this.records.splice(0, surplus);
            this.firstOffset += surplus;
        }
        this.notifyWaiters();
        return offset;
    }

    /** Returns at most `limit` records, starting with offset `from` or the oldest retained one. */
    read(from: number, limit: number): LogSlice<unknown> {
        const start = Math.max(0, from - this.firstOffset);
        return {
            records: this.records.slice(start, start + limit),
            firstOffset: this.firstOffset,
            nextOffset: this.firstOffset + this.records.length,
        };
    }

    /** Resolves at the next append or when `signal` aborts. */
    nextAppend(signal: AbortSignal): Promise<void> {
        return new Promise(resolve => {
            const finish = () => {
                this.waiters.delete(finish);
                signal.removeEventListener("abort", finish);
                resolve();
            };
            this.waiters.add(finish);
            signal.addEventListener("abort", finish);
        });
    }

    private notifyWaiters(): void {
        for (const notify of [...this.waiters]) {
            notify();
        }
    }
}
