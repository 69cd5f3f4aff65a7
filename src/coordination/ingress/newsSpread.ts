/**
 * Which entries tell which others what they run, and how often.
 *
 * Load it answers: many entries. If each told every other, messages would grow with the square of their number and each
 * would be heard ever more seldom, while streams are placed on these counts. So an entry tells only those of its own
 * zone, and two entries of each zone tell all others what their zone runs. Each of the two speaks half as often, so when
 * one dies the others hear the zone at half the pace until the next in order speaks in its place.
 */
import type { Clock } from "../../state/types.js";
import type { EntryNews, PeerLoad } from "./peerLoad.js";

export type KnownEntry = { host: string; availabilityZone: string; address: string; };

/** News as they are when passed on `age` milliseconds after they came. */
const aged = (news: EntryNews, age: number): EntryNews => {
    const { store } = news;
    return store === undefined
        ? news
        : { ...news, store: { ...store, contactAge: Math.round(store.contactAge + age) } };
};

export type NewsSpread = {
    /** Tells what is new at once, beside the regular messages. */
    tellNow: () => void;
};

export type NewsSpreadOptions = {
    host: string;
    availabilityZone: string;
    /** Every other entry that is known. */
    others: () => KnownEntry[];
    peers: Pick<PeerLoad, "heardIn">;
    ownNews: () => EntryNews;
    send: (addresses: string[], news: EntryNews[]) => void;
    clock: Clock;
    signal: AbortSignal;
};

/** Fresh enough that few streams start between two messages: at 50 a second over all entries, five. */
const shortestIntervalMilliseconds = 100;
/** Keeps what one entry sends within its zone below about 80 messages a second. */
const intervalPerMateMilliseconds = 12;
/** Keeps what one zone sends to the others below about 200 messages a second. */
const intervalPerOtherMilliseconds = 5;
const speakersOfZone = 2;
/** Four messages in a row; then the next entry of the zone speaks as well. */
const speakerSilenceMilliseconds = 450;

export const startNewsSpread = (options: NewsSpreadOptions): NewsSpread => {
    const { host, availabilityZone, others, peers, ownNews, send, clock, signal } = options;

    const mates = (): KnownEntry[] => others().filter(entry => entry.availabilityZone === availabilityZone);
    const strangers = (): KnownEntry[] => others().filter(entry => entry.availabilityZone !== availabilityZone);

    const addressesOf = (entries: KnownEntry[]): string[] => entries.map(({ address }) => address);

    /** The entries of this zone that speak for it; this one may be among them. */
    const speakers = (): string[] => {
        const heard = peers.heardIn(availabilityZone).filter(({ age }) => age < speakerSilenceMilliseconds);
        return [...heard.map(({ news }) => news.host), host].sort().slice(0, speakersOfZone);
    };

    const tellMates = async (): Promise<void> => {
        while (!signal.aborted) {
            const known = mates();
            send(addressesOf(known), [ownNews()]);
            const interval = Math.max(shortestIntervalMilliseconds, known.length * intervalPerMateMilliseconds);
            await clock.sleep(interval, signal);
        }
    };

    const tellStrangers = async (): Promise<void> => {
        while (!signal.aborted) {
            const known = strangers();
            const speaking = speakers();
            if (speaking.includes(host)) {
                const heard = peers.heardIn(availabilityZone).map(({ news, age }) => aged(news, age));
                send(addressesOf(known), [ownNews(), ...heard]);
            }
            const interval = Math.max(shortestIntervalMilliseconds, known.length * intervalPerOtherMilliseconds);
            await clock.sleep(interval * speaking.length, signal);
        }
    };

    void tellMates();
    void tellStrangers();
    return {
        tellNow: () => send(addressesOf(speakers().includes(host) ? others() : mates()), [ownNews()]),
    };
};
