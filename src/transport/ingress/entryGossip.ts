/**
 * Carries the entries' news between them by datagrams; `newsSpread.ts` decides who tells whom.
 *
 * A datagram that is lost costs nothing, as the next one says it all again. Entries are found in the store's list; one
 * that is heard is remembered for good, so that entries which the store turns away still find each other.
 */
import type { IngressLog } from "../../coordination/ingress/ingressLog.js";
import type { MemberList } from "../../coordination/ingress/memberList.js";
import { type KnownEntry, type NewsSpread, startNewsSpread } from "../../coordination/ingress/newsSpread.js";
import type { EntryNews, PeerLoad } from "../../coordination/ingress/peerLoad.js";
import { decodeNews, encodeNews } from "../../protocol/entryNews.js";
import type { Clock } from "../../state/types.js";
import { openDatagrams } from "../datagrams.js";

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
    const others = new Map<string, KnownEntry>();
    let sequence = 0;

    const take = (message: Buffer, sender: string): void =>
        decodeNews(message).match(
            ({ from, news: told }) => {
                const news = told.filter(entry => entry.host !== host);
                for (const entry of news) {
                    if (entry.host === from) {
                        others.set(from, { host: from, availabilityZone: entry.availabilityZone, address: sender });
                    }
                    peers.take(entry, from);
                }
                onNews(news);
            },
            reason => log.belief("datagram ignored", { from: sender, reason }),
        );

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

    const sendBytes = openDatagrams({ ip, port, onMessage: take, log, signal });
    void followList();
    return startNewsSpread({
        host,
        availabilityZone,
        others: () => [...others.values()],
        peers,
        ownNews,
        send: (addresses, told) => sendBytes(addresses, encodeNews({ from: host, news: told })),
        clock,
        signal,
    });
};
