/**
 * Random choice among groups or upstreams, weighted by the square of their free places.
 *
 * Answers many entries that choose by counts which are some tenths of a second old. If all chose the least loaded
 * candidate, the same few would be chosen until the next counts arrive: with 99 entries, servers at half load turned
 * away nearly as many streams as they took. The square keeps the choice close to the least loaded one where counts are
 * fresh.
 */

/** `freePlaces` may be zero or less for a candidate that is full; undefined if all are. */
export const chooseByFreePlaces = <Candidate>(
    candidates: readonly Candidate[],
    freePlaces: (candidate: Candidate) => number,
    random: () => number,
): Candidate | undefined => {
    const weighted = candidates.map(candidate => ({ candidate, weight: Math.max(0, freePlaces(candidate)) ** 2 }));
    let remaining = random() * weighted.reduce((total, { weight }) => total + weight, 0);
    const open = weighted.filter(({ weight }) => weight > 0);
    for (const { candidate, weight } of open) {
        remaining -= weight;
        if (remaining < 0) {
            return candidate;
        }
    }
    return open.at(-1)?.candidate;
};
