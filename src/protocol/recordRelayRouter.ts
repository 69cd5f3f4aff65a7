/**
 * tRPC router by which an entry gives the records of the followed topics to other entries, and the encoding of records.
 *
 * Values are deflated: a configuration with a thousand routes takes a tenth of its size.
 */
import { initTRPC } from "@trpc/server";
import type { Result } from "neverthrow";
import { deflateRawSync } from "node:zlib";
import { z } from "zod";
import {
    type DatedRecord,
    type FeedFailure,
    feedTopics,
    type RecordBatch,
    type RecordSource,
    type StoredRecord,
} from "../coordination/ingress/recordSource.js";
import { inflateBounded } from "./boundedInflate.js";

export const recordRelayEndpoint = "/records";

const topicSchema = z.enum(feedTopics as [(typeof feedTopics)[number], ...(typeof feedTopics)[number][]]);
const positionSchema = z.object({ era: z.int(), offset: z.int() });
/** `value` is the deflated value in base64, or empty. */
const recordSchema = z.object({ key: z.string(), value: z.string(), offset: z.int() });
/** `removedValue`: for a removal, what it removed; encoded as `value`. */
const datedRecordSchema = recordSchema.extend({ era: z.int(), removedValue: z.string().optional() });
const answerSchema = z.union([
    z.object({
        records: z.array(recordSchema),
        next: positionSchema,
        forgotten: z.array(datedRecordSchema).optional(),
        eraStarts: z.array(positionSchema).optional(),
        digests: z.array(z.tuple([z.int(), z.string()])).optional(),
    }),
    z.object({ failure: z.enum(["truncated", "unavailable"]), reason: z.string() }),
]);

export type RelayAnswer = z.infer<typeof answerSchema>;

/** Long polls of more than this are cut short, so that a connection on which nothing arrives any more is noticed. */
const maximumWaitMilliseconds = 25_000;

/** Encoded values, as a record goes to each entry that reads from this one. */
const encodedValues = new WeakMap<Buffer, string>();

const encodeValue = (value: Buffer): string => {
    const known = encodedValues.get(value);
    if (known !== undefined) {
        return known;
    }
    const encoded = value.length === 0 ? "" : deflateRawSync(value).toString("base64");
    encodedValues.set(value, encoded);
    return encoded;
};

const encodeRecord = ({ key, value, offset }: StoredRecord): z.infer<typeof recordSchema> => ({
    key,
    value: encodeValue(value),
    offset,
});

const encodeDatedRecord = (record: DatedRecord): z.infer<typeof datedRecordSchema> => ({
    ...encodeRecord(record),
    era: record.era,
    ...record.removedValue === undefined ? {} : { removedValue: encodeValue(record.removedValue) },
});

const encodeAnswer = (result: Result<RecordBatch, FeedFailure>): RelayAnswer =>
    result.match<RelayAnswer>(
        ({ records, next, forgotten = [], eraStarts = [], digests = [] }) => ({
            records: records.map(encodeRecord),
            next,
            ...forgotten.length === 0 ? {} : { forgotten: forgotten.map(encodeDatedRecord) },
            ...eraStarts.length === 0 ? {} : { eraStarts },
            ...digests.length === 0 ? {} : { digests },
        }),
        ({ kind, reason }) => ({ failure: kind, reason }),
    );

const decodeValue = (value: string): Buffer =>
    value === "" ? Buffer.alloc(0) : inflateBounded(Buffer.from(value, "base64"))._unsafeUnwrap();

/** Throws if a value can't be inflated; the caller treats that as an entry that gave no usable answer. */
export const decodeRelayRecords = (records: z.infer<typeof recordSchema>[]): StoredRecord[] =>
    records.map(({ key, value, offset }) => ({ key, value: decodeValue(value), offset }));

/** As `decodeRelayRecords`, for records of earlier eras. */
export const decodeDatedRecords = (records: z.infer<typeof datedRecordSchema>[]): DatedRecord[] =>
    records.map(({ era, removedValue, ...record }) => ({
        ...record,
        value: decodeValue(record.value),
        era,
        removedValue: removedValue === undefined ? undefined : decodeValue(removedValue),
    }));

export type RecordRelayContext = { records: RecordSource; signal: AbortSignal; };

const { router, procedure } = initTRPC.context<RecordRelayContext>().create();

export const recordRelayRouter = router({
    readAll: procedure
        .input(z.object({ topic: topicSchema }))
        .output(answerSchema)
        .query(async ({ input, ctx }) => encodeAnswer(await ctx.records.readAll(input.topic, ctx.signal))),
    readNewer: procedure
        .input(z.object({
            topic: topicSchema,
            from: positionSchema,
            waitMilliseconds: z.number().min(0).max(maximumWaitMilliseconds),
        }))
        .output(answerSchema)
        .query(async ({ input, ctx }) =>
            encodeAnswer(await ctx.records.readNewer(input.topic, input.from, input.waitMilliseconds, ctx.signal))
        ),
});

export type RecordRelayRouter = typeof recordRelayRouter;
