/**
 * What one request holds in the budget of the entry, and the readers that it waits for.
 */
import type { BufferBudget, BufferReader, EndCause, HeldBytes } from "../../coordination/ingress/bufferBudget.js";

export type RequestBuffers = {
    /** What is held until the request has been handled: its body, and the part of an answer that isn't written yet. */
    held: HeldBytes;
    /** What was written to the caller and hasn't been accepted by its connection. */
    unsent: HeldBytes;
    /** Adds a reader of this request until the returned function is called. */
    addReader: (reader: BufferReader) => () => void;
    /** Whether the caller's connection was closed because the caller reads too slowly. */
    wasEnded: () => boolean;
};

/** Called when a reader is ended. */
export type OnReaderEnded = (requestId: string, cause: EndCause, details: Record<string, unknown>) => void;

export const openRequestBuffers = (
    budget: BufferBudget,
    requestId: string,
    onReaderEnded: OnReaderEnded,
): RequestBuffers => {
    let wasEnded = false;
    return {
        held: budget.open(),
        unsent: budget.open(),
        addReader: reader =>
            budget.addReader({
                ...reader,
                end: (cause, details) => {
                    wasEnded ||= reader.kind === "caller";
                    onReaderEnded(requestId, cause, details);
                    reader.end(cause, details);
                },
            }),
        wasEnded: () => wasEnded,
    };
};
