/**
 * Datagrams between the agents of one group: each tells who it is, and the coordinator the counts of its rank.
 *
 * Counts are told as sums since the rank's start, so a lost datagram costs nothing but resolution.
 */
import { createSocket } from "node:dgram";
import { z } from "zod";
import type { RankNews } from "../../coordination/experts/groupCoordinator.js";
import type { IngressLog } from "../../coordination/ingress/ingressLog.js";
import { decodeJsonAs, describeDecodingError } from "../../protocol/decoding.js";

const optionalNumber = z.number().optional();

const beaconSchema = z.object({ kind: z.literal("beacon"), group: z.string(), rank: z.number() });
const newsSchema = z.object({
    kind: z.literal("news"),
    engine: z.string(),
    step: z.number(),
    counts: z.array(z.number()),
    report: z.object({
        group: z.string(),
        rank: z.number(),
        ranks: z.number(),
        epoch: z.number(),
        isOpen: z.boolean(),
        step: z.number(),
        mapInForce: z.number(),
        prepared: optionalNumber,
        armed: z.object({ version: z.number(), step: optionalNumber }).optional(),
        held: optionalNumber,
    }),
});
const messageSchema = z.union([beaconSchema, newsSchema]);

export type RankGossip = {
    sendBeacon: (addresses: string[], group: string, rank: number) => void;
    sendNews: (address: string, news: RankNews) => void;
};

export type RankGossipOptions = {
    ip: string;
    port: number;
    onBeacon: (group: string, rank: number, address: string) => void;
    onNews: (news: RankNews) => void;
    log: IngressLog;
    signal: AbortSignal;
};

export const startRankGossip = ({ ip, port, onBeacon, onNews, log, signal }: RankGossipOptions): RankGossip => {
    const socket = createSocket("udp4");
    let isOpen = true;
    signal.addEventListener("abort", () => {
        isOpen = false;
        socket.close();
    }, { once: true });
    socket.on("error", error => log.belief("datagram socket failed", { reason: error.message }));
    socket.on("message", (message, { address, port: senderPort }) => {
        decodeJsonAs(messageSchema, message.toString("utf8")).match(
            told => {
                if (told.kind === "beacon") {
                    onBeacon(told.group, told.rank, `${address}:${senderPort}`);
                }
                else {
                    onNews(told as RankNews);
                }
            },
            error => log.belief("datagram ignored", { from: address, reason: describeDecodingError(error) }),
        );
    });
    socket.bind(port, ip);

    const send = (address: string, message: object): void => {
        const [peerIp, peerPort] = address.split(":");
        if (isOpen) {
            // A message that can't be sent is like one that is lost.
            socket.send(JSON.stringify(message), Number(peerPort), peerIp, () => undefined);
        }
    };
    return {
        sendBeacon: (addresses, group, rank) =>
            addresses.forEach(address => send(address, { kind: "beacon", group, rank })),
        sendNews: (address, news) => send(address, { kind: "news", ...news }),
    };
};
