/**
 * Rendezvous hashing: every process that knows the same candidates ranks them alike for a key, without talking.
 *
 * When a candidate comes or goes, only the keys that ranked it first change hands.
 */
import createHasher from "xxhash-wasm";

const { h32 } = await createHasher();

/** Score of `candidate` for `key`, in [0, 2³²); the highest score ranks first. */
export const rendezvousScore = (key: string, candidate: string): number => h32(`${key}\u0000${candidate}`);

/** `candidates` from the first to the last in the ranking for `key`. */
export const rendezvousOrder = (key: string, candidates: readonly string[]): string[] =>
    candidates
        .map(candidate => ({ candidate, score: rendezvousScore(key, candidate) }))
        .sort((left, right) => right.score - left.score || (left.candidate < right.candidate ? -1 : 1))
        .map(({ candidate }) => candidate);
