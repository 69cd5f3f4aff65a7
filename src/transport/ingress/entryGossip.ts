/**
 * Carries the entries' news between them by datagrams; `newsSpread.ts` decides who tells whom.
 *
 * A datagram that is lost costs nothing, as the next one says it all again. Entries are found in the store's list; one
 * that is heard is remembered for good, so that entries which the store turns away still find each other.
 */
import { type GossipSchedule, type PeerEntry, startGossipSchedule } from "../../coordination/ingress/gossipSchedule.js";
import type { IngressLog } from "../../coordination/ingress/ingressLog.js";
import type { MemberList } from "../../coordination/ingress/memberList.js";
import type { EntryStatus, PeerStatusTable } from "../../coordination/ingress/peerStatusTable.js";
import { decodeEntryGossip, encodeEntryGossip } from "../../protocol/entryGossipMessages.js";
import type { Clock } from "../../state/types.js";
import { openDatagramSocket } from "../datagramSocket.js";

/** Entries that start tell all others by themselves; the list is for what was lost. */
const listIntervalMilliseconds = 40_000;
const listRetryMilliseconds = 1_000;

export type EntryGossipOptions = {
    host: string;
    availabilityZone: string;
    ip: string;
    port: number;
    members: MemberList;
    peerStatuses: PeerStatusTable;
    /** Called after news of other entries were taken. */
    onStatuses: (news: EntryStatus[]) => void;
    ownStatusFields: () => Omit<EntryStatus, "host" | "availabilityZone" | "sequence">;
    clock: Clock;
    log: IngressLog;
    signal: AbortSignal;
};

export const startEntryGossip = (options: EntryGossipOptions): GossipSchedule => {
    const {
        host,
        availabilityZone,
        ip,
        port,
        members,
        peerStatuses: peerStatuses,
        onStatuses: onStatuses,
        ownStatusFields: ownStatusFields,
        clock,
        log,
        signal,
    } = options;
    const knownEntries = new Map<string, PeerEntry>();
    let sequence = 0;

    const receive = (message: Buffer, sender: string): void =>
        decodeEntryGossip(message).match(
            ({ from, news: received }) => {
                const statuses = received.filter(entry => entry.host !== host);
                for (const status of statuses) {
                    if (status.host === from) {
                        knownEntries.set(from, {
                            host: from,
                            availabilityZone: status.availabilityZone,
                            address: sender,
                        });
                    }
                    peerStatuses.record(status, from);
                }
                onStatuses(statuses);
            },
            reason => log.stateChange("datagram ignored", { from: sender, reason }),
        );

    const nextStatus = (): EntryStatus => {
        sequence += 1;
        return { host, availabilityZone, sequence, ...ownStatusFields() };
    };

    const syncMemberList = async (): Promise<void> => {
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
                        .forEach(member => knownEntries.set(member.host, member)),
                reason => log.stateChange("list of entries not read", { reason }),
            );
            await clock.sleep(isAnnounced && listed.isOk() ? listIntervalMilliseconds : listRetryMilliseconds, signal);
        }
    };

    const sendDatagrams = openDatagramSocket({ ip, port, onMessage: receive, log, signal });
    void syncMemberList();
    return startGossipSchedule({
        host,
        availabilityZone,
        others: () => [...knownEntries.values()],
        peers: peerStatuses,
        ownStatus: nextStatus,
        send: (addresses, statuses) => sendDatagrams(addresses, encodeEntryGossip({ from: host, news: statuses })),
        clock,
        signal,
    });
};
