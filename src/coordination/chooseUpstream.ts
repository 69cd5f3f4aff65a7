/**
 * Chooses the upstream for one attempt.
 *
 * The entry's own availability zone comes first, and other zones only when it has no free place. Among the candidates
 * an upstream that rendezvous hash names for the prompt's prefix is taken, since it is likely to have the prefix in
 * its cache, unless it is loaded well above the mean. Otherwise the better of two random candidates is taken: the best
 * of all would draw every entry to the same upstream until its next report.
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
    /** Most tokens that the request can generate. */
    tokens: number;
    /** Hosts that earlier attempts of the request failed on; used again only if nothing else takes work. */
    avoided: ReadonlySet<string>;
};

/** An upstream keeps the requests of its prefixes up to this many times the mean wait of its peers. */
const affinityLoadBound = 1.25;

/** Below this wait, in seconds, an upstream is idle enough to keep the requests of its prefixes. */
const affinityWaitFloorSeconds = 0.5;

/** A prefix whose first upstream is too busy is tried on the next in its ranking, up to this many. */
const upstreamsOfOnePrefix = 2;

/** Seconds until `view` would have generated all its outstanding tokens and `tokens` more. */
export const expectedWait = (view: UpstreamView, tokens: number): number =>
    (view.outstandingTokens + tokens) / Math.max(1, view.tokensPerSecond);

const hasPlace = (view: UpstreamView): boolean => view.running + 1 <= view.limit;

const byAffinity = (
    candidates: readonly UpstreamView[],
    prefix: string,
    tokens: number,
): UpstreamView | undefined => {
    const waits = candidates.map(view => expectedWait(view, tokens));
    const meanWait = waits.reduce((sum, wait) => sum + wait, 0) / candidates.length;
    const bound = Math.max(affinityWaitFloorSeconds, meanWait * affinityLoadBound);
    return rendezvousOrder(prefix, candidates.map(view => view.record.host))
        .slice(0, upstreamsOfOnePrefix)
        .map(host => candidates.find(view => view.record.host === host))
        .find(view => view !== undefined && expectedWait(view, tokens) <= bound);
};

const byTwoChoices = (candidates: readonly UpstreamView[], tokens: number, random: RandomNumber): UpstreamView => {
    const first = Math.floor(random() * candidates.length);
    // The second differs from the first whenever there are two.
    const second = (first + 1 + Math.floor(random() * (candidates.length - 1))) % candidates.length;
    const [left, right] = [candidates[first], candidates[second]] as [UpstreamView, UpstreamView];
    return expectedWait(left, tokens) <= expectedWait(right, tokens) ? left : right;
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
    const preferred = request.prefix === undefined
        ? undefined
        : byAffinity(candidates, request.prefix, request.tokens);
    return ok(preferred ?? byTwoChoices(candidates, request.tokens, random));
};
