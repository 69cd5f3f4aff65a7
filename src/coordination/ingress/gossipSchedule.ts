/**
 * Which entries tell which others what they run, and how often.
 *
 * Load it answers: many entries. If each told every other, messages would grow with the square of their number and each
 * would be heard ever more seldom, while streams are placed on these counts. So an entry tells only those of its own
 * zone, and two entries of each zone tell all others what their zone runs. Each of the two speaks half as often, so when
 * one dies the others hear the zone at half the pace until the next in order speaks in its place.
 */
import type { Clock } from "../../state/types.js";
import type { EntryStatus, PeerStatusTable } from "./peerStatusTable.js";

export type PeerEntry = { host: string; availabilityZone: string; address: string; };

/** News as they are when passed on `age` milliseconds after they came. */
const withRelayDelay = (status: EntryStatus, age: number): EntryStatus => {
    const { store } = status;
    return store === undefined
        ? status
        : { ...status, store: { ...store, contactAge: Math.round(store.contactAge + age) } };
};

export type GossipSchedule = {
    /** Tells what is new at once, beside the regular messages. */
    publishNow: () => void;
};

export type GossipScheduleOptions = {
    host: string;
    availabilityZone: string;
    /** Every other entry that is known. */
    others: () => PeerEntry[];
    peers: Pick<PeerStatusTable, "heardIn">;
    ownStatus: () => EntryStatus;
    send: (addresses: string[], statuses: EntryStatus[]) => void;
    clock: Clock;
    signal: AbortSignal;
};

/** Fresh enough that few streams start between two messages: at 50 a second over all entries, five. */
const shortestIntervalMilliseconds = 100;
/** Keeps what one entry sends within its zone below about 80 messages a second. */
const intervalPerZonePeerMilliseconds = 12;
/** Keeps what one zone sends to the others below about 200 messages a second. */
const intervalPerRemotePeerMilliseconds = 5;
const relaysPerZone = 2;
/** Four messages in a row; then the next entry of the zone speaks as well. */
const relaySilenceMilliseconds = 450;

export const startGossipSchedule = (options: GossipScheduleOptions): GossipSchedule => {
    const { host, availabilityZone, others, peers, ownStatus: ownStatus, send, clock, signal } = options;

    const zonePeers = (): PeerEntry[] => others().filter(entry => entry.availabilityZone === availabilityZone);
    const remotePeers = (): PeerEntry[] => others().filter(entry => entry.availabilityZone !== availabilityZone);

    const addressesOf = (entries: PeerEntry[]): string[] => entries.map(({ address }) => address);

    /** The entries of this zone that speak for it; this one may be among them. */
    const zoneRelays = (): string[] => {
        const heard = peers.heardIn(availabilityZone).filter(({ age }) => age < relaySilenceMilliseconds);
        return [...heard.map(({ status: status }) => status.host), host].sort().slice(0, relaysPerZone);
    };

    const publishWithinZone = async (): Promise<void> => {
        while (!signal.aborted) {
            const known = zonePeers();
            send(addressesOf(known), [ownStatus()]);
            const interval = Math.max(shortestIntervalMilliseconds, known.length * intervalPerZonePeerMilliseconds);
            await clock.sleep(interval, signal);
        }
    };

    const publishToOtherZones = async (): Promise<void> => {
        while (!signal.aborted) {
            const known = remotePeers();
            const relays = zoneRelays();
            if (relays.includes(host)) {
                const heard = peers.heardIn(availabilityZone).map(({ status: status, age }) =>
                    withRelayDelay(status, age)
                );
                send(addressesOf(known), [ownStatus(), ...heard]);
            }
            const interval = Math.max(shortestIntervalMilliseconds, known.length * intervalPerRemotePeerMilliseconds);
            await clock.sleep(interval * relays.length, signal);
        }
    };

    void publishWithinZone();
    void publishToOtherZones();
    return {
        publishNow: () => send(addressesOf(zoneRelays().includes(host) ? others() : zonePeers()), [ownStatus()]),
    };
};
