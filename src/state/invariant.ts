/**
 * Broken invariants, the only condition that stops a process.
 *
 * Every expected failure is a value (`neverthrow`); an `InvariantError` means that the program itself is wrong.
 */
export class InvariantError extends Error {
    override readonly name = "InvariantError";
}

/** Stops the process through `InvariantError` when `condition` does not hold; `message` names the thing. */
export function invariant(condition: boolean, message: string): asserts condition {
    if (!condition) {
        throw new InvariantError(message);
    }
}
