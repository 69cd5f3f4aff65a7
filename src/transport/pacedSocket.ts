/**
 * Connections to peers that read no faster than the process's rule allows, whatever the bytes are: heads, chunk
 * extensions and trailers cost processor time without being part of any body.
 */
import { Socket } from "node:net";
import type { buildConnector } from "undici";
import type { PeerReadKind } from "../coordination/peerReads.js";
import { createPeerReadError, processReads } from "./processReads.js";

/** What may be left unread before the socket reads on, and what it gives the parser at once. */
const readBufferBytes = 1_024;
/**
 * Names and values of a head or of trailers; sound ones of the platform's have some hundred bytes. `undici` keeps an object
 * for each name and value, so that fields of two bytes take a hundred times their size.
 */
const maximumHeadBytes = 4_096;
const keepAliveDelayMilliseconds = 60_000;
const defaultConnectTimeoutMilliseconds = 10_000;

/**
 * While the rule says to wait, the socket stops reading, so that the peer is held back by TCP.
 *
 * When a body is paused, `undici` puts back what it has read and not yet parsed. A socket of Node.js has by then begun to read
 * another 64 kB, so that each pause of a body in small chunks adds as much; this one reads on only when little is left. It
 * gives the parser little at once, which goes on with what it has even if it has found a field too many.
 */
class PacedSocket extends Socket {
    readonly #kind: PeerReadKind;
    #read;
    #hasReceived = false;
    /** Sizes of the parts that are buffered, which are read one by one: joining them would copy them. */
    readonly #parts: number[] = [];
    #wait: NodeJS.Timeout | undefined;
    #isReadDue = false;

    public constructor(kind: PeerReadKind) {
        // The type of a socket's options lacks those of its streams.
        super({ highWaterMark: readBufferBytes } as object);
        this.#kind = kind;
        this.#read = processReads.open(kind);
        this.once("close", () => clearTimeout(this.#wait));
    }

    public override push(chunk: Buffer | null, encoding?: BufferEncoding): boolean {
        if (chunk === null) {
            return super.push(chunk, encoding);
        }
        this.#hasReceived = true;
        const verdict = this.#read.take(chunk.length, 1);
        if (verdict.kind === "end") {
            this.destroy(createPeerReadError(verdict.reason));
            return false;
        }
        let goesOn = false;
        for (let start = 0; start < chunk.length; start += readBufferBytes) {
            const part = chunk.subarray(start, start + readBufferBytes);
            this.#parts.push(part.length);
            goesOn = super.push(part, encoding);
        }
        if (verdict.afterMilliseconds > 0) {
            this.#wait = setTimeout(() => {
                this.#wait = undefined;
                this.#readOn();
            }, verdict.afterMilliseconds);
        }
        return goesOn && verdict.afterMilliseconds === 0;
    }

    public override unshift(chunk: Buffer, encoding?: BufferEncoding): void {
        if (chunk.length > 0) {
            this.#parts.unshift(chunk.length);
            super.unshift(chunk, encoding);
        }
    }

    public override read(size?: number): unknown {
        if (this.destroyed) {
            return null;
        }
        const chunk: unknown = super.read(size ?? this.#parts.shift());
        if (this.#isReadDue) {
            this.#readOn();
        }
        return chunk;
    }

    public override _read(): void {
        this.#isReadDue = true;
        this.#readOn();
    }

    public override _write(chunk: unknown, encoding: BufferEncoding, callback: (error?: Error | null) => void): void {
        this.#expectResponse();
        super._write(chunk, encoding, callback);
    }

    public override _writev(
        chunks: { chunk: unknown; encoding: BufferEncoding; }[],
        callback: (error?: Error | null) => void,
    ): void {
        this.#expectResponse();
        super._writev?.(chunks, callback);
    }

    /** Requests follow each other on a connection, so what is written after a response begins the next one. */
    #expectResponse(): void {
        if (this.#hasReceived) {
            this.#hasReceived = false;
            this.#read = processReads.open(this.#kind);
        }
    }

    /** Reads on behind the parser, which may put back what it was given. */
    #readOn(): void {
        process.nextTick(() => {
            const isBlocked = this.#wait !== undefined || this.readableLength >= readBufferBytes;
            if (this.#isReadDue && !isBlocked && !this.destroyed) {
                this.#isReadDue = false;
                super._read(readBufferBytes);
            }
        });
    }
}

/** undici takes ECONNRESET for the end of a body that only its connection ends, so a reset is reported under another code. */
const renameReset = (error: NodeJS.ErrnoException): void => {
    if (error.code === "ECONNRESET") {
        error.code = "UND_ERR_SOCKET";
    }
};

/** Opens connections for `undici`'s dispatchers, one request at a time on each. */
const connectPaced =
    (kind: PeerReadKind, timeoutMilliseconds = defaultConnectTimeoutMilliseconds): buildConnector.connector =>
    ({ hostname, port }, callback) => {
        const socket = new PacedSocket(kind);
        const timer = setTimeout(() => {
            const reason = `no connection to ${hostname}:${port} within ${timeoutMilliseconds} ms`;
            socket.destroy(Object.assign(new Error(reason), { code: "UND_ERR_CONNECT_TIMEOUT" }));
        }, timeoutMilliseconds);
        let isSettled = false;
        const settle = (error: Error | undefined): void => {
            if (!isSettled) {
                isSettled = true;
                clearTimeout(timer);
                if (error === undefined) {
                    callback(null, socket);
                }
                else {
                    callback(error, null);
                }
            }
        };
        socket.setKeepAlive(true, keepAliveDelayMilliseconds);
        socket.setNoDelay(true);
        socket.once("connect", () => settle(undefined));
        socket.on("error", renameReset);
        socket.on("error", settle);
        socket.connect({ host: hostname, port: Number(port) });
    };

/** The options of a dispatcher whose connections are bounded in what they read. */
export const pacedConnections = (
    kind: PeerReadKind,
    connectTimeoutMilliseconds?: number,
    maxHeaderSize = maximumHeadBytes,
): { connect: buildConnector.connector; pipelining: number; maxHeaderSize: number; } => ({
    connect: connectPaced(kind, connectTimeoutMilliseconds),
    pipelining: 1,
    maxHeaderSize,
});
