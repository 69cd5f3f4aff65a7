/**
 * Compares whole sessions with the golden files in `tests/golden/`.
 *
 * Identifiers, hosts, times and load figures differ from run to run and are replaced by names in order of appearance.
 * `npm run golden:renew` writes the files anew; CI never does.
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

/** Replaces what differs between two runs of one session. */
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

/** The lines of one exchange between an entry and an agent, without heartbeats. */
export const describeExchange = ({ host, path, request, status, lines, cut }: Exchange): string[] => [
    `entry → ${host} ${path} ${request}`,
    `entry ← ${host} status ${status}`,
    ...lines.filter(line => line !== "" && !line.includes(`"heartbeat"`)).map(line => `entry ← ${host} ${line}`),
    ...(cut ? [`entry ← ${host} (cut)`] : []),
];

/** Holds `session` against the golden file `name`. */
export const expectGolden = (name: string, session: string[]): void => {
    const file = `${goldenDirectory}/${name}.txt`;
    const text = `${normalizeSession(session.join("\n"))}\n`;
    if (shouldRenew) {
        writeFileSync(file, text);
        return;
    }
    expect(text.split("\n")).to.deep.equal(readFileSync(file, "utf8").split("\n"));
};
