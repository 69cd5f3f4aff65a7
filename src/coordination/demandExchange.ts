/**
 * Spreads the entries' records of account demand within one availability zone.
 *
 * The records travel as a topic of the relay, but only between the zone's entries and with each of a few of them every
 * second, since shares that move late let an account over or under its limit. A digest carries its sender's own record,
 * so that one call tells both sides.
 */
import type { Clock } from "../state/types.js";
import { type AccountShares, type EntryRecord, shareIntervalMilliseconds } from "./accountShares.js";
import type { PeerExchange, RelayTopic } from "./relay.js";

/** What an entry tells a peer: its own record and the newest sequence that it has of each other. */
export type DemandDigest = { own: EntryRecord; known: Record<string, number>; };

export type DemandDecoders = {
    digest: (value: unknown) => DemandDigest | undefined;
    records: (value: unknown) => EntryRecord[] | undefined;
};

/** Peers asked in each interval. */
const peersAsked = 4;

/** Builds the topic of one availability zone over `shares`; the decoders check what peers send. */
export const demandTopic = (availabilityZone: string, shares: AccountShares, decode: DemandDecoders): RelayTopic => ({
    name: `demand/${availabilityZone}`,
    digest: (): DemandDigest => {
        const [own, ...others] = shares.records() as [EntryRecord, ...EntryRecord[]];
        return { own, known: Object.fromEntries(others.map(({ host, sequence }) => [host, sequence])) };
    },
    newerThan: (value, maximumBytes): EntryRecord[] | undefined => {
        const digest = decode.digest(value);
        if (digest === undefined) {
            return undefined;
        }
        shares.observe(digest.own);
        let bytes = 0;
        const newer = shares.records().filter(record => {
            const isNewer = record.host !== digest.own.host && record.sequence > (digest.known[record.host] ?? -1);
            bytes += isNewer ? Buffer.byteLength(JSON.stringify(record)) + 1 : 0;
            return isNewer && bytes < maximumBytes;
        });
        return newer.length === 0 ? undefined : newer;
    },
    accept: value => decode.records(value)?.forEach(shares.observe),
});

/** Moves the shares and exchanges records every interval, until `signal` aborts. */
export const startDemandExchange = async ({ shares, topic, peers, exchange, clock, signal }: {
    shares: AccountShares;
    topic: RelayTopic;
    /** Addresses of the zone's other entries. */
    peers: () => readonly string[];
    exchange: PeerExchange;
    clock: Clock;
    signal: AbortSignal;
}): Promise<void> => {
    let next = 0;

    const ask = async (address: string): Promise<void> => {
        const message = { digests: { [topic.name]: topic.digest() }, updates: {} };
        const answer = await exchange(address, message, signal);
        if (answer.isOk()) {
            topic.accept(answer.value.updates[topic.name]);
        }
    };

    while (!signal.aborted) {
        shares.update();
        const known = peers();
        const count = Math.min(peersAsked, known.length);
        const asked = [...Array(count).keys()].map(position => known[(next + position) % known.length] ?? "");
        next += count;
        asked.forEach(address => void ask(address));
        await clock.sleep(shareIntervalMilliseconds, signal);
    }
};
