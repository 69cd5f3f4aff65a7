/**
 * UDP socket for messages between daemons. Messages that cannot be sent are dropped silently.
 */
import { createSocket } from "node:dgram";
import type { IngressLog } from "../coordination/ingress/ingressLog.js";
import { splitAddress } from "./address.js";

export type DatagramSocketOptions = {
    ip: string;
    port: number;
    /** `from` is the `ip:port` of the sender. */
    onMessage: (message: Buffer, from: string) => void;
    log: IngressLog;
    signal: AbortSignal;
};

/**
 * Listens on `ip:port` until `signal` aborts; returns a function that sends one message to several `ip:port` addresses.
 */
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
            // A send error is treated like a lost datagram.
            socket.send(message, peer.port, peer.host, () => undefined);
        }
    };
};
