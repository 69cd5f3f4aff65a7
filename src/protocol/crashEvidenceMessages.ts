/**
 * The schema of crash reports, as entries gossip them and keep them in the platform's store.
 */
import { z } from "zod";
import type { CrashEvidence } from "../state/crashEvidence.js";

export const crashEvidenceSchema: z.ZodType<CrashEvidence> = z.object({
    crashes: z.array(z.object({
        reporter: z.string(),
        run: z.string(),
        at: z.number(),
        suspects: z.array(z.array(z.string())),
    })),
    answers: z.array(z.object({ reporter: z.string(), trait: z.string(), at: z.number() })),
});
