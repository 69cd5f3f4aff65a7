/**
 * Messages between entries: the datagram with an entry's news, and the deployment as one entry tells it to another.
 */
import { z } from "zod";
import type { EntryNews } from "../coordination/ingress/peerLoad.js";

const version = 1;

export const entryNewsSchema: z.ZodType<EntryNews> = z.object({
    host: z.string(),
    availabilityZone: z.string(),
    incarnation: z.string(),
    sequence: z.number(),
    running: z.record(z.string(), z.number()),
    limits: z.record(z.string(), z.number()),
    configuration: z.number().optional().transform(value => value),
    storeAge: z.number().optional().transform(value => value),
}) as z.ZodType<EntryNews>;

export const encodeEntryNews = (news: EntryNews): string => JSON.stringify({ version, ...news });
