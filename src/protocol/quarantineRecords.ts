/**
 * Records of the `quarantine` stream, and the crash reports of the relay.
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

/** Decodes a record; one that no agent or operator can have written states nothing. */
export const decodeQuarantineBatch = (body: unknown): QuarantineBatch =>
    decodeValue(quarantineBatchSchema, body).unwrapOr({ agent: "", entries: [] });

/** Decodes the crash reports of a peer; without any if they are malformed. */
export const decodeCrashReports = (update: unknown): CrashReport[] =>
    decodeValue(z.array(crashReportSchema), update).unwrapOr([]);
