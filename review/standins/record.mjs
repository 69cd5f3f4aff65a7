/**
 * Writes what was sent, answered and run to `record.txt` in the folder of a case.
 */
import { writeFileSync } from "node:fs";
import { join } from "node:path";

export const createRecord = folder => {
    const startedAt = performance.now();
    const lines = [];
    const seconds = at => ((at - startedAt) / 1_000).toFixed(3);
    return {
        add: (event, fields = {}, at = performance.now()) =>
            lines.push({ at, text: `${seconds(at)} ${event} ${JSON.stringify(fields)}` }),
        write: () => {
            const ordered = [...lines].sort((left, right) => left.at - right.at).map(({ text }) => text);
            writeFileSync(join(folder, "record.txt"), `${ordered.join("\n")}\n`);
        },
    };
};
