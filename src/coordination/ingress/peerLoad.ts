/**
 * What the other entries said they run, as far as it is fresh.
 *
 * Entries choose ranks and admit streams on the sum of all entries' counts, so each tells the others several times a
 * second. What an entry said last is dropped when it falls silent: its streams then end or time out by themselves.
 */
import type { Clock } from "../../state/types.js";
import type { IngressLog } from "./ingressLog.js";
import type { StoreNews } from "./storeWatch.js";

/** What one entry says of itself. */
export type EntryNews = {
    host: string;
    availabilityZone: string;
    /** Changes with each start of the entry. */
    incarnation: string;
    /** Grows with each message of one incarnation. */
    sequence: number;
    /** Requests that it runs, by upstream. */
    running: Record<string, number>;
    /** Its estimate of the streams that each group can pace. */
    limits: Record<string, number>;
    /** Undefined until it has read everything once. */
    store: StoreNews | undefined;
};

export type PeerLoad = {
    /** Takes news that the entry `teller` passed on, mostly its own; older news than known are ignored. */
    take: (news: EntryNews, teller: string) => void;
    /** Requests that the other entries run on an upstream. */
    runningOn: (id: string) => number;
    /** The other entries' mean estimate for a group; undefined if none has one. */
    limitOf: (group: string) => number | undefined;
    /** Entries that are heard, this one included. */
    entries: () => number;
    /** The most entries that were heard at once, this one included. */
    mostEntries: () => number;
    /** What the entries of a zone said last, and how many milliseconds ago it came. */
    heardIn: (availabilityZone: string) => { news: EntryNews; age: number; }[];
    /** This entry's place, from 0, among those that are heard, in the order of their names. */
    turnOf: (host: string) => number;
    /** Whether entries of other availability zones were heard before and all are silent now. */
    isZoneAlone: (availabilityZone: string) => boolean;
};

/** Several messages may be lost or late before an entry counts as silent. */
const silentMilliseconds = 1_500;
/** Seven messages in a row of all zones but this one. */
const aloneMilliseconds = 750;

type Heard = { news: EntryNews; at: number; };

export const createPeerLoad = (clock: Pick<Clock, "now">, log: IngressLog): PeerLoad => {
    const heard = new Map<string, Heard>();
    let totals = new Map<string, number>();
    let totalsAt = -Infinity;
    let otherZonesHeardAt: number | undefined;
    let mostHeard = 0;
    /** Sums are made anew this often at most, as every admitted request reads them. */
    const totalsAge = 10;

    const fresh = (): Heard[] => {
        for (const [host, { at, news }] of heard) {
            if (clock.now() - at > silentMilliseconds) {
                heard.delete(host);
                log.dependency(`entry ${host}`, "lost", {
                    silentFor: Math.round(clock.now() - at),
                    sequence: news.sequence,
                });
            }
        }
        return [...heard.values()];
    };

    const sum = (): Map<string, number> => {
        if (clock.now() - totalsAt >= totalsAge) {
            totals = new Map();
            totalsAt = clock.now();
            for (const { news } of fresh()) {
                for (const [id, count] of Object.entries(news.running)) {
                    totals.set(id, (totals.get(id) ?? 0) + count);
                }
            }
        }
        return totals;
    };

    return {
        take: (news, teller) => {
            const known = heard.get(news.host);
            if (known === undefined) {
                log.dependency(`entry ${news.host}`, "regained", { teller, incarnation: news.incarnation });
            }
            else if (known.news.incarnation === news.incarnation && known.news.sequence >= news.sequence) {
                return;
            }
            heard.set(news.host, { news, at: clock.now() });
            mostHeard = Math.max(mostHeard, heard.size);
        },
        isZoneAlone: availabilityZone => {
            const others = [...heard.values()].filter(({ news }) => news.availabilityZone !== availabilityZone);
            otherZonesHeardAt = others.reduce<number | undefined>(
                (latest, { at }) => Math.max(latest ?? at, at),
                otherZonesHeardAt,
            );
            return otherZonesHeardAt !== undefined && clock.now() - otherZonesHeardAt > aloneMilliseconds;
        },
        runningOn: id => sum().get(id) ?? 0,
        limitOf: group => {
            const limits = fresh().flatMap(({ news }) => news.limits[group] ?? []);
            return limits.length === 0 ? undefined : limits.reduce((total, limit) => total + limit, 0) / limits.length;
        },
        entries: () => fresh().length + 1,
        turnOf: host => fresh().filter(({ news }) => news.host < host).length,
        mostEntries: () => mostHeard + 1,
        heardIn: availabilityZone =>
            fresh().filter(({ news }) => news.availabilityZone === availabilityZone)
                .map(({ news, at }) => ({ news, age: clock.now() - at })),
    };
};
