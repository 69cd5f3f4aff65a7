/**
 * A topic of the store for models of entries that keep its records: the log with its eras, and the record that holds for
 * each key after the orders that were accepted, lost and written again.
 */
import type { RecordBatch, StoredRecord } from "../../src/coordination/ingress/recordSource.js";

export type RecordLog = {
    /** An empty value removes the key. */
    write: (key: string, value: string) => void;
    /** Comes back from a copy without the latest records. */
    restoreFromCopy: (lost: number) => void;
    readAll: () => RecordBatch;
    readNewer: (from: number) => RecordBatch;
    /** All records from the first. */
    history: () => StoredRecord[];
    era: () => number;
    end: () => number;
    /** Keys written in the current era, with their newest values. */
    writtenInEra: () => Map<string, string>;
    /** Whether what the era wrote up to the newest record of a key repeats what the log held there before. */
    repeatsEarlierLog: (key: string) => boolean;
};

type Written = { key: string; value: string; };

export const createRecordLog = (): RecordLog => {
    let records: Written[] = [];
    let era = 1;
    let eraStart = 0;
    /** The logs of the earlier eras. */
    const earlierLogs: Written[][] = [];

    const stored = ({ key, value }: Written, offset: number): StoredRecord => ({
        key,
        value: Buffer.from(value),
        offset,
    });
    const next = (): RecordBatch["next"] => ({ era, offset: records.length });
    const isSame = (left: Written | undefined, right: Written | undefined): boolean =>
        left !== undefined && left.key === right?.key && left.value === right.value;

    return {
        write: (key, value) => void records.push({ key, value }),
        restoreFromCopy: lost => {
            earlierLogs.push(records);
            records = records.slice(0, Math.max(0, records.length - lost));
            era += 1;
            eraStart = records.length;
        },
        readAll: () => {
            const newest = new Map(records.map((record, offset) => [record.key, stored(record, offset)]));
            return { records: [...newest.values()].filter(({ value }) => value.length > 0), next: next() };
        },
        readNewer: from => ({ records: records.map(stored).slice(from), next: next() }),
        history: () => records.map(stored),
        era: () => era,
        end: () => records.length,
        writtenInEra: () => new Map(records.slice(eraStart).map(({ key, value }) => [key, value])),
        repeatsEarlierLog: key => {
            const newest = records.findLastIndex(record => record.key === key);
            return earlierLogs.some(earlier =>
                records.slice(eraStart, newest + 1).every((record, index) => isSame(record, earlier[eraStart + index]))
            );
        },
    };
};
