/**
 * Promises by which the ranks of a group agree on the step at which a new expert map takes effect.
 *
 * A commit is a map that the log stream of the group has accepted. Its number is the offset of its record;
 * `initialCommit` stands for the map that the group starts with. A formation is the number that the lock-step group
 * gets whenever a rank rejoins. It never repeats, and promises of one formation are void in another.
 */
import type { ExpertMap } from "./expertMap.js";

/** Commit number of the map that a group runs before the first commit. */
export const initialCommit = -1;

/** Stands for "no commit promised or released yet in this formation"; lower than every commit number. */
export const noCommit = -2;

/** A committed map; `plan` identifies the weights that the ranks loaded for it. */
export type MapCommit = { commit: number; plan: string; map: ExpertMap; };

/**
 * Promise of a rank to run no step after `last` on an older map until every rank has also promised `commit`. A rank
 * makes one promise per commit and formation. `previous` is the commit of its preceding promise in the same formation.
 */
export type MapPromise = { rank: number; commit: number; formation: number; last: number; previous: number; };

/** Status of the expert map of one rank, as reported by its engine. */
export type RankMapStatus = {
    rank: number;
    formation: number;
    /** Next step that the rank will run. */
    step: number;
    /** Last commit released on this rank in this formation, or `noCommit`, with which the rank runs no step. */
    released: number;
    /** Promises of this formation, starting with the last released one, oldest first. */
    promises: MapPromise[];
    /** Plans whose weights are loaded. */
    loaded: string[];
    /** Highest fencing token that the engine has seen, -1 for none. */
    fence: number;
};

/** The commit that the rank has promised but that is not yet released, or undefined. */
export const pendingCommit = (status: RankMapStatus): number | undefined => {
    const newest = status.promises.at(-1)?.commit ?? noCommit;
    return newest > status.released ? newest : undefined;
};
