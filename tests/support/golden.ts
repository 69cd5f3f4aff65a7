/**
 * Compares recorded sessions with the golden files in `tests/golden/`.
 *
 * Identifiers, digests, hosts, addresses, times, reasons and load figures differ between runs and are replaced by
 * placeholders; identifiers, digests and hosts are numbered in order of first appearance. `npm run golden:renew`
 * rewrites the files; CI never does.
 */
import { expect } from "chai";
import { readFileSync, writeFileSync } from "node:fs";
import type { Exchange } from "./recorder.js";

const goldenDirectory = "tests/golden";
const shouldRenew = process.env["CYCLAMENGAP_GOLDEN"] === "renew";

const replaceByOrderOfAppearance = (text: string, pattern: RegExp, name: string): string => {
    const placeholders = new Map<string, string>();
    return text.replace(pattern, match => {
        if (!placeholders.has(match)) {
            placeholders.set(match, `<${name} ${placeholders.size + 1}>`);
        }
        return placeholders.get(match) ?? match;
    });
};

/** Replaces the values that differ between two runs of the same session by placeholders. */
export const normalizeSession = (text: string): string => {
    let result = text
        .replace(/"load":\{[^}]*\}/g, `"load":"<load>"`)
        .replace(/"timeoutMilliseconds":[\d.]+/g, `"timeoutMilliseconds":"<time left>"`)
        .replace(/127\.0\.0\.1:\d+/g, "<address>")
        .replace(/"(appendedAt|at|time|claimedAt|doneAt)":\d+/g, `"$1":"<time>"`);
    result = result.replace(/"reason":"[^"]*"/g, `"reason":"<reason>"`);
    result = replaceByOrderOfAppearance(result, /[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{12}/g, "id");
    result = replaceByOrderOfAppearance(result, /\b[0-9a-f]{64}\b/g, "digest");
    return replaceByOrderOfAppearance(result, /\b(council|dispatch)-\d+\b/g, "host");
};

/** Formats one exchange between an entry and an agent, without heartbeats. */
export const describeExchange = ({ host, path, request, status, lines, cut }: Exchange): string[] => [
    `entry → ${host} ${path} ${request}`,
    `entry ← ${host} status ${status}`,
    ...lines.filter(line => line !== "" && !line.includes(`"heartbeat"`)).map(line => `entry ← ${host} ${line}`),
    ...(cut ? [`entry ← ${host} (cut)`] : []),
];

/** Compares `session` with the golden file `name`, or rewrites the file when `CYCLAMENGAP_GOLDEN=renew`. */
export const expectGolden = (name: string, session: string[]): void => {
    const file = `${goldenDirectory}/${name}.txt`;
    const text = `${normalizeSession(session.join("\n"))}\n`;
    if (shouldRenew) {
        writeFileSync(file, text);
        return;
    }
    expect(text.split("\n")).to.deep.equal(readFileSync(file, "utf8").split("\n"));
};
