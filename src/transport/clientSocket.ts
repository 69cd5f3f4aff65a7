/**
 * The connection of a client, read no faster than the process's rule says and only while few of its requests wait.
 *
 * Node's HTTP server turns all requests that one read brings into objects, so that a client which sends requests ahead
 * would fill the memory. It is given the bytes in slices, each of which completes one request at most.
 */
import type { Socket } from "node:net";
import { Duplex } from "node:stream";
import type { PeerReads, ReadVerdict } from "../coordination/peerReads.js";

export type ClientSocketOptions = {
    connection: Socket;
    reads: PeerReads;
    /** Called once if the connection exceeds a bound; the socket is destroyed then. */
    onExceeded: (cause: "memory" | "slowed") => void;
};

/** Taken from the connection at once. */
const readBytes = 2_048;
/** Buffered for the HTTP server; a body in chunks of one byte keeps an object for each byte. */
const bufferBytes = 512;
const maximumSliceLines = 64;
/** A body may consist of empty lines, so that a slice for each would cost more than the requests that it tells apart. */
const minimumBodySliceBytes = 256;
/** A chunk of a body takes two lines and costs as much as one line of an answer. */
const linesPerPiece = 2;
/** Requests of a connection that may be open at once; the next one is read once an answer has been sent. */
const maximumOpenRequests = 16;
/** Processor time of a request that is sent ahead, in pieces: some 0.2 ms, as its client may read none of the answers. */
const sentAheadPieces = 85;
/**
 * A request that is slowed down for longer can't be answered in time. While a connection isn't read, the end of its client isn't
 * noticed either, and what it has sent is kept.
 */
const maximumWaitMilliseconds = 10_000;
/** Objects of a request that waits behind others. */
const waitingRequestBytes = 8_192;
/** Names and values of a head are kept as strings, which take several times as much if they are short. */
const headMemoryFactor = 8;
const lineFeed = 0x0a;
const carriageReturn = 0x0d;

const goOn: ReadVerdict = { kind: "go-on", afterMilliseconds: 0 };

type OpenRequest = { isComplete: () => boolean; isChunked: boolean; };

export class ClientSocket extends Duplex {
    readonly #connection: Socket;
    readonly #read;
    readonly #buffer;
    readonly #onExceeded: ClientSocketOptions["onExceeded"];
    #isWanted = false;
    #isPassingOn = false;
    #hasEnded = false;
    /** Taken from the connection and not passed on yet. */
    #rest: Buffer | undefined;
    #wait: NodeJS.Timeout | undefined;
    /** For how long the request that arrives has been slowed down. */
    #waitedMilliseconds = 0;
    #headBytes = 0;
    #heldBytes = 0;
    #openRequests = 0;
    #lastRequest: OpenRequest | undefined;
    #lastActivityAt = performance.now();

    public constructor({ connection, reads, onExceeded }: ClientSocketOptions) {
        super({
            allowHalfOpen: true,
            decodeStrings: false,
            readableHighWaterMark: bufferBytes,
            writableHighWaterMark: connection.writableHighWaterMark,
        });
        this.#connection = connection;
        this.#read = reads.open("client");
        this.#buffer = reads.openBuffer();
        this.#onExceeded = onExceeded;
        connection.on("readable", () => {
            this.#lastActivityAt = performance.now();
            this.#passOn();
        });
        connection.once("end", () => {
            this.#hasEnded = true;
            this.#passOn();
        });
        connection.on("timeout", () => this.emit("timeout"));
        connection.on("error", error => this.destroy(error));
        connection.once("close", () => this.destroy());
        // Each open request adds some.
        this.setMaxListeners(0);
        // Without a listener, an error would end the process.
        this.on("error", () => undefined);
    }

    /** Counts a request until the returned function is called. */
    public begin(request: OpenRequest): () => void {
        const headMemory = this.#headBytes * headMemoryFactor;
        this.#heldBytes += headMemory;
        this.#headBytes = 0;
        this.#waitedMilliseconds = 0;
        if (this.#openRequests > 0) {
            this.#waitFor(this.#read.take(0, sentAheadPieces));
        }
        this.#openRequests += 1;
        this.#lastRequest = request;
        return () => {
            this.#openRequests -= 1;
            this.#heldBytes -= headMemory;
            this.#lastActivityAt = performance.now();
            this.#account();
            if (this.#openRequests === maximumOpenRequests - 1) {
                // The request may end while the parser handles the bytes that completed it.
                setImmediate(() => this.#passOn());
            }
        };
    }

    /** Adds bytes of bodies that are held for the connection's requests, or subtracts them if negative. */
    public hold(bytes: number): ReadVerdict {
        this.#heldBytes += bytes;
        return this.destroyed ? goOn : this.#buffer.resize(this.#keptBytes());
    }

    /** See `ClientConnection`. Empty lines behind a request that is handled begin no other one. */
    public isReading(): boolean {
        return this.#headBytes > 0 && this.#openRequests === 0 || this.#lastRequest?.isComplete() === false;
    }

    public waitingSince(): number | undefined {
        const isTooFast = this.#wait !== undefined;
        return this.#openRequests === 0 || this.isReading() || isTooFast ? this.#lastActivityAt : undefined;
    }

    public get bytesRead(): number {
        return this.#connection.bytesRead;
    }

    public get remoteAddress(): string | undefined {
        return this.#connection.remoteAddress;
    }

    public get remotePort(): number | undefined {
        return this.#connection.remotePort;
    }

    public setTimeout(milliseconds: number): this {
        this.#connection.setTimeout(milliseconds);
        return this;
    }

    public setNoDelay(isEnabled?: boolean): this {
        this.#connection.setNoDelay(isEnabled);
        return this;
    }

    public setKeepAlive(isEnabled?: boolean, delayMilliseconds?: number): this {
        this.#connection.setKeepAlive(isEnabled, delayMilliseconds);
        return this;
    }

    /** Closes the connection once all has been written, as Node's HTTP server does behind a last answer. */
    public destroySoon(): void {
        if (this.writable) {
            this.end();
        }
        if (this.writableFinished) {
            this.destroy();
        }
        else {
            this.once("finish", () => this.destroy());
        }
    }

    public resetAndDestroy(): this {
        this.#connection.resetAndDestroy();
        return this.destroy();
    }

    public override _read(): void {
        this.#isWanted = true;
        // What is passed on within this call is buffered, so that requests would be counted only behind the next ones.
        process.nextTick(() => this.#passOn());
    }

    public override _write(
        chunk: Buffer | string,
        encoding: BufferEncoding,
        done: (error?: Error | null) => void,
    ): void {
        this.#connection.write(chunk, encoding, done);
    }

    public override _writev(
        parts: { chunk: Buffer | string; encoding: BufferEncoding; }[],
        done: (error?: Error | null) => void,
    ): void {
        this.#connection.cork();
        parts.forEach(({ chunk, encoding }, index) =>
            this.#connection.write(chunk, encoding, index === parts.length - 1 ? done : undefined)
        );
        this.#connection.uncork();
    }

    public override _final(done: () => void): void {
        this.#connection.end(done);
    }

    public override _destroy(error: Error | null, done: (error?: Error | null) => void): void {
        clearTimeout(this.#wait);
        this.#read.close();
        this.#buffer.close();
        this.#connection.destroy();
        done(error);
    }

    #keptBytes(): number {
        const waiting = Math.max(0, this.#openRequests - 1) * waitingRequestBytes;
        return this.#heldBytes + waiting + this.#headBytes * headMemoryFactor + this.#connection.readableLength;
    }

    #account(): void {
        if (!this.destroyed && this.#buffer.resize(this.#keptBytes()).kind === "end") {
            this.#exceed("memory");
        }
    }

    #exceed(cause: "memory" | "slowed"): void {
        this.#onExceeded(cause);
        this.destroy();
    }

    /** Whether the rest of a request is due, or another one may be read. */
    #mayTake(): boolean {
        return this.#isWanted && this.#wait === undefined && !this.destroyed
            && (this.#openRequests < maximumOpenRequests || this.isReading());
    }

    /** Takes bytes up to the end of a head, so that the next request is read only once this one has been counted. */
    #nextSlice(): { bytes: Buffer; lines: number; } | undefined {
        const bytes = this.#rest ?? this.#readConnection();
        if (bytes === undefined) {
            return undefined;
        }
        const minimumBytes = this.#lastRequest?.isComplete() === false ? minimumBodySliceBytes : 0;
        let lines = 0;
        let end = bytes.length;
        for (let feed = bytes.indexOf(lineFeed); feed >= 0; feed = bytes.indexOf(lineFeed, feed + 1)) {
            lines += 1;
            const isEmptyLine = bytes[feed - 1] === lineFeed
                || bytes[feed - 1] === carriageReturn && (feed === 1 || bytes[feed - 2] === lineFeed);
            if (lines === maximumSliceLines || isEmptyLine && feed >= minimumBytes) {
                end = feed + 1;
                break;
            }
        }
        this.#rest = end < bytes.length ? bytes.subarray(end) : undefined;
        return { bytes: bytes.subarray(0, end), lines };
    }

    #waitFor(verdict: ReadVerdict): void {
        if (verdict.kind === "go-on" && verdict.afterMilliseconds > 0) {
            this.#waitedMilliseconds += verdict.afterMilliseconds;
            if (this.#waitedMilliseconds > maximumWaitMilliseconds) {
                this.#exceed("slowed");
                return;
            }
            clearTimeout(this.#wait);
            this.#wait = setTimeout(() => {
                this.#wait = undefined;
                this.#lastActivityAt = performance.now();
                this.#passOn();
            }, verdict.afterMilliseconds);
        }
    }

    /** Reading nothing tells the connection that more is wanted. */
    #readConnection(): Buffer | undefined {
        const available = Math.min(readBytes, this.#connection.readableLength);
        return this.#connection.read(available) as Buffer | null ?? undefined;
    }

    #passSlices(): void {
        while (this.#mayTake()) {
            const slice = this.#nextSlice();
            if (slice === undefined) {
                if (this.#hasEnded) {
                    this.#isWanted = false;
                    this.push(null);
                }
                return;
            }
            const { bytes, lines } = slice;
            const unfinished = this.#lastRequest?.isComplete() === false ? this.#lastRequest : undefined;
            // The lines of a body with a length aren't parsed.
            const pieces = unfinished?.isChunked === false ? 0 : lines / linesPerPiece;
            this.#waitFor(this.#read.take(bytes.length, pieces));
            if (this.destroyed) {
                return;
            }
            if (unfinished === undefined) {
                this.#headBytes += bytes.length;
            }
            this.#isWanted = false;
            const hasRoom = this.push(bytes);
            // The server may also have asked for more meanwhile.
            this.#isWanted ||= hasRoom;
        }
    }

    #passOn(): void {
        // The HTTP parser can't take bytes while it handles others.
        if (this.#isPassingOn) {
            return;
        }
        this.#isPassingOn = true;
        this.#passSlices();
        this.#isPassingOn = false;
        this.#account();
    }
}
