/**
 * The last consecutive records of a stream, kept so that a peer that lags a little can be given just those.
 */
import type { LogRecord } from "../state/types.js";

const maximumRecords = 256;

export type RecentRecords<Body> = {
    /** Adds records; those that do not continue the kept ones replace them. */
    add: (records: readonly LogRecord<Body>[]) => void;
    clear: () => void;
    /** Every record after `offset`, or undefined when some of them are no longer kept. */
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
