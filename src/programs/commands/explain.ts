/**
 * `cyclamengap explain`: from the id of a request to the cause of its outcome, out of log files.
 */
import { defineCommand } from "citty";
import { fromThrowable, Result } from "neverthrow";
import { readFileSync } from "node:fs";
import { explainRequest, type Explanation } from "../../coordination/ingress/explanation.js";
import { parseLogLines } from "../../protocol/logLines.js";
import type { LogLine } from "../../state/ingressTypes.js";
import { exitStatus, fail, print } from "./commandSupport.js";

/** Fields that stand at the head of a printed line or say nothing more. */
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
    ...(context.length === 0 ? [] : ["what was believed then:", ...context.map(describeLine)]),
];

const readFile = fromThrowable((file: string) => readFileSync(file, "utf8"), error => (error as Error).message);

/** The command `explain`. */
export const explain = defineCommand({
    meta: { name: "explain", description: "print what the logs of the processes tell of a request, and the cause" },
    args: {
        request: { type: "positional", required: true, description: "id of the request" },
        log: { type: "positional", required: true, description: "log file; more may follow" },
    },
    run: ({ args }) => {
        const [, ...files] = args._;
        const texts = Result.combine(
            files.map(file => readFile(file).mapErr(reason => `log file "${file}" can't be read: ${reason}`)),
        );
        if (texts.isErr()) {
            fail(exitStatus.invalidInput, texts.error);
            return;
        }
        const lines = texts.value.flatMap(text => parseLogLines(text).lines);
        const explanation = explainRequest(args.request, lines);
        if (explanation === undefined) {
            fail(exitStatus.rejected, `no line of ${files.length} log files names the request "${args.request}"`);
            return;
        }
        print(...describe(args.request, explanation));
    },
});
