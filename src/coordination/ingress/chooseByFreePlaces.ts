/**
 * Choice of a group and of a rank for a stream by their free places.
 *
 * Answers many entries that choose by counts of each other which are some tenths of a second old. If all took the least
 * loaded candidate, the same few would be taken until the next counts arrive: with 99 entries, servers at half load
 * turned away nearly as many streams as they took. Where counts are fresh, the least loaded candidate is the best, as a
 * group runs at the pace of its most loaded rank. The choice therefore depends on how many streams the other entries
 * have started that the counts don't show yet.
 */

export type ChoiceOptions<Candidate> = {
    /** Zero or less for a candidate that is full. */
    freePlaces: (candidate: Candidate) => number;
    /** Streams that the other entries are expected to have started since their counts. */
    unseenStarts: number;
    random: () => number;
};

/** Below this many unseen streams the counts are taken as they are. */
const fewUnseenStarts = 1;
/** Two random candidates are enough to avoid the most loaded ones. */
const minimumSample = 2;

/** The candidate with the most free places, any of those with equally many; undefined if all are full. */
const mostFree = <Candidate>(
    candidates: readonly Candidate[],
    { freePlaces, random }: ChoiceOptions<Candidate>,
): Candidate | undefined => {
    const startIndex = Math.floor(random() * candidates.length);
    let best: Candidate | undefined;
    let bestPlaces = 0;
    for (let offset = 0; offset < candidates.length; offset += 1) {
        const candidate = candidates[(startIndex + offset) % candidates.length] as Candidate;
        const places = freePlaces(candidate);
        if (places > bestPlaces) {
            best = candidate;
            bestPlaces = places;
        }
    }
    return best;
};

/** A random candidate, weighted by the square of its free places; undefined if all are full. */
const weightedByFreePlaces = <Candidate>(
    candidates: readonly Candidate[],
    { freePlaces, random }: ChoiceOptions<Candidate>,
): Candidate | undefined => {
    const open = candidates.map(candidate => ({ candidate, weight: Math.max(0, freePlaces(candidate)) ** 2 }))
        .filter(({ weight }) => weight > 0);
    let remaining = random() * open.reduce((total, { weight }) => total + weight, 0);
    for (const { candidate, weight } of open) {
        remaining -= weight;
        if (remaining < 0) {
            return candidate;
        }
    }
    return open.at(-1)?.candidate;
};

/** For few candidates with many places each. */
export const chooseGroup = <Candidate>(
    candidates: readonly Candidate[],
    options: ChoiceOptions<Candidate>,
): Candidate | undefined =>
    (options.unseenStarts < fewUnseenStarts ? mostFree : weightedByFreePlaces)(candidates, options);

const sampleSizeOf = (candidates: number, unseenStarts: number): number =>
    Math.max(minimumSample, Math.round(candidates / (1 + unseenStarts)));

/** For many candidates with few places each: the best of a sample that is the smaller, the more streams are unseen. */
export const chooseRank = <Candidate>(
    candidates: readonly Candidate[],
    options: ChoiceOptions<Candidate>,
): Candidate | undefined => {
    const { unseenStarts, random } = options;
    if (unseenStarts < fewUnseenStarts) {
        return mostFree(candidates, options);
    }
    const sampleSize = sampleSizeOf(candidates.length, unseenStarts);
    const sample = Array.from(
        { length: Math.min(sampleSize, candidates.length) },
        () => candidates[Math.floor(random() * candidates.length)] as Candidate,
    );
    return mostFree(sample, options) ?? weightedByFreePlaces(candidates, options);
};

export type CostChoiceOptions<Candidate> = ChoiceOptions<Candidate> & {
    /** How much the stream lengthens the group's passes if it goes there. */
    lengthening: (candidate: Candidate) => number;
    /** Decides between candidates of the same lengthening: the less, the better. */
    remaining: (candidate: Candidate) => number;
};

/** Lengthenings that differ by less are equal to a stream: rounding of counts that passed through a message. */
const equalMilliseconds = 0.5;

/**
 * Of a sample as large as that of `chooseRank`, the candidate whose group's passes are lengthened least; undefined if all
 * are full. With 44 and 58 entries, samples of at least three made more first events late than those of two.
 */
export const chooseRankByCost = <Candidate>(
    candidates: readonly Candidate[],
    options: CostChoiceOptions<Candidate>,
): Candidate | undefined => {
    const { unseenStarts, random, freePlaces, lengthening, remaining } = options;
    const sampleSize = Math.min(candidates.length, sampleSizeOf(candidates.length, unseenStarts));
    let best: { candidate: Candidate; lengthening: number; remaining: number; } | undefined;
    for (let drawn = 0; drawn < sampleSize; drawn += 1) {
        const candidate = candidates[Math.floor(random() * candidates.length)] as Candidate;
        if (freePlaces(candidate) <= 0) {
            continue;
        }
        const one = { candidate, lengthening: lengthening(candidate), remaining: remaining(candidate) };
        const difference = one.lengthening - (best?.lengthening ?? Infinity);
        if (
            difference < -equalMilliseconds
            || difference < equalMilliseconds && one.remaining < (best?.remaining ?? 0)
        ) {
            best = one;
        }
    }
    return best?.candidate ?? weightedByFreePlaces(candidates, options);
};
