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

export type ChoiceRequest = {
    /** Hash of the prompt's prefix, equal for prompts that share a cached prefix. */
    prefix?: string;
    /** Hosts that earlier attempts of the request failed on; used again only if nothing else takes work. */
    avoided: ReadonlySet<string>;
};

/** An upstream keeps the requests of its prefixes up to this many times the mean load of its peers. */
const affinityLoadBound = 1.1;

/** With fewer of its places taken, an upstream is idle enough to keep the requests of its prefixes. */
const affinityIdlePart = 0.125;

/** A prefix whose first upstream is too busy is tried on the next in its ranking, up to this many. */
const upstreamsOfOnePrefix = 2;

/** Load of `view` with one request more. */
export const loadWithOneMore = (view: UpstreamView): number => (view.running + 1) / Math.max(1, view.tokensPerSecond);

const hasPlace = (view: UpstreamView): boolean => view.running + 1 <= view.limit;

const byAffinity = (candidates: readonly UpstreamView[], prefix: string): UpstreamView | undefined => {
    const meanLoad = candidates.reduce((sum, view) => sum + loadWithOneMore(view), 0) / candidates.length;
    const mayKeep = (view: UpstreamView): boolean =>
        view.running + 1 <= view.limit * affinityIdlePart || loadWithOneMore(view) <= meanLoad * affinityLoadBound;
    return rendezvousOrder(prefix, candidates.map(view => view.record.host))
        .slice(0, upstreamsOfOnePrefix)
        .map(host => candidates.find(view => view.record.host === host))
        .find(view => view !== undefined && mayKeep(view));
};

const byTwoChoices = (candidates: readonly UpstreamView[], random: RandomNumber): UpstreamView => {
    const first = Math.floor(random() * candidates.length);
    // The second differs from the first whenever there are two.
    const second = (first + 1 + Math.floor(random() * (candidates.length - 1))) % candidates.length;
    const [left, right] = [candidates[first], candidates[second]] as [UpstreamView, UpstreamView];
    return loadWithOneMore(left) <= loadWithOneMore(right) ? left : right;
};

/** Chooses among `views`, the upstreams that serve what the request asks for. */
export const chooseUpstream = (
    views: readonly UpstreamView[],
    request: ChoiceRequest,
    random: RandomNumber,
): Result<UpstreamView, ChoiceFailure> => {
    const takingWork = views.filter(view => view.condition === "available" || view.condition === "unheard");
    if (takingWork.length === 0) {
        return err("none");
    }
    const notAvoided = takingWork.filter(view => !request.avoided.has(view.record.host));
    const withPlace = (notAvoided.length > 0 ? notAvoided : takingWork).filter(hasPlace);
    const heard = withPlace.filter(view => view.condition === "available");
    const usable = heard.length > 0 ? heard : withPlace;
    if (usable.length === 0) {
        return err("full");
    }
    const near = usable.filter(view => view.ownZone);
    const candidates = near.length > 0 ? near : usable;
    const preferred = request.prefix === undefined ? undefined : byAffinity(candidates, request.prefix);
    return ok(preferred ?? byTwoChoices(candidates, random));
};
