/**
 * Schemas of the records in the `quarantine` log stream and of the crash reports that gossip carries.
 */
import { z } from "zod";
import type { CrashReport, QuarantineBatch } from "../state/quarantineStateMachine.js";
import { decodeValue } from "./decoding.js";

export const quarantineStreamName = "quarantine";

const crashReportSchema = z.object({ id: z.string(), digests: z.array(z.string()), isTrial: z.boolean() });

const quarantineEntrySchema = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("crash"), report: crashReportSchema }),
    z.object({ kind: z.literal("trial"), digest: z.string(), trial: z.string() }),
    z.object({ kind: z.literal("withdraw"), digest: z.string(), trial: z.string() }),
    z.object({ kind: z.literal("clear"), digest: z.string(), by: z.string() }),
]);

const quarantineBatchSchema = z.object({ agent: z.string(), entries: z.array(quarantineEntrySchema) });

/** Decodes a record; an invalid one is read as an empty batch. */
export const decodeQuarantineBatch = (body: unknown): QuarantineBatch =>
    decodeValue(quarantineBatchSchema, body).unwrapOr({ agent: "", entries: [] });

/** Decodes the crash reports of a peer; empty if they are malformed. */
export const decodeCrashReports = (update: unknown): CrashReport[] =>
    decodeValue(z.array(crashReportSchema), update).unwrapOr([]);
