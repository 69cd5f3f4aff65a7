/**
 * Log lines read back: one JSON object a line, as `transport/logger.ts` writes them, also behind a prefix that a
 * collector put before it.
 */
import { z } from "zod";
import type { LogLine } from "../state/ingressTypes.js";
import { decodeJsonAs } from "./decoding.js";

const logLineSchema = z.looseObject({ event: z.string(), timestamp: z.string(), host: z.string() });

/** The lines of a log; `skipped` counts those that are not ours. */
export const parseLogLines = (text: string): { lines: LogLine[]; skipped: number; } => {
    const lines: LogLine[] = [];
    let skipped = 0;
    for (const rawLine of text.split("\n")) {
        const jsonStart = rawLine.indexOf("{");
        if (rawLine.trim() === "") {
            continue;
        }
        decodeJsonAs(logLineSchema, jsonStart < 0 ? "" : rawLine.slice(jsonStart)).match(
            line => void lines.push(line),
            () => {
                skipped += 1;
            },
        );
    }
    return { lines, skipped };
};
