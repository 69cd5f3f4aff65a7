/**
 * The expert map of one stand-in rank: which weights it holds, what it has promised, and which map a step runs on.
 *
 * The rank decides each step for itself, from its own promises and releases alone, so that the record of executed steps
 * shows whether the agents kept the ranks on one map.
 */
import { initialCommit, type MapPromise, noCommit, type RankMapStatus } from "../state/mapPromise.js";

/** From the step after `lastStep` on, the rank runs `commit`. */
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
    /** Counts how often the rank has lost its weights. */
    restartCount = 0;

    constructor(rank: number, formation: number) {
        this.rank = rank;
        this.formation = formation;
    }

    /** Joins a new formation whose first step is `startStep`; `restarted` ranks have lost their weights. */
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

    /** The commit that `step` runs on, or undefined while the rank must wait. */
    commitForStep(step: number): number | undefined {
        const newestPromise = this.promises.at(-1);
        if (newestPromise !== undefined && newestPromise.commit > this.released && step > newestPromise.last) {
            return undefined;
        }
        return this.releases.findLast(release => step > release.lastStep)?.commit;
    }

    /** Notes that `step` has run. */
    finishStep(step: number): void {
        this.nextStep = step + 1;
    }

    /** Loads weights into the one spare place, beside those in use and those of an open promise. */
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
