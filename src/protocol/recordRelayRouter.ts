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
const answerSchema = z.union([
    z.object({
        records: z.array(recordSchema),
        next: positionSchema,
        forgotten: z.array(recordSchema).optional(),
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

const encodeAnswer = (result: Result<RecordBatch, FeedFailure>): RelayAnswer =>
    result.match<RelayAnswer>(
        ({ records, next, forgotten = [] }) => ({
            records: records.map(encodeRecord),
            next,
            ...forgotten.length === 0 ? {} : { forgotten: forgotten.map(encodeRecord) },
        }),
        ({ kind, reason }) => ({ failure: kind, reason }),
    );

/** Throws if a value can't be inflated; the caller treats that as an entry that gave no usable answer. */
export const decodeRelayRecords = (records: z.infer<typeof recordSchema>[]): StoredRecord[] =>
    records.map(({ key, value, offset }) => ({
        key,
        value: value === "" ? Buffer.alloc(0) : inflateBounded(Buffer.from(value, "base64"))._unsafeUnwrap(),
        offset,
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
