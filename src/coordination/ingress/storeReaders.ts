/**
 * Decides which entries read the followed topics from the platform's store, and from whom the others get the records.
 *
 * Each availability zone has one reader, the first of its live entries by host name that the store serves; the other
 * entries of the zone read from it. The first of these readers reads from the store, the others read from that one. Calls
 * to the store then don't grow with the number of entries, each record crosses to another zone once, and an entry that
 * the store turns away goes on with what its peers read. Every entry decides for itself from what the entries tell each
 * other; entries that disagree for a moment only make more calls.
 */

/** What an entry needs to know of another one to read from it. */
export type ReaderCandidate = {
    host: string;
    availabilityZone: string;
    /** Whether the store answered its latest call; true before its first. */
    isServed: boolean;
    /** Whether it has read all followed topics, so that others can read from it. */
    hasRead: boolean;
};

/** `wait`: the entry that should read is still starting; `none`: the store serves no live entry. */
export type ReadFrom = { kind: "store" | "wait" | "none"; } | { kind: "peer"; host: string; };

const byHost = (left: ReaderCandidate, right: ReaderCandidate): number => left.host < right.host ? -1 : 1;

/** The reader of each zone with a served entry, by host name. */
const zoneReaders = (candidates: ReaderCandidate[]): ReaderCandidate[] => {
    const firstByZone = new Map<string, ReaderCandidate>();
    for (const candidate of candidates.filter(({ isServed }) => isServed).sort(byHost)) {
        if (!firstByZone.has(candidate.availabilityZone)) {
            firstByZone.set(candidate.availabilityZone, candidate);
        }
    }
    return [...firstByZone.values()];
};

export type ReadFromOptions = {
    /** `isStarting`: entries that precede this one may not have been heard yet. */
    self: ReaderCandidate & { isStarting: boolean; };
    /** Live entries other than this one. */
    peers: ReaderCandidate[];
    /** Hosts of the list of entries that have not been heard. */
    unheard: { host: string; availabilityZone: string; }[];
};

export const chooseReadFrom = ({ self, peers, unheard }: ReadFromOptions): ReadFrom => {
    const isOwnZone = ({ availabilityZone }: { availabilityZone: string; }): boolean =>
        availabilityZone === self.availabilityZone;
    const readers = zoneReaders([self, ...peers]);
    const ownReader = readers.find(isOwnZone);
    const [firstReader] = readers;
    const isPeerExpected = ownReader?.hasRead === false && ownReader !== self
        || ownReader === self && firstReader !== self && firstReader?.hasRead === false
        || unheard.some(entry => peers.length === 0 || isOwnZone(entry) && entry.host < self.host);
    if (ownReader !== undefined && ownReader !== self && ownReader.hasRead) {
        return { kind: "peer", host: ownReader.host };
    }
    if (ownReader === self && firstReader !== undefined && firstReader !== self && firstReader.hasRead) {
        return { kind: "peer", host: firstReader.host };
    }
    if (self.isStarting && isPeerExpected) {
        return { kind: "wait" };
    }
    if (self.isServed) {
        return { kind: "store" };
    }
    const remoteReaders = readers.filter(reader => !isOwnZone(reader) && reader.hasRead);
    if (remoteReaders.length === 0) {
        return { kind: "none" };
    }
    // Entries of a zone without a reader spread over those of the other zones.
    const turn = [self, ...peers].filter(isOwnZone).filter(({ host }) => host < self.host).length;
    return { kind: "peer", host: (remoteReaders[turn % remoteReaders.length] as ReaderCandidate).host };
};

/**
 * Zero-based position of an entry among all live ones when they take turns with calls to the store: first one entry of
 * each zone, then the second of each, and so on.
 */
export const storeTurnOf = (self: ReaderCandidate, peers: ReaderCandidate[]): number => {
    const counted = new Map<string, number>();
    const places = [self, ...peers].sort(byHost).map(candidate => {
        const place = counted.get(candidate.availabilityZone) ?? 0;
        counted.set(candidate.availabilityZone, place + 1);
        return { candidate, place };
    });
    const ownIndex = places.findIndex(({ candidate }) => candidate === self);
    const ownPlace = places[ownIndex]?.place ?? 0;
    return places.filter(({ place }, index) => place < ownPlace || place === ownPlace && index < ownIndex).length;
};
