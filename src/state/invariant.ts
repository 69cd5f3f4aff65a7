/**
 * Invariant checks; a violated invariant is the only error that terminates a process.
 *
 * Every expected failure is a value (`neverthrow`); an `InvariantError` indicates a bug in the program.
 */
export class InvariantError extends Error {
    override readonly name = "InvariantError";
}

/**
 * Throws an `InvariantError`, which terminates the process, unless `condition` holds; `message` names the violated
 * object.
 */
export function invariant(condition: boolean, message: string): asserts condition {
    if (!condition) {
        throw new InvariantError(message);
    }
}
