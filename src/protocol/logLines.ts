/**
 * Parses the JSON log lines that `transport/logger.ts` writes, with or without a prefix added by a log collector.
 */
import { z } from "zod";
import type { LogLine } from "../state/ingressTypes.js";
import { decodeJsonAs } from "./decoding.js";

const logLineSchema = z.looseObject({ event: z.string(), timestamp: z.string(), host: z.string() });

/** Parses the text of a log; `skipped` counts the lines that are not in the log format. */
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
