/**
 * Exchanges the entries' records of client account demand within one availability zone.
 *
 * The records form a gossip topic, but are exchanged only among the zone's entries, and with several of them each
 * second, since outdated shares allow an account more or less than its limit. A digest carries its sender's own record,
 * so that one call informs both sides.
 */
import type { Clock } from "../state/types.js";
import type { GossipTopic, PeerExchange } from "./gossip.js";
import { type EntryDemandRecord, type RateLimitShares, rebalanceIntervalMilliseconds } from "./rateLimitShares.js";

/** What an entry sends to a peer: its own record and the newest sequence number that it has from each other entry. */
export type DemandDigest = { own: EntryDemandRecord; known: Record<string, number>; };

export type DemandDecoders = {
    digest: (value: unknown) => DemandDigest | undefined;
    records: (value: unknown) => EntryDemandRecord[] | undefined;
};

/** Peers contacted in each interval. */
const peersPerInterval = 4;

/** Builds the topic of one availability zone for `shares`; the decoders validate what peers send. */
export const demandTopic = (
    availabilityZone: string,
    shares: RateLimitShares,
    decode: DemandDecoders,
): GossipTopic => ({
    name: `demand/${availabilityZone}`,
    digest: (): DemandDigest => {
        const [own, ...others] = shares.records() as [EntryDemandRecord, ...EntryDemandRecord[]];
        return { own, known: Object.fromEntries(others.map(({ host, sequence }) => [host, sequence])) };
    },
    newerThan: (value, maximumBytes): EntryDemandRecord[] | undefined => {
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

/** Updates the shares and exchanges records in every interval, until `signal` aborts. */
export const startDemandExchange = async ({ shares, topic, peers, exchange, clock, signal }: {
    shares: RateLimitShares;
    topic: GossipTopic;
    /** Addresses of the zone's other entries. */
    peers: () => readonly string[];
    exchange: PeerExchange;
    clock: Clock;
    signal: AbortSignal;
}): Promise<void> => {
    let nextPeerIndex = 0;

    const exchangeWith = async (address: string): Promise<void> => {
        const message = { digests: { [topic.name]: topic.digest() }, updates: {} };
        const answer = await exchange(address, message, signal);
        if (answer.isOk()) {
            topic.accept(answer.value.updates[topic.name]);
        }
    };

    while (!signal.aborted) {
        shares.update();
        const known = peers();
        const count = Math.min(peersPerInterval, known.length);
        const selected = [...Array(count).keys()].map(position =>
            known[(nextPeerIndex + position) % known.length] ?? ""
        );
        nextPeerIndex += count;
        selected.forEach(address => void exchangeWith(address));
        await clock.sleep(rebalanceIntervalMilliseconds, signal);
    }
};
