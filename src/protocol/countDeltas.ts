/**
 * Compact encoding of the increase of a rank's expert counts between two messages.
 *
 * As decimal totals, a group of 32 ranks with 12 layers of 128 experts would send its coordinator one megabyte per
 * second, more than the link of its machine carries. Increases are mostly zeros and small numbers, so they are encoded
 * as variable-length integers (one byte up to 127) and deflated. When a message is lost, the decoder assumes that the
 * counts grew during the missing steps at the same rate as during the steps of the next message.
 */
import { err, ok, type Result } from "neverthrow";
import { deflateRawSync } from "node:zlib";
import { inflateBounded } from "./boundedInflate.js";

/** Increase of the counts from step `fromStep` to `step`; `growth` is base64 of the deflated varints. */
export type CountDelta = { fromStep: number; step: number; growth: string; };

const varintPayloadBits = 7;
const varintPayloadMask = 0x7f;
const varintContinuationBit = 0x80;

const encodeVarints = (numbers: number[]): string => {
    const bytes: number[] = [];
    for (const value of numbers) {
        let remaining = Math.max(0, Math.round(value));
        while (remaining > varintPayloadMask) {
            bytes.push(remaining & varintPayloadMask | varintContinuationBit);
            remaining = Math.floor(remaining / (varintPayloadMask + 1));
        }
        bytes.push(remaining);
    }
    return deflateRawSync(Uint8Array.from(bytes)).toString("base64");
};

const decodeVarints = (encoded: string): Result<number[], string> =>
    inflateBounded(Buffer.from(encoded, "base64")).andThen(bytes => {
        const numbers: number[] = [];
        let value = 0;
        let shift = 0;
        for (const byte of bytes) {
            value += (byte & varintPayloadMask) * 2 ** shift;
            shift = (byte & varintContinuationBit) === 0 ? 0 : shift + varintPayloadBits;
            if (shift === 0) {
                numbers.push(value);
                value = 0;
            }
        }
        return shift === 0 ? ok(numbers) : err("count delta is truncated inside a varint");
    });

export type CountDeltaEncoder = { encode: (epoch: number, step: number, counts: number[]) => CountDelta; };

/** Encodes the counts of one rank for one receiver; the first message of each epoch only sets the baseline. */
export const createCountDeltaEncoder = (): CountDeltaEncoder => {
    let last: { epoch: number; step: number; counts: number[]; } | undefined;
    return {
        encode: (epoch, step, counts) => {
            const baseline = last?.epoch === epoch ? last : { step, counts };
            last = { epoch, step, counts };
            const growth = counts.map((count, index) => count - (baseline.counts[index] ?? 0));
            return { fromStep: baseline.step, step, growth: encodeVarints(growth) };
        },
    };
};

export type CountDeltaDecoder = { decode: (epoch: number, delta: CountDelta) => Result<number[], string>; };

/**
 * Accumulates the messages of one rank; totals start from an arbitrary baseline, so only their differences are
 * meaningful.
 */
export const createCountDeltaDecoder = (): CountDeltaDecoder => {
    let last: { epoch: number; step: number; counts: number[]; } | undefined;
    return {
        decode: (epoch, { fromStep, step, growth }) =>
            decodeVarints(growth).map(numbers => {
                const previous = last?.epoch === epoch && last.step <= step ? last : undefined;
                const coveredSteps = step - fromStep;
                const hasGap = previous !== undefined && previous.step < fromStep && coveredSteps > 0;
                const scale = hasGap ? (step - previous.step) / coveredSteps : 1;
                const counts = numbers.map((value, index) => (previous?.counts[index] ?? 0) + value * scale);
                last = { epoch, step, counts };
                return counts;
            }),
    };
};
