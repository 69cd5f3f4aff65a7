/**
 * Chooses the upstream for one attempt.
 *
 * The entry's own availability zone comes first, and other zones only when it has no free place. Among the candidates
 * an upstream that rendezvous hash names for the prompt's prefix is taken, since it is likely to have the prefix in
 * its cache, unless it is loaded well above the mean. Otherwise the better of two random candidates is taken: the best
 * of all would draw every entry to the same upstream until its next report.
 *
 * Load is the number of running requests over the speed with all places taken. Ranks step together and every running
 * request takes part in each step, so a step waits for the rank with the most requests, however long they still run.
 */
import { err, ok, type Result } from "neverthrow";
import { rendezvousOrder } from "../state/rendezvousHash.js";
import type { RandomNumber } from "../state/types.js";
import type { UpstreamView } from "./upstreamDirectory.js";

/** `none` means that no upstream takes work at all, `full` that those which do have no free place. */
export type ChoiceFailure = "none" | "full";

export type ChoiceCriteria = {
    /** Hash of the prompt's prefix, equal for prompts that share a cached prefix. */
    prefix?: string;
    /** Hosts that earlier attempts of the request failed on; used again only if nothing else takes work. */
    avoidedHosts: ReadonlySet<string>;
};

/** An upstream keeps the requests of its prefixes up to this many times the mean load of its peers. */
const affinityLoadFactor = 1.1;

/** With fewer of its places taken, an upstream is idle enough to keep the requests of its prefixes. */
const affinityIdleFraction = 0.125;

/** A prefix whose first upstream is too busy is tried on the next in its ranking, up to this many. */
const affinityCandidates = 2;

/** Load of `view` with one request more. */
export const projectedLoad = (view: UpstreamView): number => (view.running + 1) / Math.max(1, view.tokensPerSecond);

const hasFreeCapacity = (view: UpstreamView): boolean => view.running + 1 <= view.limit;

const chooseByPrefixAffinity = (candidates: readonly UpstreamView[], prefix: string): UpstreamView | undefined => {
    const meanLoad = candidates.reduce((sum, view) => sum + projectedLoad(view), 0) / candidates.length;
    const isWithinLoadBound = (view: UpstreamView): boolean =>
        view.running + 1 <= view.limit * affinityIdleFraction || projectedLoad(view) <= meanLoad * affinityLoadFactor;
    return rendezvousOrder(prefix, candidates.map(view => view.record.host))
        .slice(0, affinityCandidates)
        .map(host => candidates.find(view => view.record.host === host))
        .find(view => view !== undefined && isWithinLoadBound(view));
};

const chooseBetterOfTwo = (candidates: readonly UpstreamView[], random: RandomNumber): UpstreamView => {
    const first = Math.floor(random() * candidates.length);
    // The second differs from the first whenever there are two.
    const second = (first + 1 + Math.floor(random() * (candidates.length - 1))) % candidates.length;
    const [left, right] = [candidates[first], candidates[second]] as [UpstreamView, UpstreamView];
    return projectedLoad(left) <= projectedLoad(right) ? left : right;
};

/** Chooses among `views`, the upstreams that serve what the request asks for. */
export const chooseUpstream = (
    views: readonly UpstreamView[],
    criteria: ChoiceCriteria,
    random: RandomNumber,
): Result<UpstreamView, ChoiceFailure> => {
    const acceptingWork = views.filter(view => view.condition === "available" || view.condition === "unheard");
    if (acceptingWork.length === 0) {
        return err("none");
    }
    const notAvoided = acceptingWork.filter(view => !criteria.avoidedHosts.has(view.record.host));
    const withFreeCapacity = (notAvoided.length > 0 ? notAvoided : acceptingWork).filter(hasFreeCapacity);
    const reporting = withFreeCapacity.filter(view => view.condition === "available");
    const usable = reporting.length > 0 ? reporting : withFreeCapacity;
    if (usable.length === 0) {
        return err("full");
    }
    const inOwnZone = usable.filter(view => view.ownZone);
    const candidates = inOwnZone.length > 0 ? inOwnZone : usable;
    const preferred = criteria.prefix === undefined ? undefined : chooseByPrefixAffinity(candidates, criteria.prefix);
    return ok(preferred ?? chooseBetterOfTwo(candidates, random));
};
