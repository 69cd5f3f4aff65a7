/**
 * A caller's connection to an entry, written and read byte by byte, for requests that are cut into parts, sent without waiting
 * or sent late.
 */
import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { headerNames } from "../../platform/names.js";
import { splitAddress } from "../../src/transport/address.js";
import { validApiKey } from "./platformDeployment.js";

export type CallerConnection = {
    socket: Socket;
    write: (text: string) => void;
    /** All that has been received. */
    received: () => string;
    /** Resolves once the text received satisfies the condition, or the connection is closed. */
    until: (condition: (text: string) => boolean) => Promise<string>;
    closed: Promise<void>;
};

export type RequestText = { method?: string; path: string; requestId: string; patience: number; body?: string; };

/** The text of a request; with a body, the body's last byte is left to be sent. */
export const requestText = ({ method = "POST", path, requestId, patience, body = "" }: RequestText): string =>
    [
        `${method} ${path} HTTP/1.1`,
        "Host: portal.example",
        `${headerNames.requestId}: ${requestId}`,
        `${headerNames.remainingTimeout}: ${patience}`,
        ...path.startsWith("/talk/") ? [`${headerNames.tokenUsage}: 40,80`] : [],
        `Authorization: Bearer ${validApiKey}`,
        `Content-Length: ${body.length}`,
        "",
        body.slice(0, -1),
    ].join("\r\n");

export const openCallerConnection = async (address: string): Promise<CallerConnection> => {
    const socket = connect(splitAddress(address));
    let text = "";
    socket.on("error", () => undefined);
    await once(socket, "connect");
    const closed = new Promise<void>(resolve => socket.once("close", () => resolve()));
    const waiting = new Set<() => void>();
    const wake = (): void => waiting.forEach(check => check());
    socket.on("data", (bytes: Buffer) => {
        text += bytes.toString();
        wake();
    });
    void closed.then(wake);
    return {
        socket,
        write: written => void socket.write(written),
        received: () => text,
        until: condition =>
            new Promise(resolve => {
                const check = (): void => {
                    if (condition(text) || socket.destroyed) {
                        waiting.delete(check);
                        resolve(text);
                    }
                };
                waiting.add(check);
                check();
            }),
        closed,
    };
};
