/**
 * A connection that is read no faster than the rule of peer reads says, in slices of some lines.
 *
 * All that a server sends is counted here, before it is decoded: heads, interim responses, chunk framing, trailers, bodies
 * and events. Slices keep what one read brings from delaying other connections, as a few kilobytes may hold a thousand
 * events.
 */
import { connect, type Socket } from "node:net";
import { Duplex } from "node:stream";
import type { ReadVerdict } from "../../coordination/peerReads.js";

export type TakeBytes = (bytes: number, lines: number) => ReadVerdict;

export type MeteredSocket = {
    /** The connection itself, for its events while it is being established. */
    connection: Socket;
    /** What the HTTP client reads and writes. */
    stream: Duplex;
    /** Changes what counts the bytes that are still to come, and whether their lines count. */
    count: (take: TakeBytes, countsLines: boolean) => void;
    bytesRead: () => number;
    /** For how long the connection was not read as it sent too fast. */
    slowedMilliseconds: () => number;
};

const readBytes = 16_384;
const noBytes = Buffer.alloc(0);
/** Up to 16 events, which take about 0.2 ms. */
const maximumSliceLines = 32;
const lineFeed = 0x0a;
/** Lines of an event may end with it alone. */
const carriageReturn = 0x0d;
/** Each read is copied before the next one of any connection. */
const readBuffer = Buffer.allocUnsafeSlow(readBytes);

/** Connects to `host` and `port`; `onExceeded` is called when the peer is to be disconnected. */
export const connectMetered = (
    address: { host: string; port: number; },
    initialTake: TakeBytes,
    onExceeded: (reason: string) => void,
): MeteredSocket => {
    let take = initialTake;
    let countsLines = true;
    let bytesRead = 0;
    let slowedMilliseconds = 0;
    /** What has been read and not passed on yet. */
    let held: Buffer | undefined;
    let isWanted = false;
    let isPassingOn = false;
    let hasEnded = false;
    let timer: NodeJS.Timeout | undefined;

    const nextSlice = (bytes: Buffer): { length: number; lines: number; } => {
        if (!countsLines) {
            return { length: bytes.length, lines: 0 };
        }
        let lines = 0;
        for (let position = 0; position < bytes.length; position += 1) {
            const byte = bytes[position];
            if (byte === lineFeed || byte === carriageReturn && bytes[position + 1] !== lineFeed) {
                lines += 1;
                if (lines === maximumSliceLines) {
                    return { length: position + 1, lines };
                }
            }
        }
        return { length: bytes.length, lines };
    };

    const waitToRead = (milliseconds: number): void => {
        slowedMilliseconds += milliseconds;
        timer = setTimeout(() => {
            timer = undefined;
            passOn();
        }, milliseconds);
    };

    /** Passes on what is held while it is wanted and the rule allows it. */
    const passSlices = (): void => {
        while (held !== undefined && isWanted && timer === undefined && !stream.destroyed) {
            const { length, lines } = nextSlice(held);
            const slice = held.subarray(0, length);
            held = length === held.length ? undefined : held.subarray(length);
            bytesRead += length;
            const verdict = take(length, lines);
            if (verdict.kind === "end") {
                onExceeded(verdict.reason);
                stream.destroy();
                return;
            }
            if (verdict.afterMilliseconds > 0) {
                waitToRead(verdict.afterMilliseconds);
            }
            isWanted = false;
            const hasRoom = stream.push(slice);
            // The stream may also have asked for more meanwhile.
            isWanted ||= hasRoom;
        }
    };

    const mayRead = (): boolean => held === undefined && isWanted && timer === undefined && !hasEnded;

    const passOn = (): void => {
        // The HTTP parser can't take bytes while it handles others.
        if (isPassingOn) {
            return;
        }
        isPassingOn = true;
        passSlices();
        isPassingOn = false;
        if (mayRead() && !stream.destroyed) {
            connection.resume();
        }
    };

    const connection = connect({
        ...address,
        noDelay: true,
        allowHalfOpen: true,
        onread: {
            buffer: readBuffer,
            callback: length => {
                held = Buffer.from(readBuffer.subarray(0, length));
                passOn();
                return mayRead();
            },
        },
    });
    const stream = new Duplex({
        allowHalfOpen: false,
        read: () => {
            isWanted = true;
            passOn();
        },
        write: (bytes: Buffer, encoding, done) => void connection.write(bytes, encoding, done),
        writev: (parts, done) => {
            connection.cork();
            parts.forEach(({ chunk, encoding }, index) =>
                connection.write(chunk as Buffer, encoding, index === parts.length - 1 ? done : undefined)
            );
            connection.uncork();
        },
        final: done => void connection.end(done),
        destroy: (error, done) => {
            clearTimeout(timer);
            held = undefined;
            connection.destroy();
            done(error);
        },
    });
    // Without a listener, an error would end the process.
    stream.on("error", () => undefined);
    connection.once("end", () => {
        hasEnded = true;
        // A reset that arrives together with data is reported as an orderly end; only a write tells them apart.
        connection.write(noBytes, error => {
            if (error instanceof Error) {
                stream.destroy(error);
            }
            else {
                stream.push(null);
            }
        });
    });
    connection.on("error", error => stream.destroy(error));
    connection.once("close", () => {
        // What arrived before an orderly end is still to be read.
        if (!hasEnded) {
            stream.destroy();
        }
    });
    // The HTTP client ends its connections by this method of Node's sockets.
    Object.assign(stream, {
        destroySoon: () => {
            stream.end(() => stream.destroy());
        },
    });
    return {
        connection,
        stream,
        count: (nextTake, nextCountsLines) => {
            take = nextTake;
            countsLines = nextCountsLines;
        },
        bytesRead: () => bytesRead,
        slowedMilliseconds: () => slowedMilliseconds,
    };
};
