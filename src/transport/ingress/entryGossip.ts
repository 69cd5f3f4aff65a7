/**
 * Exchanges status between the entries of the ingress by datagrams; `gossipSchedule.ts` decides which entries send to which.
 *
 * A lost datagram does no harm, as each contains the full status. Entries are discovered through the list in the store;
 * an entry that has been heard is never forgotten, so that entries which the store refuses still find each other.
 */
import { type GossipSchedule, type PeerEntry, startGossipSchedule } from "../../coordination/ingress/gossipSchedule.js";
import type { IngressLog } from "../../coordination/ingress/ingressLog.js";
import type { MemberList } from "../../coordination/ingress/memberList.js";
import type { EntryStatus, PeerStatusTable } from "../../coordination/ingress/peerStatusTable.js";
import { decodeEntryGossip, encodeEntryGossip } from "../../protocol/entryGossipMessages.js";
import type { Clock } from "../../state/types.js";
import { openDatagramSocket } from "../datagramSocket.js";

/** Entries contact all others when they start; reading the list again covers lost datagrams. */
const listIntervalMilliseconds = 40_000;
const listRetryMilliseconds = 1_000;

export type EntryGossipOptions = {
    host: string;
    availabilityZone: string;
    ip: string;
    port: number;
    members: MemberList;
    peerStatuses: PeerStatusTable;
    /** Called after statuses of other entries were recorded. */
    onStatuses: (statuses: EntryStatus[]) => void;
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
        peerStatuses,
        onStatuses,
        ownStatusFields,
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
                reason => log.stateChange("entry list read failed", { reason }),
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
        peerStatuses,
        ownStatus: nextStatus,
        send: (addresses, statuses) => sendDatagrams(addresses, encodeEntryGossip({ from: host, news: statuses })),
        clock,
        signal,
    });
};
