/**
 * Datagrams between daemons: a socket that closes with its owner and loses messages without a word.
 */
import { createSocket } from "node:dgram";
import type { IngressLog } from "../coordination/ingress/ingressLog.js";
import { splitAddress } from "./address.js";

export type DatagramSocketOptions = {
    ip: string;
    port: number;
    /** `from` is the sender's `ip:port`. */
    onMessage: (message: Buffer, from: string) => void;
    log: IngressLog;
    signal: AbortSignal;
};

/** Listens on `ip:port` and gives what sends one message to several addresses, `ip:port`. */
export const openDatagramSocket = (
    { ip, port, onMessage, log, signal }: DatagramSocketOptions,
): (addresses: string[], message: Uint8Array | string) => void => {
    const socket = createSocket("udp4");
    socket.on("error", error => log.stateChange("datagram socket failed", { reason: error.message }));
    socket.on("message", (message, sender) => onMessage(message, `${sender.address}:${sender.port}`));
    socket.bind(port, ip);
    signal.addEventListener("abort", () => socket.close(), { once: true });
    return (addresses, message) => {
        if (signal.aborted) {
            return;
        }
        for (const address of addresses) {
            const peer = splitAddress(address);
            // A message that can't be sent is like one that is lost.
            socket.send(message, peer.port, peer.host, () => undefined);
        }
    };
};
