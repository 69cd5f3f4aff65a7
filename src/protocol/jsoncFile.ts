/**
 * Parses and validates JSON files with comments (JSONC) and reports every problem with its file, line and path.
 */
import { findNodeAtLocation } from "jsonc-parser";
import type { Node } from "jsonc-parser";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import type { z } from "zod";
import { decodeJsoncTree, decodeValue } from "./decoding.js";

/** One problem in a file; `line` counts from 1, and `path` joins the keys from the root with ".". */
export type FileProblem = { file: string; line: number; path: string; expected: string; };

/** Formats a problem for logs and the command line. */
export const describeProblem = ({ file, line, path, expected }: FileProblem): string =>
    `${file}:${line}: field "${path}": ${expected}`;

export type JsoncFile = {
    value: unknown;
    /** Creates a problem for `path`, with the line of its nearest ancestor that is present in the file. */
    problemAt: (path: PropertyKey[], expected: string) => FileProblem;
};

const lineAt = (text: string, position: number): number => text.slice(0, position).split("\n").length;

const nodeToValue = (node: Node): unknown => {
    switch (node.type) {
        case "object":
            return Object.fromEntries((node.children ?? []).map(nodeToProperty));
        case "array":
            return (node.children ?? []).map(nodeToValue);
        default:
            return node.value;
    }
};

const nodeToProperty = (property: Node): [string, unknown] => {
    const [key, value] = property.children ?? [];
    return [String(key?.value), value === undefined ? undefined : nodeToValue(value)];
};

type DuplicateKey = { path: string[]; position: number; };

/** Finds keys that occur more than once in an object, since a parser silently keeps only one of their values. */
const findDuplicateKeys = (node: Node, path: string[] = []): DuplicateKey[] => {
    const seen = new Set<string>();
    return (node.children ?? []).flatMap((child, index) => {
        const [key, value] = child.type === "property" ? child.children ?? [] : [undefined, child];
        const name = key === undefined ? String(index) : String(key.value);
        const duplicate = key !== undefined && seen.has(name) ? [{ path: [...path, name], position: key.offset }] : [];
        seen.add(name);
        return [...duplicate, ...value === undefined ? [] : findDuplicateKeys(value, [...path, name])];
    });
};

const lineOfPath = (text: string, root: Node, path: PropertyKey[]): number => {
    for (let length = path.length; length >= 0; length--) {
        const node = findNodeAtLocation(root, path.slice(0, length) as (string | number)[]);
        if (node !== undefined) {
            return lineAt(text, node.parent?.type === "property" ? node.parent.offset : node.offset);
        }
    }
    return 1;
};

/** Parses the text of a file; `file` is the name used in problems. */
export const parseJsoncFile = (file: string, text: string): Result<JsoncFile, FileProblem[]> =>
    decodeJsoncTree(text)
        .mapErr(problems =>
            problems.map(({ position, expected }) => ({ file, line: lineAt(text, position), path: "", expected }))
        )
        .andThen(root => {
            const duplicates = findDuplicateKeys(root).map(({ path, position }) => ({
                file,
                line: lineAt(text, position),
                path: path.join("."),
                expected: "a key that occurs only once in its object",
            }));
            const problemAt = (path: PropertyKey[], expected: string): FileProblem => ({
                file,
                line: lineOfPath(text, root, path),
                path: path.map(String).join("."),
                expected,
            });
            return duplicates.length === 0 ? ok({ value: nodeToValue(root), problemAt }) : err(duplicates);
        });

/** Parses the text of a file and validates it against `schema`. */
export const decodeJsoncFile = <Schema extends z.ZodType>(
    schema: Schema,
    file: string,
    text: string,
): Result<z.infer<Schema>, FileProblem[]> =>
    parseJsoncFile(file, text).andThen(({ value, problemAt }) =>
        decodeValue<z.infer<Schema>>(schema as z.ZodType<z.infer<Schema>>, value)
            .mapErr(({ problems }) => problems.map(({ path, expected }) => problemAt(path, expected)))
    );
