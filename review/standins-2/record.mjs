/**
 * The record of a case: one line for each thing that was sent, answered or run, with milliseconds since the start.
 */
import { createWriteStream } from "node:fs";

export const openRecord = file => {
    const startedAt = Date.now();
    const stream = createWriteStream(file);
    const lines = [];
    return {
        add: (what, details = {}, at = Date.now()) => lines.push({ at, text: `${what} ${JSON.stringify(details)}` }),
        since: at => at - startedAt,
        /** Writes the lines in the order of their times, and then `summary`. */
        close: summary =>
            new Promise(resolve => {
                lines.sort((left, right) => left.at - right.at);
                lines.forEach(({ at, text }) => stream.write(`${String(at - startedAt).padStart(6)} ms  ${text}\n`));
                summary.forEach(line => stream.write(`${line}\n`));
                stream.end(resolve);
            }),
    };
};
