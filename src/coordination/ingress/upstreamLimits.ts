/**
 * Keeps the requests of all entries to an upstream within the limit that it states.
 *
 * Answers limits below one request a second beside a hundred entries, where no division among them would leave anything
 * usable: one entry decides on each upstream's requests, and the others ask it before they send one. It is chosen by
 * hash among the entries that share the upstream (see `entryRoster.ts`), so nobody has to agree on it. An entry that
 * hears only a part of those gives only that part of the limit, so the parts of a partition stay within it together.
 */
import type { Result } from "neverthrow";
import { rendezvousOrder } from "../../state/rendezvousHash.js";
import type { Clock } from "../../state/types.js";
import type { Metrics } from "../metrics.js";
import type { EntryRoster } from "./entryRoster.js";
import type { IngressLog } from "./ingressLog.js";
import { createRequestPermits, type PermitDecision } from "./requestPermits.js";
import type { LimitStatement, StatedLimits } from "./statedLimits.js";
import { keyOfRun, type UpstreamRun } from "./upstreamRun.js";

export type LimitedUpstream = UpstreamRun & { availabilityZone: string; };

/** What one entry asks another before it sends a request. */
export type PermitQuestion = LimitedUpstream & { statement: LimitStatement; };

export type UpstreamLimits = {
    /** Whether the upstream states a limit. */
    isLimited: (upstream: UpstreamRun) => boolean;
    /** Time until this entry may ask for another request to the upstream; 0 if it may now. */
    millisecondsUntilOpen: (upstream: UpstreamRun) => number;
    /** Whether a request may be sent to the upstream now; one that may counts as sent. */
    take: (upstream: LimitedUpstream, signal: AbortSignal) => Promise<boolean>;
    /** Decides on a request of another entry. */
    answer: (question: PermitQuestion) => PermitDecision;
    /** What the other entries need to know: changes, and the limits of the upstreams that this entry decides on. */
    statementsToGossip: () => Record<string, LimitStatement>;
};

/** How far the limits on requests leave a choice of upstreams. */
export type LimitState = {
    /** Time until an upstream may take a request: 0 if one may now, Infinity if there is none. */
    millisecondsUntilOpen: number;
    /** Ids of the upstreams that state a limit. */
    limited: string[];
};

export const limitStateOf = (
    upstreams: readonly UpstreamRun[],
    limits: Pick<UpstreamLimits, "isLimited" | "millisecondsUntilOpen">,
): LimitState => ({
    millisecondsUntilOpen: Math.min(...upstreams.map(limits.millisecondsUntilOpen)),
    limited: upstreams.filter(limits.isLimited).map(({ id }) => id),
});

export type UpstreamLimitsOptions = {
    host: string;
    stated: StatedLimits;
    roster: Pick<EntryRoster, "sharingIn">;
    /** The upstreams in use. */
    upstreams: () => LimitedUpstream[];
    /** Asks the entry `owner`; fails if it gives no answer in time. */
    ask: (owner: string, question: PermitQuestion, signal: AbortSignal) => Promise<Result<PermitDecision, string>>;
    clock: Pick<Clock, "now">;
    log: IngressLog;
    metrics: Metrics;
};

/** An upstream that states less is still sent this much, or nobody would learn that its limit has ended. */
const minimumRequestsPerSecond = 0.25;
/** Until an entry that gave no answer is asked again; it counts as lost after three times as long. */
const unansweredMilliseconds = 500;
/** Until entries that differ on who decides have heard of each other. */
const disagreementMilliseconds = 200;
const minimumClosedMilliseconds = 20;
const maximumClosedRuns = 1_000;

const refusedFor = (closedForMilliseconds: number): PermitDecision => ({ isGranted: false, closedForMilliseconds });

export const createUpstreamLimits = (options: UpstreamLimitsOptions): UpstreamLimits => {
    const { host, stated, roster, upstreams, ask, clock, log, metrics } = options;
    const permits = createRequestPermits(clock);
    /** When this entry may ask again, by run. */
    const closedUntil = new Map<string, number>();

    const ownerOf = (upstream: LimitedUpstream): { owner: string; share: number; } => {
        const { heard, share } = roster.sharingIn(upstream.availabilityZone);
        return { owner: rendezvousOrder(keyOfRun(upstream), heard)[0] ?? host, share };
    };

    const decide = (upstream: UpstreamRun, share: number): PermitDecision => {
        const limit = stated.limitOf(upstream);
        return limit === undefined
            ? { isGranted: true, closedForMilliseconds: 0 }
            : permits.decide(upstream, Math.max(minimumRequestsPerSecond, limit) * share);
    };

    const askOwner = async (
        owner: string,
        { id, bornAt, availabilityZone }: LimitedUpstream,
        statement: LimitStatement,
        signal: AbortSignal,
    ): Promise<PermitDecision> => {
        const answer = await ask(owner, { id, bornAt, availabilityZone, statement }, signal);
        return answer.match(decision => decision, reason => {
            if (!signal.aborted) {
                metrics.count("ingress_permits_unanswered_total");
                log.stateChange("permit not answered", { id, owner, reason });
            }
            return refusedFor(unansweredMilliseconds);
        });
    };

    const close = (upstream: UpstreamRun, forMilliseconds: number): void => {
        closedUntil.set(keyOfRun(upstream), clock.now() + Math.max(minimumClosedMilliseconds, forMilliseconds));
        if (closedUntil.size > maximumClosedRuns) {
            [...closedUntil].filter(([, until]) => until <= clock.now()).forEach(([key]) => closedUntil.delete(key));
        }
    };

    return {
        isLimited: upstream => stated.limitOf(upstream) !== undefined,
        millisecondsUntilOpen: upstream =>
            stated.limitOf(upstream) === undefined
                ? 0
                : Math.max(0, (closedUntil.get(keyOfRun(upstream)) ?? -Infinity) - clock.now()),
        take: async (upstream, signal) => {
            const statement = stated.statementOf(upstream);
            if (statement?.requestsPerSecond === undefined) {
                return true;
            }
            const { owner, share } = ownerOf(upstream);
            const decision = owner === host
                ? decide(upstream, share)
                : await askOwner(owner, upstream, statement, signal);
            metrics.count(`ingress_permits_total{granted="${decision.isGranted}"}`);
            if (!decision.isGranted && !signal.aborted) {
                close(upstream, decision.closedForMilliseconds);
            }
            return decision.isGranted;
        },
        answer: ({ statement, ...upstream }) => {
            stated.merge({ [upstream.id]: statement });
            const { owner, share } = ownerOf(upstream);
            return owner === host ? decide(upstream, share) : refusedFor(disagreementMilliseconds);
        },
        statementsToGossip: () => {
            const decidedHere = upstreams().filter(upstream =>
                stated.limitOf(upstream) !== undefined && ownerOf(upstream).owner === host
            );
            return Object.assign(
                stated.recentChanges(),
                ...decidedHere.map(upstream => ({ [upstream.id]: stated.statementOf(upstream) })),
            );
        },
    };
};
