/**
 * Carries the entries' news between them by datagrams; `newsSpread.ts` decides who tells whom.
 *
 * A datagram that is lost costs nothing, as the next one says it all again. Entries are found in the store's list; one
 * that is heard is remembered for good, so that entries which the store turns away still find each other.
 */
import { createSocket } from "node:dgram";
import type { IngressLog } from "../../coordination/ingress/ingressLog.js";
import type { MemberList } from "../../coordination/ingress/memberList.js";
import { type KnownEntry, type NewsSpread, startNewsSpread } from "../../coordination/ingress/newsSpread.js";
import type { EntryNews, PeerLoad } from "../../coordination/ingress/peerLoad.js";
import { decodeNews, encodeNews } from "../../protocol/entryNews.js";
import type { Clock } from "../../state/types.js";

/** Entries that start tell all others by themselves; the list is for what was lost. */
const listIntervalMilliseconds = 40_000;
const listRetryMilliseconds = 1_000;

export type EntryGossipOptions = {
    host: string;
    availabilityZone: string;
    ip: string;
    port: number;
    members: MemberList;
    peers: PeerLoad;
    /** Called after news of other entries were taken. */
    onNews: (news: EntryNews[]) => void;
    news: () => Omit<EntryNews, "host" | "availabilityZone" | "sequence">;
    clock: Clock;
    log: IngressLog;
    signal: AbortSignal;
};

export const startEntryGossip = (options: EntryGossipOptions): NewsSpread => {
    const { host, availabilityZone, ip, port, members, peers, onNews, news, clock, log, signal } = options;
    const socket = createSocket("udp4");
    const others = new Map<string, KnownEntry>();
    let sequence = 0;

    socket.on("message", (message, { address, port: senderPort }) => {
        decodeNews(message).match(
            ({ from, news: told }) => {
                const news = told.filter(entry => entry.host !== host);
                for (const entry of news) {
                    if (entry.host === from) {
                        const known = { host: from, availabilityZone: entry.availabilityZone };
                        others.set(from, { ...known, address: `${address}:${senderPort}` });
                    }
                    peers.take(entry, from);
                }
                onNews(news);
            },
            reason => log.belief("datagram ignored", { from: address, reason }),
        );
    });
    socket.on("error", error => log.belief("datagram socket failed", { reason: error.message }));

    const send = (addresses: string[], told: EntryNews[]): void => {
        if (signal.aborted) {
            return;
        }
        const message = encodeNews({ from: host, news: told });
        for (const address of addresses) {
            const [peerIp, peerPort] = address.split(":");
            // A message that can't be sent is like one that is lost.
            socket.send(message, Number(peerPort), peerIp, () => undefined);
        }
    };

    const ownNews = (): EntryNews => {
        sequence += 1;
        return { host, availabilityZone, sequence, ...news() };
    };

    const followList = async (): Promise<void> => {
        let isAnnounced = false;
        while (!signal.aborted) {
            if (!isAnnounced) {
                const announced = await members.announce(
                    { host, availabilityZone, address: `${ip}:${port}` },
                    signal,
                );
                isAnnounced = announced.isOk();
            }
            const listed = await members.read(signal);
            listed.match(
                found =>
                    found.filter(member => member.host !== host)
                        .forEach(member => others.set(member.host, member)),
                reason => log.belief("list of entries not read", { reason }),
            );
            await clock.sleep(isAnnounced && listed.isOk() ? listIntervalMilliseconds : listRetryMilliseconds, signal);
        }
    };

    socket.bind(port, ip);
    signal.addEventListener("abort", () => socket.close(), { once: true });
    void followList();
    return startNewsSpread({
        host,
        availabilityZone,
        others: () => [...others.values()],
        peers,
        ownNews,
        send,
        clock,
        signal,
    });
};
