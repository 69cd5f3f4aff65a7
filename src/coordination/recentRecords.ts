/**
 * The latest consecutive records of a stream, kept so that a peer that lags slightly can be sent just these.
 */
import type { LogRecord } from "../state/types.js";

const maximumRecords = 256;

export type RecentRecords<Body> = {
    /** Adds records; if they do not directly follow the kept records, they replace them. */
    add: (records: readonly LogRecord<Body>[]) => void;
    clear: () => void;
    /** Every record after `offset`, or undefined if some of them are no longer kept. */
    after: (offset: number) => LogRecord<Body>[] | undefined;
};

export const createRecentRecords = <Body>(): RecentRecords<Body> => {
    let kept: LogRecord<Body>[] = [];

    const add = (records: readonly LogRecord<Body>[]): void => {
        for (const record of records) {
            const last = kept.at(-1);
            if (last !== undefined && record.offset !== last.offset + 1) {
                kept = [];
            }
            kept.push(record);
        }
        kept = kept.slice(-maximumRecords);
    };

    const after = (offset: number): LogRecord<Body>[] | undefined => {
        const first = kept[0];
        return first !== undefined && first.offset <= offset + 1
            ? kept.filter(record => record.offset > offset)
            : undefined;
    };

    return {
        add,
        clear: () => {
            kept = [];
        },
        after,
    };
};
