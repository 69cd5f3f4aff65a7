/**
 * Rendezvous (highest random weight) hashing: processes that know the same candidates compute the same ranking for a
 * key without communicating.
 *
 * When a candidate is added or removed, only the keys that rank it first are reassigned.
 */
import createHasher from "xxhash-wasm";

const { h32 } = await createHasher();

/** Score of `candidate` for `key`, in [0, 2³²); the highest score ranks first. */
export const rendezvousScore = (key: string, candidate: string): number => h32(`${key}\u0000${candidate}`);

/** Returns `candidates` in the order of their rank for `key`, first to last. */
export const rendezvousOrder = (key: string, candidates: readonly string[]): string[] =>
    candidates
        .map(candidate => ({ candidate, score: rendezvousScore(key, candidate) }))
        .sort((left, right) => right.score - left.score || (left.candidate < right.candidate ? -1 : 1))
        .map(({ candidate }) => candidate);
