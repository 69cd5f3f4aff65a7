/**
 * The other entries as sources of records: which of them are live, what they say of the store, and where to read from
 * them.
 */
import { type PeerEntry, remoteIntervalMilliseconds, zoneIntervalMilliseconds } from "./gossipSchedule.js";
import type { EntryStatus, PeerStatusTable } from "./peerStatusTable.js";
import { comparePositions, type RecordSource } from "./recordSource.js";
import type { RecordPeers } from "./sharedRecords.js";

export type RecordPeersOptions = {
    availabilityZone: string;
    /** All other known entries by host name. */
    knownEntries: ReadonlyMap<string, PeerEntry>;
    peerStatuses: Pick<PeerStatusTable, "live">;
    /** Reads from the entry at an address. */
    createSource: (address: string) => RecordSource;
};

/** An entry counts as silent after this many of its regular messages are missing. */
const missedMessages = 3;
const minimumSilenceMilliseconds = 600;

export const createRecordPeers = (options: RecordPeersOptions): RecordPeers => {
    const { availabilityZone, knownEntries, peerStatuses, createSource } = options;
    const sources = new Map<string, RecordSource>();

    const sourceAt = (address: string): RecordSource => {
        const known = sources.get(address) ?? createSource(address);
        sources.set(address, known);
        return known;
    };

    const isOwnZone = (entry: { availabilityZone: string; }): boolean => entry.availabilityZone === availabilityZone;

    const silenceMilliseconds = (): { ownZone: number; otherZones: number; } => {
        const entries = [...knownEntries.values()];
        const zonePeers = entries.filter(isOwnZone).length;
        const missed = (intervalMilliseconds: number): number =>
            Math.max(minimumSilenceMilliseconds, missedMessages * intervalMilliseconds);
        return {
            ownZone: missed(zoneIntervalMilliseconds(zonePeers)),
            otherZones: missed(remoteIntervalMilliseconds(entries.length - zonePeers)),
        };
    };

    const audible = (): { status: EntryStatus; age: number; }[] => {
        const { ownZone, otherZones } = silenceMilliseconds();
        return peerStatuses.live().filter(({ status, age }) =>
            knownEntries.has(status.host) && age < (isOwnZone(status) ? ownZone : otherZones)
        );
    };

    return {
        candidates: topic =>
            audible().map(({ status }) => ({
                host: status.host,
                availabilityZone: status.availabilityZone,
                isServed: !status.unserved.includes(topic),
                hasRead: status.hasRead && status.store !== undefined,
            })),
        ahead: (topic, position) =>
            audible().filter(({ status: { store, hasRead } }) =>
                hasRead && store !== undefined && comparePositions(store.positions[topic], position) > 0
            ).map(({ status }) => ({ host: status.host, availabilityZone: status.availabilityZone })),
        unheard: () => {
            const heard = new Set(peerStatuses.live().map(({ status }) => status.host));
            return [...knownEntries.values()].filter(({ host }) => !heard.has(host));
        },
        sourceOf: host => sourceAt(knownEntries.get(host)?.address ?? ""),
    };
};
