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
import type { FeedPosition } from "../../coordination/ingress/recordSource.js";
import { decodeEntryGossip, encodeEntryGossip } from "../../protocol/entryGossipMessages.js";
import type { Clock } from "../../state/types.js";
import { openDatagramSocket } from "../datagramSocket.js";

/** The store charges for each poll and limits its wait to 30 s. */
const listPollMilliseconds = 25_000;
const listRetryMilliseconds = 1_000;

export type EntryGossipOptions = {
    host: string;
    availabilityZone: string;
    ip: string;
    port: number;
    members: MemberList;
    /** All other known entries by host name; filled by this module. */
    knownEntries: Map<string, PeerEntry>;
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
        knownEntries,
        peerStatuses,
        onStatuses,
        ownStatusFields,
        clock,
        log,
        signal,
    } = options;
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

    const announce = async (): Promise<void> => {
        const address = `${ip}:${port}`;
        while (!signal.aborted) {
            const announced = await members.announce({ host, availabilityZone, address }, signal);
            if (announced.isOk()) {
                return;
            }
            await clock.sleep(listRetryMilliseconds, signal);
        }
    };

    const followMemberList = async (): Promise<void> => {
        let position: FeedPosition | undefined;
        while (!signal.aborted) {
            const batch = position === undefined
                ? await members.readAll(signal)
                : await members.readNewer(position, listPollMilliseconds, signal);
            if (batch.isErr()) {
                log.stateChange("entry list read failed", { ...batch.error });
                position = batch.error.kind === "truncated" ? undefined : position;
                await clock.sleep(listRetryMilliseconds, signal);
                continue;
            }
            const listed = batch.value.members;
            listed.filter(member => member.host !== host).forEach(member => knownEntries.set(member.host, member));
            // A restarted entry is still listed; a store that came back from an older copy may have lost the record.
            const isListed = listed.some(member => member.host === host && member.address === `${ip}:${port}`);
            if (position === undefined && !isListed) {
                void announce();
            }
            position = batch.value.next;
        }
    };

    const sendDatagrams = openDatagramSocket({ ip, port, onMessage: receive, log, signal });
    void followMemberList();
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
