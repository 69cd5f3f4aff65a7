/**
 * Sends one request to one upstream over a connection of its own, with Node's HTTP client.
 *
 * The connection is made first, so a failure there means that nothing was sent. Only an answer that states its length, or
 * comes in chunks, can be whole.
 */
import { err, ok, type Result } from "neverthrow";
import { type IncomingMessage, request as startRequest } from "node:http";
import { connect, type Socket } from "node:net";
import type { RequestHeads } from "../../coordination/ingress/requestHeads.js";
import type { SendingFailure, SendToUpstream, UpstreamAnswer } from "../../coordination/ingress/upstreamCaller.js";
import { splitAddress } from "../address.js";

/** Ten times the way between zones and back; one lost packet shows as a failure here, and another upstream is tried. */
const connectTimeoutMilliseconds = 150;

const openConnection = (address: string, signal: AbortSignal): Promise<Result<Socket, SendingFailure>> =>
    new Promise(resolve => {
        const socket = connect({ ...splitAddress(address), noDelay: true });
        const settle = (result: Result<Socket, SendingFailure>): void => {
            clearTimeout(timer);
            signal.removeEventListener("abort", giveUp);
            socket.removeListener("error", refuse);
            if (result.isErr()) {
                // A late error of a connection that was given up says nothing more.
                socket.on("error", () => undefined);
                socket.destroy();
            }
            resolve(result);
        };
        const refuse = (error: Error): void => settle(err({ kind: "unreachable", reason: error.message }));
        const giveUp = (): void => refuse(new Error("given up while connecting"));
        const timer = setTimeout(
            () => refuse(new Error(`no connection within ${connectTimeoutMilliseconds} ms`)),
            connectTimeoutMilliseconds,
        );
        signal.addEventListener("abort", giveUp);
        socket.once("error", refuse);
        socket.once("connect", () => settle(ok(socket)));
    });

/** The body of an answer with a limit on its silences. */
const readBody = (message: IncomingMessage, socket: Socket, silenceMilliseconds: number) => {
    // An upstream that dies closes its connections like one that has finished, so an answer that ends with its connection
    // can't be shown to be whole.
    const isFramed = ["content-length", "transfer-encoding"].some(name => message.headers[name] !== undefined);
    let isWhole = false;
    const chunks: Buffer[] = [];
    let isEnded = false;
    let wake: (() => void) | undefined;
    const notify = (): void => {
        wake?.();
        wake = undefined;
    };
    const finish = (error: Error | undefined): void => {
        if (!isEnded) {
            isEnded = true;
            isWhole = error === undefined && message.complete && isFramed;
            clearTimeout(timer);
            notify();
        }
    };
    const timer = setTimeout(() => {
        finish(new Error(`silent for ${Math.round(silenceMilliseconds)} ms`));
        socket.destroy();
    }, silenceMilliseconds);
    socket.once("error", error => finish(error));
    message.on("data", (chunk: Buffer) => {
        timer.refresh();
        chunks.push(chunk);
        notify();
    });
    message.once("error", error => finish(error));
    message.once("aborted", () => finish(new Error("the connection was cut")));
    message.once("end", () => finish(undefined));
    message.once("close", () => finish(new Error("the connection was closed")));

    async function* read(): AsyncGenerator<Buffer> {
        for (;;) {
            const chunk = chunks.shift();
            if (chunk !== undefined) {
                yield chunk;
            }
            else if (isEnded) {
                return;
            }
            else {
                await new Promise<void>(resolve => {
                    wake = resolve;
                });
            }
        }
    }

    return { body: read(), isWhole: () => isWhole };
};

/** Sends the caller's `request`, whose body was read whole, with the header fields that `heads` writes. */
export const createSender =
    (heads: RequestHeads, request: IncomingMessage, body: Buffer): SendToUpstream =>
    async (upstream, head, times, signal) => {
        const opened = await openConnection(upstream.address, signal);
        if (opened.isErr()) {
            return err(opened.error);
        }
        const socket = opened.value;
        return new Promise(resolve => {
            const fields = heads.writeRequestHead(request, {
                ...head,
                upstreamId: upstream.id,
                bodyBytes: body.length,
            });
            const outgoing = startRequest({
                createConnection: () => socket,
                method: request.method,
                path: request.url,
                // Node's types don't name the flat list of raw fields that its client takes.
                headers: fields as unknown as Record<string, string>,
            });
            const close = (): void => {
                clearTimeout(timer);
                signal.removeEventListener("abort", close);
                outgoing.destroy();
                socket.destroy();
            };
            let isAnswered = false;
            const lose = (reason: string): void => {
                // Once the answer has begun, its reader tells what becomes of it.
                if (!isAnswered) {
                    close();
                    resolve(err({ kind: "broken", reason }));
                }
            };
            const timer = setTimeout(
                () => lose(`no answer within ${Math.round(times.headMilliseconds)} ms`),
                times.headMilliseconds,
            );
            signal.addEventListener("abort", close, { once: true });
            outgoing.on("error", error => lose(error.message));
            outgoing.once("close", () => lose("the connection was closed without an answer"));
            outgoing.once("response", message => {
                isAnswered = true;
                clearTimeout(timer);
                const reading = readBody(message, socket, times.silenceMilliseconds);
                const answer: UpstreamAnswer = {
                    status: message.statusCode ?? 0,
                    marks: heads.readAnswerMarks(message),
                    fields: heads.answerFields(
                        message,
                        message.headers["content-type"]?.startsWith("text/event-stream") === true,
                    ),
                    body: reading.body,
                    isWhole: reading.isWhole,
                    close,
                };
                socket.once("close", () => signal.removeEventListener("abort", close));
                resolve(ok(answer));
            });
            outgoing.end(body);
        });
    };
