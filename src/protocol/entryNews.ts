/**
 * The datagram between entries: what its sender runs, and what it heard of others that it speaks for, deflated.
 */
import { Result } from "neverthrow";
import { deflateRawSync, inflateRawSync } from "node:zlib";
import { z } from "zod";
import type { EntryNews } from "../coordination/ingress/peerLoad.js";
import { decodeJsonAs, describeDecodingError } from "./decoding.js";

const version = 2;
/** A message beyond this is not of ours. */
const largestBytes = 1 << 20;

const newsSchema = z.object({
    host: z.string(),
    availabilityZone: z.string(),
    incarnation: z.string(),
    sequence: z.number(),
    running: z.record(z.string(), z.number()),
    limits: z.record(z.string(), z.number()),
    store: z.object({
        contactAge: z.number(),
        offsets: z.object({ operator: z.number(), upstreams: z.number() }),
    }).optional(),
});
const messageSchema = z.object({ version: z.literal(version), from: z.string(), news: z.array(newsSchema) });

export type NewsMessage = { from: string; news: EntryNews[]; };

const inflate = Result.fromThrowable(
    (message: Buffer) => inflateRawSync(message, { maxOutputLength: largestBytes }).toString("utf8"),
    error => error instanceof Error ? error.message : String(error),
);

export const encodeNews = (message: NewsMessage): Buffer => deflateRawSync(JSON.stringify({ version, ...message }));

export const decodeNews = (message: Buffer): Result<NewsMessage, string> =>
    inflate(message).andThen(text => decodeJsonAs(messageSchema, text).mapErr(describeDecodingError)) as Result<
        NewsMessage,
        string
    >;
