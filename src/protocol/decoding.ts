/**
 * Decodes external input: text to JSON, JSONC to a syntax tree, and values with a zod schema.
 *
 * The internal decoders return `ts-results`; only this module converts them to the `neverthrow` results used elsewhere.
 */
import { parseTree, printParseErrorCode } from "jsonc-parser";
import type { Node, ParseError } from "jsonc-parser";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import tsResults from "ts-results";
import type { Result as DecodingResult } from "ts-results";
import type { z } from "zod";

const { Err, Ok } = tsResults;

/** One problem of a decoded value: the path from the root to it, and what was expected there. */
export type DecodingProblem = { path: PropertyKey[]; expected: string; };

/** Why a text or value could not be decoded; `problems` is never empty. */
export type DecodingError = { problems: DecodingProblem[]; };

/** A syntax error in a JSONC text; `position` is a character offset from 0. */
export type SyntaxProblem = { position: number; expected: string; };

const toNeverthrow = <Value, Failure>(result: DecodingResult<Value, Failure>): Result<Value, Failure> =>
    result.ok ? ok(result.val) : err(result.val);

const parseJson = (text: string): DecodingResult<unknown, DecodingError> =>
    tsResults.Result.wrap<unknown, Error>(() => JSON.parse(text) as unknown)
        .mapErr(error => ({ problems: [{ path: [], expected: `JSON (${error.message})` }] }));

const problemsOf = (issue: z.core.$ZodIssue): DecodingProblem[] =>
    issue.code === "unrecognized_keys"
        ? issue.keys.map(key => ({ path: [...issue.path, key], expected: "no field of this name" }))
        : [{ path: issue.path, expected: issue.message }];

const parseWithSchema = <Value>(schema: z.ZodType<Value>, value: unknown): DecodingResult<Value, DecodingError> => {
    const parsed = schema.safeParse(value);
    return parsed.success
        ? Ok(parsed.data)
        : Err({ problems: parsed.error.issues.flatMap(problemsOf) });
};

const parseJsoncTree = (text: string): DecodingResult<Node, SyntaxProblem[]> => {
    const errors: ParseError[] = [];
    const root = parseTree(text, errors, { allowTrailingComma: true });
    if (errors.length > 0 || root === undefined) {
        const problems = errors.map(({ error, offset }) => ({
            position: offset,
            expected: printParseErrorCode(error),
        }));
        return Err(problems.length > 0 ? problems : [{ position: 0, expected: "ValueExpected" }]);
    }
    return Ok(root);
};

/** Validates `value` against `schema`. */
export const decodeValue = <Value>(schema: z.ZodType<Value>, value: unknown): Result<Value, DecodingError> =>
    toNeverthrow(parseWithSchema(schema, value));

export const decodeJson = (text: string): Result<unknown, DecodingError> => toNeverthrow(parseJson(text));

/** Parses `text` as JSON and validates it against `schema`. */
export const decodeJsonAs = <Value>(schema: z.ZodType<Value>, text: string): Result<Value, DecodingError> =>
    toNeverthrow(parseJson(text).andThen(value => parseWithSchema(schema, value)));

/** Parses `text` as JSONC to a syntax tree whose nodes have text positions. */
export const decodeJsoncTree = (text: string): Result<Node, SyntaxProblem[]> => toNeverthrow(parseJsoncTree(text));

/** Formats all problems on one line, for logs and error bodies. */
export const describeDecodingError = ({ problems }: DecodingError): string =>
    problems.map(({ path, expected }) => path.length === 0 ? expected : `"${path.map(String).join(".")}": ${expected}`)
        .join("; ");
