/**
 * A daemon's own settings: a JSON-with-comments file that names its addresses, availability zone, host and platform.
 *
 * Everything that operators change at run time lives in the settings tree instead. An unknown or wrong field is named
 * with its line, so that a daemon with a wrong file stops before it listens. Tokens come from the environment and never
 * stand in the file.
 */
import { findNodeAtLocation, type Node, type ParseError, parseTree, printParseErrorCode } from "jsonc-parser";
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";

const address = z.string().regex(
    /^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/,
    "expected an IPv4 address and port, 127.0.0.1:8080",
);
const url = z.string().regex(/^http:\/\//, "expected a URL that starts with http://");

const common = {
    host: z.string().min(1),
    availabilityZone: z.string().min(1),
    platform: url,
    seeds: z.array(address).default([]),
    logLevel: z.enum(["error", "warn", "info", "debug"]).default("info"),
};

export const entryConfigSchema = z.strictObject({ ...common, listen: address, control: address });

export const agentConfigSchema = z.strictObject({
    ...common,
    listen: address,
    upstream: z.discriminatedUnion("kind", [
        z.strictObject({ kind: z.literal("group"), group: z.string(), rank: z.int().nonnegative(), address }),
        z.strictObject({ kind: z.literal("service"), service: z.string(), address }),
    ]),
});

export type EntryConfig = z.infer<typeof entryConfigSchema>;
export type AgentConfig = z.infer<typeof agentConfigSchema>;

/** One fault of a settings file; `line` counts from 1. */
export type ConfigProblem = { file: string; line: number; path: string; expected: string; };

/** Message of a problem, for logs and the command line. */
export const describeProblem = ({ file, line, path, expected }: ConfigProblem): string =>
    `${file}:${line}: field "${path}": ${expected}`;

const lineAt = (text: string, offset: number): number => text.slice(0, offset).split("\n").length;

const lineOfPath = (text: string, root: Node | undefined, path: PropertyKey[]): number => {
    for (let length = path.length; root !== undefined && length >= 0; length--) {
        const node = findNodeAtLocation(root, path.slice(0, length) as (string | number)[]);
        if (node !== undefined) {
            return lineAt(text, node.offset);
        }
    }
    return 1;
};

const toValue = (node: Node): unknown => {
    switch (node.type) {
        case "object":
            return Object.fromEntries((node.children ?? []).map(toProperty));
        case "array":
            return (node.children ?? []).map(toValue);
        default:
            return node.value;
    }
};

const toProperty = (property: Node): [string, unknown] => {
    const [key, value] = property.children ?? [];
    return [String(key?.value), value === undefined ? undefined : toValue(value)];
};

/** Decodes the text of a daemon's settings file; `file` is its name in the problems. */
export const decodeDaemonConfig = <Schema extends z.ZodType>(
    schema: Schema,
    file: string,
    text: string,
): Result<z.infer<Schema>, ConfigProblem[]> => {
    const syntaxErrors: ParseError[] = [];
    const root = parseTree(text, syntaxErrors, { allowTrailingComma: true });
    if (root === undefined || syntaxErrors.length > 0) {
        return err(syntaxErrors.map(({ error, offset }) => ({
            file,
            line: lineAt(text, offset),
            path: "",
            expected: printParseErrorCode(error),
        })));
    }
    const checked = schema.safeParse(toValue(root));
    if (checked.success) {
        return ok(checked.data);
    }
    return err(checked.error.issues.map(issue => ({
        file,
        line: lineOfPath(text, root, issue.path),
        path: issue.path.join("."),
        expected: issue.message,
    })));
};
