/**
 * Chooses the upstream for one attempt.
 *
 * Upstreams in the entry's own availability zone come first; other zones are used only when it has no free capacity.
 * Among the candidates, an upstream that rendezvous hashing assigns to the prompt's prefix is preferred, since its
 * cache is likely to hold the prefix, unless its load is well above the mean. Otherwise the less loaded of two random
 * candidates is chosen: the least loaded of all would attract the requests of every entry until its next report.
 *
 * Load is the number of running requests divided by the throughput at the full limit. Ranks advance in lock-step and
 * every running request takes part in each step, so a step waits for the rank with the most requests, regardless of how
 * many tokens these have left to generate.
 */
import { err, ok, type Result } from "neverthrow";
import { rendezvousOrder } from "../state/rendezvousHash.js";
import type { RandomNumber } from "../state/types.js";
import type { UpstreamView } from "./upstreamDirectory.js";

/** `none`: no upstream accepts work; `full`: those that do have no free capacity. */
export type ChoiceFailure = "none" | "full";

export type ChoiceCriteria = {
    /** Key of the prompt's prefix, equal for prompts that share a cached prefix. */
    prefix?: string;
    /** Hosts on which earlier attempts of the request failed; used again only if no other upstream accepts work. */
    avoidedHosts: ReadonlySet<string>;
};

/** An upstream keeps the requests of its prefixes up to this multiple of the mean load of the candidates. */
const affinityLoadFactor = 1.1;

/** Up to this fraction of its limit, an upstream keeps the requests of its prefixes whatever the mean load. */
const affinityIdleFraction = 0.125;

/** Number of upstreams, in a prefix's rendezvous order, of which the first that is not too busy is chosen. */
const affinityCandidates = 2;

/** Load of `view` with one more request. */
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
    // The second candidate differs from the first if there are at least two.
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
