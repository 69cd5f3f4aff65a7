/**
 * Growth of a rank's expert counts between two messages, in few bytes.
 *
 * A group of 32 ranks with 12 layers of 128 experts would tell its coordinator a megabyte a second as decimal sums, more
 * than the link of its machine carries. Growth is mostly zeros and small numbers: it is written in one byte up to 127,
 * in more above, and deflated. A message that was lost is made up for by assuming that the counts grew in the passes
 * that it told of as they did in those of the next one.
 */
import { err, ok, type Result } from "neverthrow";
import { deflateRawSync } from "node:zlib";
import { inflateBounded } from "./deflated.js";

/** Counts after pass `step`, as growth since pass `fromStep`; base64 of the deflated numbers. */
export type CountDelta = { fromStep: number; step: number; growth: string; };

const payloadBits = 7;
const payloadMask = 0x7f;
const moreFollows = 0x80;

const packNumbers = (numbers: number[]): string => {
    const bytes: number[] = [];
    for (const value of numbers) {
        let rest = Math.max(0, Math.round(value));
        while (rest > payloadMask) {
            bytes.push(rest & payloadMask | moreFollows);
            rest = Math.floor(rest / (payloadMask + 1));
        }
        bytes.push(rest);
    }
    return deflateRawSync(Uint8Array.from(bytes)).toString("base64");
};

const unpackNumbers = (packed: string): Result<number[], string> =>
    inflateBounded(Buffer.from(packed, "base64")).andThen(bytes => {
        const numbers: number[] = [];
        let value = 0;
        let shift = 0;
        for (const byte of bytes) {
            value += (byte & payloadMask) * 2 ** shift;
            shift = (byte & moreFollows) === 0 ? 0 : shift + payloadBits;
            if (shift === 0) {
                numbers.push(value);
                value = 0;
            }
        }
        return shift === 0 ? ok(numbers) : err("the numbers end inside one");
    });

export type CountsWriter = { write: (epoch: number, step: number, counts: number[]) => CountDelta; };

/** Writes the counts of one rank for one reader; the first message, and the first of an epoch, only sets the start. */
export const createCountsWriter = (): CountsWriter => {
    let last: { epoch: number; step: number; counts: number[]; } | undefined;
    return {
        write: (epoch, step, counts) => {
            const from = last?.epoch === epoch ? last : { step, counts };
            last = { epoch, step, counts };
            const growth = counts.map((count, index) => count - (from.counts[index] ?? 0));
            return { fromStep: from.step, step, growth: packNumbers(growth) };
        },
    };
};

export type CountsReader = { read: (epoch: number, delta: CountDelta) => Result<number[], string>; };

/** Sums up the messages of one rank; the sums start at an arbitrary point, so only their differences mean something. */
export const createCountsReader = (): CountsReader => {
    let last: { epoch: number; step: number; counts: number[]; } | undefined;
    return {
        read: (epoch, { fromStep, step, growth }) =>
            unpackNumbers(growth).map(numbers => {
                const known = last?.epoch === epoch && last.step <= step ? last : undefined;
                const told = step - fromStep;
                const isMissing = known !== undefined && known.step < fromStep && told > 0;
                const scale = isMissing ? (step - known.step) / told : 1;
                const counts = numbers.map((value, index) => (known?.counts[index] ?? 0) + value * scale);
                last = { epoch, step, counts };
                return counts;
            }),
    };
};
