/**
 * Decodes the account demand records that entries exchange.
 */
import { z } from "zod";
import type { DemandDecoders } from "../coordination/demandExchange.js";

const rateSchema = z.number().min(0);

const recordSchema = z.object({
    host: z.string(),
    sequence: z.number(),
    accounts: z.record(z.string(), z.object({ demand: rateSchema, share: rateSchema })),
});

const digestSchema = z.object({ own: recordSchema, known: z.record(z.string(), z.number()) });

/** Decoders for the account demand topics; they return undefined for a malformed message. */
export const demandDecoders: DemandDecoders = {
    digest: value => digestSchema.safeParse(value).data,
    records: value => z.array(recordSchema).safeParse(value).data,
};
