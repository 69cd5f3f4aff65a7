/**
 * Expert map of one simulated rank: the weights that it has loaded, its promises, and the map that each step runs on.
 *
 * The rank chooses the map of a step from its own promises and releases alone, so that the record of executed steps
 * shows whether the agents kept all ranks on the same map.
 */
import { initialCommit, type MapPromise, noCommit, type RankMapStatus } from "../state/mapPromise.js";

/** The rank runs `commit` from the step after `lastStep` on. */
type Release = { commit: number; plan: string; lastStep: number; };

export type RankMapRefusal = "conflict" | "not-loaded";

export class RankMap {
    private readonly rank: number;
    private formation: number;
    private startStep = 1;
    private nextStep = 1;
    private promises: (MapPromise & { plan: string; })[] = [];
    private releases: Release[] = [];
    private loadedPlans: string[] = [];
    /** Number of restarts, each of which lost the loaded weights. */
    restartCount = 0;

    constructor(rank: number, formation: number) {
        this.rank = rank;
        this.formation = formation;
    }

    /** Joins a new formation whose first step is `startStep`; a rank that `restarted` has lost its weights. */
    joinFormation(formation: number, startStep: number, restarted: boolean): void {
        this.formation = formation;
        this.startStep = startStep;
        this.nextStep = startStep;
        this.promises = [];
        this.releases = [];
        if (restarted) {
            this.loadedPlans = [];
            this.restartCount += 1;
        }
    }

    /** Returns the commit that `step` runs on, or undefined while the rank must not run it. */
    commitForStep(step: number): number | undefined {
        const newestPromise = this.promises.at(-1);
        if (newestPromise !== undefined && newestPromise.commit > this.released && step > newestPromise.last) {
            return undefined;
        }
        return this.releases.findLast(release => step > release.lastStep)?.commit;
    }

    /** Records that `step` has been executed. */
    finishStep(step: number): void {
        this.nextStep = step + 1;
    }

    /** Loads the weights of `plan`, replacing all but those of the releases and of the newest promise. */
    loadPlan(plan: string): void {
        const plansInUse = [...this.releases, ...this.promises.slice(-1)].map(entry => entry.plan);
        this.loadedPlans = [
            ...this.loadedPlans.filter(loadedPlan => plansInUse.includes(loadedPlan) && loadedPlan !== plan),
            plan,
        ];
    }

    promise(order: { formation: number; commit: number; plan: string; previous: number; leadSteps: number; }):
        | RankMapRefusal
        | undefined
    {
        const { formation, commit, plan, previous, leadSteps } = order;
        const newestCommit = this.promises.at(-1)?.commit ?? noCommit;
        if (formation === this.formation && commit === newestCommit) {
            return undefined;
        }
        if (formation !== this.formation || previous !== newestCommit || commit < newestCommit) {
            return "conflict";
        }
        if (commit !== initialCommit && !this.loadedPlans.includes(plan)) {
            return "not-loaded";
        }
        const { rank } = this;
        const last = this.releases.length === 0
            ? this.startStep - 1
            : Math.max(this.nextStep + leadSteps, this.releases.at(-1)?.lastStep ?? 0);
        this.promises.push({ rank, commit, plan, formation, last, previous });
        return undefined;
    }

    release(order: { formation: number; commit: number; lastStep: number; }): RankMapRefusal | undefined {
        const newestPromise = this.promises.at(-1);
        if (order.formation !== this.formation || newestPromise?.commit !== order.commit) {
            return "conflict";
        }
        if (this.released < order.commit) {
            const currentIndex = this.releases.findLastIndex(({ lastStep }) => this.nextStep > lastStep);
            const releasesInUse = this.releases.slice(Math.max(0, currentIndex));
            this.releases = [...releasesInUse, { ...newestPromise, lastStep: order.lastStep }];
            this.promises = this.promises.filter(promise => promise.commit >= order.commit);
        }
        return undefined;
    }

    status(fence: number): RankMapStatus {
        const { rank, formation, nextStep: step, released } = this;
        const promises = this.promises.map(({ commit, last, previous }) => ({
            rank,
            commit,
            formation,
            last,
            previous,
        }));
        return { rank, formation, step, released, promises, loaded: [...this.loadedPlans], fence };
    }

    private get released(): number {
        return this.releases.at(-1)?.commit ?? noCommit;
    }
}
