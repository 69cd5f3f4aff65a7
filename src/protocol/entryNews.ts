/**
 * The datagram between entries: what its sender runs, and what it heard of others that it speaks for, deflated.
 */
import type { Result } from "neverthrow";
import { deflateRawSync } from "node:zlib";
import { z } from "zod";
import type { EntryNews } from "../coordination/ingress/peerLoad.js";
import { decodeJsonAs, describeDecodingError } from "./decoding.js";
import { inflateBounded } from "./deflated.js";

const version = 2;

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

export const encodeNews = (message: NewsMessage): Buffer => deflateRawSync(JSON.stringify({ version, ...message }));

export const decodeNews = (message: Buffer): Result<NewsMessage, string> =>
    inflateBounded(message)
        .andThen(text => decodeJsonAs(messageSchema, text.toString("utf8")).mapErr(describeDecodingError)) as Result<
            NewsMessage,
            string
        >;
