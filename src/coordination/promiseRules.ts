/**
 * The rules of the map switch: when a rank may promise a commit, and which step all ranks switch at.
 *
 * Both rules use only promises of the rank's present formation. They are safe under loss, repetition and any order of
 * messages, because a promise never changes once it is made.
 */
import { type MapPromise, noCommit, pendingCommit, type RankMapStatus } from "../state/mapPromise.js";

/**
 * Whether the promises show that `commit` can never be promised by every rank: some rank promised a later commit and
 * had not promised this one before.
 */
const isAbandoned = (commit: number, formation: number, promises: readonly MapPromise[]): boolean =>
    promises.some(promise => promise.formation === formation && promise.commit > commit && promise.previous < commit);

/**
 * The commit that the rank must promise now, or undefined. `newest` is the newest commit whose map the rank knows. A
 * rank whose last promise is still open moves on only when a peer's promise shows that the open commit is dead;
 * otherwise one rank could run it while another has moved on.
 */
export const commitToPromise = (
    status: RankMapStatus,
    newest: number,
    peerPromises: readonly MapPromise[],
): number | undefined => {
    const lastPromised = status.promises.at(-1)?.commit ?? noCommit;
    if (newest <= lastPromised) {
        return undefined;
    }
    const pending = pendingCommit(status);
    return pending === undefined || isAbandoned(pending, status.formation, peerPromises) ? newest : undefined;
};

/**
 * The last step on the old map, once every rank's promise for the commit is known: the largest `last`. It is the same
 * for all ranks, since each rank makes one promise for a commit in a formation.
 */
export const lastStepBeforeSwitch = (
    commit: number,
    formation: number,
    ranks: number,
    promises: readonly MapPromise[],
): number | undefined => {
    const lastSteps = new Map<number, number>();
    for (const promise of promises) {
        if (promise.commit === commit && promise.formation === formation) {
            lastSteps.set(promise.rank, promise.last);
        }
    }
    return lastSteps.size === ranks ? Math.max(...lastSteps.values()) : undefined;
};
