/**
 * Decodes the records of account demand that entries exchange.
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

/** Decoders for the topics of account demand; a malformed message gives undefined. */
export const demandDecoders: DemandDecoders = {
    digest: value => digestSchema.safeParse(value).data,
    records: value => z.array(recordSchema).safeParse(value).data,
};
