/**
 * A response sink that hands no more to the connection than a small window, and accounts for what it holds.
 *
 * What doesn't fit into the window waits in the sink, so that the progress of a caller that reads slowly can be seen
 * window by window.
 */
import type { ServerResponse } from "node:http";
import type { ResponseSink } from "../../coordination/ingress/requestContext.js";
import type { RequestBuffers } from "./requestBuffers.js";

/**
 * Bytes that may wait for a caller before its server is held back: over twenty times the largest event of the
 * deployments in use, and 13 MB with 400 callers that have stopped reading.
 */
export const windowBytes = 32_768;
/** Parts that were taken from the queue are dropped from this number on, once they are half of it. */
const compactAfterParts = 64;
/** Replaces a part that was taken, so that its bytes are released. */
const noBytes = Buffer.alloc(0);

/** Bounds what `response` holds of the answer that is written to the returned sink; `sink` writes to `response`. */
export const paceSink = (
    sink: ResponseSink,
    response: ServerResponse,
    { held, unsent, addReader }: RequestBuffers,
    now: () => number,
): ResponseSink => {
    /** Parts from `nextPart` on wait; taking each from the front would move all others, which may be tens of thousands. */
    let queue: Buffer[] = [];
    let nextPart = 0;
    const waiters = new Set<() => void>();
    let queuedBytes = 0;
    let isEnding = false;
    let isClosed = false;
    let mayReadAhead = false;
    let lastProgressAt = now();
    let heldBackSince: number | undefined;
    let dueAt = Infinity;

    const isWritable = (): boolean =>
        isClosed || unsent.bytes() < windowBytes || mayReadAhead && unsent.hasRoomToReadAhead();

    const wakeWaiters = (): void => {
        heldBackSince = undefined;
        waiters.forEach(wake => wake());
        waiters.clear();
    };

    const close = (): void => {
        isClosed = true;
        removeReader();
        queue = [];
        nextPart = 0;
        unsent.close();
        wakeWaiters();
    };

    /** Hands queued parts to the connection, one window at a time, and updates the account. */
    const pump = (): void => {
        if (response.destroyed) {
            close();
            return;
        }
        while (nextPart < queue.length && response.writableLength < windowBytes) {
            const part = queue[nextPart] as Buffer;
            queue[nextPart] = noBytes;
            nextPart += 1;
            queuedBytes -= part.length;
            response.write(part, error => {
                if (error === null || error === undefined) {
                    recordProgress();
                }
            });
        }
        if (nextPart >= compactAfterParts && nextPart * 2 >= queue.length) {
            queue = queue.slice(nextPart);
            nextPart = 0;
        }
        if (nextPart === queue.length && isEnding && !response.writableEnded) {
            response.end();
        }
        unsent.add(queuedBytes + response.writableLength - unsent.bytes());
        if (waiters.size > 0 && isWritable()) {
            wakeWaiters();
        }
    };

    const recordProgress = (): void => {
        lastProgressAt = now();
        if (!isClosed) {
            pump();
        }
    };

    const removeReader = addReader({
        kind: "caller",
        heldBytes: () => held.bytes() + unsent.bytes(),
        lastProgressAt: () => unsent.bytes() === 0 ? now() : lastProgressAt,
        heldBackSince: () => heldBackSince,
        dueAt: () => dueAt,
        readAhead: () => {
            mayReadAhead = true;
            if (isWritable()) {
                wakeWaiters();
            }
        },
        end: () => {
            sink.abort();
            held.close();
            close();
        },
    });
    response.once("close", close);

    return {
        ...sink,
        write: bytes => {
            if (isClosed) {
                return;
            }
            if (unsent.bytes() === 0) {
                lastProgressAt = now();
            }
            queue.push(bytes);
            queuedBytes += bytes.length;
            pump();
        },
        whenWritable: signal => {
            if (isWritable() || signal.aborted) {
                return undefined;
            }
            heldBackSince ??= now();
            return new Promise(resolve => {
                const wake = (): void => {
                    signal.removeEventListener("abort", wake);
                    waiters.delete(wake);
                    resolve();
                };
                signal.addEventListener("abort", wake, { once: true });
                waiters.add(wake);
            });
        },
        setDueAt: due => {
            dueAt = due;
        },
        end: () => {
            isEnding = true;
            if (!isClosed) {
                pump();
            }
        },
    };
};
