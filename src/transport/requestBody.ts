/**
 * Reads the bodies of requests into memory, as far as their limit and the rule for clients allow.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import { createByteCollector } from "./boundedBody.js";
import { clientOf } from "./boundedServer.js";
import { type BodyRefusal, countRefusedBody } from "./processClients.js";

/** A further account of what is kept. */
export type BodyAccount = { add: (bytes: number) => void; fits: (bytes: number) => boolean; };

export type RequestBodyOptions = {
    message: IncomingMessage;
    /** What is kept counts until it has ended. */
    response: ServerResponse;
    maximumBytes: number;
    account?: BodyAccount | undefined;
    /** Called at once if the body is refused. */
    onRefused: (reason: BodyRefusal) => void;
};

/** Closing a connection on which more arrives takes the refusal from a client that hasn't read it yet. */
const minimumDroppedBytes = 1_048_576;

/**
 * Resolves with the whole body; with undefined at the end of one that was refused. What follows a refusal is dropped, and the
 * connection closed if it is more than another `maximumBytes` and 1 MiB. Rejects if the body breaks off.
 */
export const readRequestBody = (
    { message, response, maximumBytes, account, onRefused }: RequestBodyOptions,
): Promise<Buffer | undefined> =>
    new Promise((resolve, reject) => {
        const client = clientOf(message);
        const collector = createByteCollector();
        const declaredBytes = Number(message.headers["content-length"] ?? 0);
        let keptBytes = 0;
        let droppedBytes = 0;
        let isRefused = false;
        const release = (): void => {
            client.hold(-keptBytes);
            keptBytes = 0;
        };
        const refuse = (reason: BodyRefusal): void => {
            isRefused = true;
            countRefusedBody(reason);
            account?.add(-keptBytes);
            release();
            collector.takeAll();
            onRefused(reason);
        };
        const keep = (chunk: Buffer): void => {
            if (keptBytes + chunk.length > maximumBytes) {
                refuse("too-large");
                return;
            }
            if (account?.fits(chunk.length) === false) {
                refuse("no-room");
                return;
            }
            account?.add(chunk.length);
            keptBytes += chunk.length;
            collector.add(chunk);
            if (client.hold(chunk.length).kind === "end") {
                refuse("no-room");
            }
        };
        response.once("close", () => {
            isRefused = true;
            release();
        });
        if (declaredBytes > maximumBytes) {
            refuse("too-large");
        }
        if (message.destroyed) {
            reject(new Error("request broke off before it was read"));
        }
        message.on("data", (chunk: Buffer) => {
            if (!isRefused) {
                keep(chunk);
                return;
            }
            droppedBytes += chunk.length;
            if (droppedBytes > Math.max(maximumBytes, minimumDroppedBytes)) {
                message.socket.destroy();
            }
        });
        let hasEnded = false;
        message.once("end", () => {
            hasEnded = true;
            resolve(isRefused ? undefined : collector.takeAll());
        });
        message.on("error", reject);
        message.once("close", () => {
            if (!hasEnded) {
                reject(new Error("request broke off"));
            }
        });
    });
