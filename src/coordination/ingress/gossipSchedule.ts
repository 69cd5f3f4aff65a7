/**
 * Decides which entries send their status to which others, and how often.
 *
 * If each entry sent to every other, the number of messages would grow with the square of the number of entries, and
 * with bounded traffic each would be received less often, while streams are assigned by these counts. Each entry
 * therefore sends its status only within its own zone, and two entries of each zone (its relays) send the statuses of
 * the whole zone to all other zones. Each relay sends half as often, so that if one dies, the other zones receive
 * updates at half the rate until the next entry of the zone takes its place.
 */
import type { Clock } from "../../state/types.js";
import type { EntryStatus, PeerStatusTable } from "./peerStatusTable.js";

export type PeerEntry = { host: string; availabilityZone: string; address: string; };

/** The status as it must be relayed `age` milliseconds after it was received. */
const withRelayDelay = (status: EntryStatus, age: number): EntryStatus => {
    const { store } = status;
    const statedLimits = Object.fromEntries(
        Object.entries(status.statedLimits).map(([id, statement]) => [
            id,
            { ...statement, ageMilliseconds: Math.round(statement.ageMilliseconds + age) },
        ]),
    );
    if (store === undefined) {
        return { ...status, statedLimits };
    }
    const confirmedAges = Object.fromEntries(
        Object.entries(store.confirmedAges).map(([topic, confirmedAge]) => [topic, Math.round(confirmedAge + age)]),
    );
    return { ...status, statedLimits, store: { ...store, confirmedAges } };
};

export type GossipSchedule = {
    /** Sends this entry's status at once, in addition to the regular messages. */
    publishNow: () => void;
};

export type GossipScheduleOptions = {
    host: string;
    availabilityZone: string;
    /** All other known entries. */
    others: () => PeerEntry[];
    peerStatuses: Pick<PeerStatusTable, "statusesInZone">;
    ownStatus: () => EntryStatus;
    send: (addresses: string[], statuses: EntryStatus[]) => void;
    clock: Clock;
    signal: AbortSignal;
};

/** Few streams start between two messages: with 50 starts a second over all entries, five. */
const shortestIntervalMilliseconds = 100;
/** Limits what one entry sends within its zone to about 80 messages a second. */
const intervalPerZonePeerMilliseconds = 12;
/** Limits what one zone sends to other zones to about 200 messages a second. */
const intervalPerRemotePeerMilliseconds = 5;
const relaysPerZone = 2;
/** Four messages in a row; after that the next entry of the zone becomes a relay. */
const relaySilenceMilliseconds = 450;

/** Interval of an entry's messages to the `peers` others of its zone. */
export const zoneIntervalMilliseconds = (peers: number): number =>
    Math.max(shortestIntervalMilliseconds, peers * intervalPerZonePeerMilliseconds);

/** Interval of the messages of a zone to the `peers` entries of the other zones. */
export const remoteIntervalMilliseconds = (peers: number): number =>
    Math.max(shortestIntervalMilliseconds, peers * intervalPerRemotePeerMilliseconds);

export const startGossipSchedule = (options: GossipScheduleOptions): GossipSchedule => {
    const { host, availabilityZone, others, peerStatuses, ownStatus, send, clock, signal } = options;

    const zonePeers = (): PeerEntry[] => others().filter(entry => entry.availabilityZone === availabilityZone);
    const remotePeers = (): PeerEntry[] => others().filter(entry => entry.availabilityZone !== availabilityZone);

    const addressesOf = (entries: PeerEntry[]): string[] => entries.map(({ address }) => address);

    /** Host names of the entries that relay for this zone; this entry may be among them. */
    const zoneRelays = (): string[] => {
        const received = peerStatuses.statusesInZone(availabilityZone).filter(({ age }) =>
            age < relaySilenceMilliseconds
        );
        return [...received.map(({ status }) => status.host), host].sort().slice(0, relaysPerZone);
    };

    const publishWithinZone = async (): Promise<void> => {
        while (!signal.aborted) {
            const known = zonePeers();
            send(addressesOf(known), [ownStatus()]);
            await clock.sleep(zoneIntervalMilliseconds(known.length), signal);
        }
    };

    const publishToOtherZones = async (): Promise<void> => {
        while (!signal.aborted) {
            const known = remotePeers();
            const relays = zoneRelays();
            if (relays.includes(host)) {
                const received = peerStatuses.statusesInZone(availabilityZone).map(({ status, age }) =>
                    withRelayDelay(status, age)
                );
                send(addressesOf(known), [ownStatus(), ...received]);
            }
            await clock.sleep(remoteIntervalMilliseconds(known.length) * relays.length, signal);
        }
    };

    void publishWithinZone();
    void publishToOtherZones();
    return {
        publishNow: () => send(addressesOf(zoneRelays().includes(host) ? others() : zonePeers()), [ownStatus()]),
    };
};
