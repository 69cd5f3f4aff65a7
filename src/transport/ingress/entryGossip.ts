/**
 * Tells the other entries several times a second what this one runs, by datagrams.
 *
 * A datagram that is lost costs nothing, as the next one says it all again. Entries are found in the store's list; one
 * that is heard is remembered for good, so that entries which the store turns away still find each other.
 */
import { createSocket } from "node:dgram";
import type { IngressLog } from "../../coordination/ingress/ingressLog.js";
import type { MemberList } from "../../coordination/ingress/memberList.js";
import type { EntryNews, PeerLoad } from "../../coordination/ingress/peerLoad.js";
import { decodeJsonAs, describeDecodingError } from "../../protocol/decoding.js";
import { encodeEntryNews, entryNewsSchema } from "../../protocol/entryNews.js";
import type { Clock } from "../../state/types.js";

/** Fresh enough that few streams start between two messages: at 50 a second over all entries, five. */
const shortestIntervalMilliseconds = 100;
/** Keeps an entry's messages below about 80 a second however many entries there are. */
const intervalPerEntryMilliseconds = 12;
const listIntervalMilliseconds = 15_000;
const listRetryMilliseconds = 1_000;

export type EntryGossipOptions = {
    host: string;
    availabilityZone: string;
    ip: string;
    port: number;
    members: MemberList;
    peers: PeerLoad;
    /** Called after another entry's news were taken. */
    onNews: () => void;
    news: () => Omit<EntryNews, "host" | "availabilityZone" | "sequence">;
    clock: Clock;
    log: IngressLog;
    signal: AbortSignal;
};

export const startEntryGossip = (options: EntryGossipOptions): void => {
    const { host, availabilityZone, ip, port, members, peers, onNews, news, clock, log, signal } = options;
    const socket = createSocket("udp4");
    const addresses = new Map<string, string>();
    let sequence = 0;

    socket.on("message", (message, { address, port: senderPort }) => {
        decodeJsonAs(entryNewsSchema, message.toString("utf8")).match(
            told => {
                if (told.host !== host) {
                    addresses.set(told.host, `${address}:${senderPort}`);
                    peers.take(told, `${address}:${senderPort}`);
                    onNews();
                }
            },
            error => log.belief("datagram ignored", { from: address, reason: describeDecodingError(error) }),
        );
    });
    socket.on("error", error => log.belief("datagram socket failed", { reason: error.message }));

    const tellAll = (): void => {
        sequence += 1;
        const message = encodeEntryNews({ host, availabilityZone, sequence, ...news() });
        for (const address of addresses.values()) {
            const [peerIp, peerPort] = address.split(":");
            // A message that can't be sent is like one that is lost.
            socket.send(message, Number(peerPort), peerIp, () => undefined);
        }
    };

    const tell = async (): Promise<void> => {
        while (!signal.aborted) {
            tellAll();
            const interval = Math.max(shortestIntervalMilliseconds, addresses.size * intervalPerEntryMilliseconds);
            await clock.sleep(interval, signal);
        }
        socket.close();
    };

    const followList = async (): Promise<void> => {
        let isAnnounced = false;
        while (!signal.aborted) {
            if (!isAnnounced) {
                const announced = await members.announce({ host, address: `${ip}:${port}` }, signal);
                isAnnounced = announced.isOk();
            }
            const listed = await members.read(signal);
            listed.match(
                found =>
                    found.filter(member => member.host !== host)
                        .forEach(member => addresses.set(member.host, member.address)),
                reason => log.belief("list of entries not read", { reason }),
            );
            await clock.sleep(isAnnounced && listed.isOk() ? listIntervalMilliseconds : listRetryMilliseconds, signal);
        }
    };

    socket.bind(port, ip, () => void tell());
    void followList();
};
