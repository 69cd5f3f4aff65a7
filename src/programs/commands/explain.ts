/**
 * `cyclamengap explain`: finds the cause of the outcome of a request in log files, by the request id.
 */
import { defineCommand } from "citty";
import { fromThrowable, Result } from "neverthrow";
import { readFileSync } from "node:fs";
import { explainRequest, type Explanation } from "../../coordination/ingress/explanation.js";
import { parseLogLines } from "../../protocol/logLines.js";
import type { LogLine } from "../../state/ingressTypes.js";
import { exitStatus, fail, print } from "./commandSupport.js";

/** Fields that are printed at the start of a line or are redundant. */
const hiddenFields = new Set([
    "timestamp",
    "host",
    "event",
    "message",
    "level",
    "role",
    "availabilityZone",
    "requestId",
]);

const describeLine = (line: LogLine): string => {
    const fields = Object.entries(line)
        .filter(([name]) => !hiddenFields.has(name))
        .map(([name, value]) => `${name}=${JSON.stringify(value)}`);
    return `  ${line.timestamp} ${line.host} ${line.event} ${fields.join(" ")}`;
};

const describe = (requestId: string, { kind, verdict, request, context }: Explanation): string[] => [
    `${requestId}: ${verdict} (${kind})`,
    "the request:",
    ...request.map(describeLine),
    ...(context.length === 0 ? [] : ["what the entry knew at that time:", ...context.map(describeLine)]),
];

const readFile = fromThrowable((file: string) => readFileSync(file, "utf8"), error => (error as Error).message);

export const explain = defineCommand({
    meta: { name: "explain", description: "print the log lines of a request and the cause of its outcome" },
    args: {
        request: { type: "positional", required: true, description: "id of the request" },
        log: { type: "positional", required: true, description: "log file; more than one may be given" },
    },
    run: ({ args }) => {
        const [, ...files] = args._;
        const texts = Result.combine(
            files.map(file => readFile(file).mapErr(reason => `cannot read log file "${file}": ${reason}`)),
        );
        if (texts.isErr()) {
            fail(exitStatus.invalidInput, texts.error);
            return;
        }
        const lines = texts.value.flatMap(text => parseLogLines(text).lines);
        const explanation = explainRequest(args.request, lines);
        if (explanation === undefined) {
            fail(exitStatus.rejected, `request "${args.request}" not found in ${files.length} log files`);
            return;
        }
        print(...describe(args.request, explanation));
    },
});
