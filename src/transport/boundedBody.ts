/**
 * Reads bodies of peers through the process's rule: whole ones into memory, others chunk by chunk. Where the rule says to
 * wait, the body isn't read, which holds the peer back.
 */
import type { Readable } from "node:stream";
import type { Dispatcher } from "undici";
import type { PeerRead, PeerReadKind } from "../coordination/peerReads.js";
import { isFinalStatus } from "../protocol/responseStatus.js";
import { createPeerReadError, processReads } from "./processReads.js";

/** A body in chunks of one byte keeps an object for each byte that it buffers. */
const bodyBufferBytes = 512;
/** Chunks that all reads take in one turn of the event loop: some milliseconds of processor time for the smallest. */
const maximumChunksPerTurn = 1_024;
const minimumBlockBytes = 1_024;
const maximumBlockBytes = 16_384;

/** Collects bytes in few buffers, as a chunk of one byte would otherwise keep the whole buffer that it was read into. */
export const createByteCollector = () => {
    const blocks: Buffer[] = [];
    let last: Buffer = Buffer.alloc(0);
    let lastBytes = 0;
    let collected = 0;
    return {
        add: (chunk: Buffer): void => {
            collected += chunk.length;
            const copied = chunk.copy(last, lastBytes);
            lastBytes += copied;
            if (copied === chunk.length) {
                return;
            }
            const rest = chunk.subarray(copied);
            const size = Math.min(maximumBlockBytes, Math.max(minimumBlockBytes, collected));
            last = Buffer.allocUnsafeSlow(Math.max(size, rest.length));
            lastBytes = rest.copy(last);
            blocks.push(last);
        },
        /** All bytes in one buffer; the collector is empty afterwards. */
        takeAll: (): Buffer => {
            const earlier = blocks.slice(0, -1);
            const end = last.subarray(0, lastBytes);
            const all = earlier.length === 0 ? end : Buffer.concat([...earlier, end]);
            blocks.length = 0;
            last = Buffer.alloc(0);
            lastBytes = 0;
            collected = 0;
            return all;
        },
    };
};

let chunksInTurn = 0;

/** Whether this turn of the event loop has room for another chunk after this one. */
const countInTurn = (): boolean => {
    if (chunksInTurn === 0) {
        setImmediate(() => {
            chunksInTurn = 0;
        });
    }
    chunksInTurn += 1;
    return chunksInTurn < maximumChunksPerTurn;
};

/**
 * Passes each chunk of `body` to `onChunk`, which counts it in `read` and returns the verdict. Rejects if the rule ends the
 * read or the body breaks off.
 */
const forEachChunk = (body: Readable, onChunk: (chunk: Buffer) => ReturnType<PeerRead["take"]>): Promise<void> =>
    new Promise((resolve, reject) => {
        let wait: NodeJS.Timeout | undefined;
        body.on("data", (chunk: Buffer) => {
            if (body.destroyed) {
                return;
            }
            const verdict = onChunk(chunk);
            if (verdict.kind === "end") {
                body.destroy(createPeerReadError(verdict.reason));
            }
            else if (verdict.afterMilliseconds > 0 || !countInTurn()) {
                body.pause();
                clearTimeout(wait);
                wait = setTimeout(() => body.resume(), verdict.afterMilliseconds);
            }
        });
        body.once("end", resolve);
        body.on("error", reject);
        body.once("close", () => {
            clearTimeout(wait);
            reject(new Error("response broke off"));
        });
    });

/** Reads the whole of `body`; rejects with the reason if it exceeds a bound or breaks off. */
export const readWholeBody = async (body: Readable, read: PeerRead): Promise<Buffer> => {
    const collector = createByteCollector();
    await forEachChunk(body, chunk => {
        collector.add(chunk);
        return read.keep(chunk.length, 1);
    });
    return collector.takeAll();
};

const lineFeed = 0x0a;

/** Lines that end in `chunk`, without the empty ones between events. */
const countLines = (chunk: Buffer): number => {
    let lines = 0;
    for (let end = chunk.indexOf(lineFeed); end >= 0; end = chunk.indexOf(lineFeed, end + 1)) {
        lines += end > 0 && chunk[end - 1] !== lineFeed ? 1 : 0;
    }
    return lines;
};

/** Yields the chunks of a body of lines as the rule allows; rejects if it exceeds a bound or breaks off. */
export async function* readChunks(body: Readable, read: PeerRead): AsyncGenerator<Buffer> {
    for await (const chunk of body as AsyncIterable<Buffer>) {
        const verdict = read.take(chunk.length, Math.max(1, countLines(chunk)));
        if (verdict.kind === "end") {
            body.destroy(createPeerReadError(verdict.reason));
            continue;
        }
        if (verdict.afterMilliseconds > 0) {
            await new Promise(resolve => setTimeout(resolve, verdict.afterMilliseconds));
        }
        yield chunk;
    }
}

/** Rejects with the reason of `signal` when it aborts; the operation itself may end later. */
const untilAborted = async <Value>(operation: Promise<Value>, signal: AbortSignal): Promise<Value> => {
    let stopWaiting = (): void => undefined;
    const aborted = new Promise<never>((resolve, reject) => {
        stopWaiting = () => reject(signal.reason as Error);
        signal.addEventListener("abort", stopWaiting, { once: true });
        if (signal.aborted) {
            stopWaiting();
        }
    });
    operation.catch(() => undefined);
    return Promise.race([operation, aborted]).finally(() => signal.removeEventListener("abort", stopWaiting));
};

export type PeerRequest = Pick<Dispatcher.RequestOptions, "method" | "headers" | "body"> & {
    dispatcher: Dispatcher;
    url: string;
    kind: PeerReadKind;
    signal: AbortSignal;
};

export type PeerResponse = { status: number; headers: Dispatcher.ResponseData["headers"]; body: Readable; };

/**
 * Sends a request and hands its response to `consume`, whose read of the body is to go through `read`. Rejects if the
 * response can't be read, exceeds a bound, or `signal` aborts.
 */
export const requestFromPeer = async <Value>(
    { dispatcher, url, kind, signal, ...parameters }: PeerRequest,
    consume: (response: PeerResponse, read: PeerRead) => Promise<Value>,
): Promise<Value> => {
    const read = processReads.open(kind);
    const controller = new AbortController();
    const abort = (): void => controller.abort(signal.reason);
    signal.addEventListener("abort", abort, { once: true });
    if (signal.aborted) {
        abort();
    }
    try {
        const { origin, pathname, search } = new URL(url);
        const request = dispatcher.request({
            ...parameters,
            origin,
            path: `${pathname}${search}`,
            signal: controller.signal,
            highWaterMark: bodyBufferBytes,
            onInfo: () => {
                const verdict = read.takeInterim();
                if (verdict.kind === "end") {
                    controller.abort(createPeerReadError(verdict.reason));
                }
            },
        });
        // An abort reaches a request only once its connection is open.
        const { statusCode, headers, body } = await untilAborted(request, controller.signal);
        if (!isFinalStatus(statusCode)) {
            // Without a listener, the error of a body that is ended would end the process.
            body.on("error", () => undefined).destroy();
            throw createPeerReadError(`status ${statusCode} is no answer`);
        }
        return await consume({ status: statusCode, headers, body }, read);
    }
    finally {
        signal.removeEventListener("abort", abort);
        read.close();
    }
};

export type WholeResponse = Omit<PeerResponse, "body"> & { body: Buffer; };

/** Sends a request and reads its whole response. */
export const requestWhole = (request: PeerRequest): Promise<WholeResponse> =>
    requestFromPeer(request, async ({ body, ...rest }, read) => ({ ...rest, body: await readWholeBody(body, read) }));
