/**
 * The promises by which the ranks of a group agree on the step at which a new expert map comes into force.
 *
 * A commit is a map that the group's log stream has accepted; its number is the offset of its record, and
 * `initialCommit` stands for the map that the group starts with. A formation is the number that the lock-step group
 * gets whenever a rank joins anew; it never repeats, and promises of one formation mean nothing in another.
 */
import type { ExpertMap } from "./expertMap.js";

/** The commit number of the map that a group runs before any other was committed. */
export const initialCommit = -1;

/** Stands for "no promise yet in this formation"; below every commit number. */
export const noCommit = -2;

/** A committed map; `plan` names the weights that the ranks loaded for it. */
export type MapCommit = { commit: number; plan: string; map: ExpertMap; };

/**
 * A rank's word that it runs no step after `last` on an older map until every rank has promised `commit` too. A rank
 * makes one promise for each commit and formation; `previous` is the commit of its last promise before, in the same
 * formation.
 */
export type MapPromise = { rank: number; commit: number; formation: number; last: number; previous: number; };

/** What the engine of a rank says about its expert map. */
export type RankMapStatus = {
    rank: number;
    formation: number;
    /** The next step that the rank will run. */
    step: number;
    /** The last commit that was released here in this formation, or `noCommit`: then the rank runs no step. */
    released: number;
    /** Promises of this formation from the last released one on, oldest first. */
    promises: MapPromise[];
    /** Plans whose weights the rank holds. */
    loaded: string[];
    /** The highest fencing number that the engine has seen, -1 for none. */
    fence: number;
};

/** The commit that the rank has promised and that is not released yet. */
export const pendingCommit = (status: RankMapStatus): number | undefined => {
    const newest = status.promises.at(-1)?.commit ?? noCommit;
    return newest > status.released ? newest : undefined;
};
