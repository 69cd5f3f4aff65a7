/**
 * Rules of the map switch: when a rank may promise a commit, and at which step all ranks switch.
 *
 * Both rules use only promises of the rank's current formation. They are safe if messages are lost, repeated or
 * reordered, because a promise never changes once it is made.
 */
import { type MapPromise, noCommit, pendingCommit, type RankMapStatus } from "../state/mapPromise.js";

/**
 * Whether the promises prove that `commit` can never be promised by every rank: some rank promised a later commit
 * without having promised this one.
 */
const isAbandoned = (commit: number, formation: number, promises: readonly MapPromise[]): boolean =>
    promises.some(promise => promise.formation === formation && promise.commit > commit && promise.previous < commit);

/**
 * The commit that the rank must promise now, or undefined. `newest` is the newest commit whose map the rank knows. A
 * rank whose last promise is pending moves on only if a peer's promise proves that the pending commit is abandoned;
 * otherwise one rank could run that commit while another has moved on.
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
 * The last step on the old map, which is the largest `last` of all ranks' promises for the commit, or undefined while a
 * promise is unknown. All ranks get the same step, since a rank makes one promise per commit and formation.
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
