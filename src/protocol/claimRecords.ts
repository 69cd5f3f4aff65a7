/**
 * Schemas of the records in the `claims/<service>` log streams.
 */
import { z } from "zod";
import type { ClaimBatch } from "../state/claimStateMachine.js";
import { decodeValue } from "./decoding.js";

const claimResultSchema = z.discriminatedUnion("kind", [
    z.object({
        kind: z.literal("answered"),
        answer: z.object({ status: z.int(), contentType: z.string().optional(), body: z.string() }),
    }),
    z.object({ kind: z.literal("lost") }),
]);

const claimEntrySchema = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("claim"), key: z.string(), attempt: z.string(), digest: z.string() }),
    z.object({ kind: z.literal("release"), key: z.string(), attempt: z.string() }),
    z.object({ kind: z.literal("result"), key: z.string(), attempt: z.string(), result: claimResultSchema }),
]);

const claimBatchSchema = z.object({ agent: z.string(), entries: z.array(claimEntrySchema) });

/** Name of the log stream that holds the claims of `service`. */
export const claimStreamName = (service: string): string => `claims/${service}`;

/** Decodes a record; an invalid one is read as an empty batch. */
export const decodeClaimBatch = (body: unknown): ClaimBatch =>
    decodeValue(claimBatchSchema, body).unwrapOr({ agent: "", entries: [] }) as ClaimBatch;
