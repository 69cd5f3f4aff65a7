/**
 * Observes which requests were in flight on an upstream when it crashed.
 *
 * A broken attempt alone doesn't show a crash: the answer may have been cut off, or the upstream's group stalled. An
 * upstream has crashed if its port is closed just after an attempt broke there. All attempts in flight at that moment
 * break within milliseconds, so they are captured when the first one does, before the port is checked.
 */
import type { Upstream } from "../../state/ingressTypes.js";
import type { Clock } from "../../state/types.js";
import type { Metrics } from "../metrics.js";
import type { IngressLog } from "./ingressLog.js";
import type { RequestTraits } from "./requestTraits.js";

/** A run of an upstream that ended, and the requests of this entry that may have caused it. */
export type ObservedCrash = {
    /** Identifies the run; the id of an upstream may be used again by a later one. */
    run: string;
    suspects: RequestTraits[];
};

/** One attempt in flight; exactly one of `end` and `breakOff` finishes it. */
export type ObservedAttempt = {
    /** Records an event of the answer. */
    recordEvent: () => void;
    /** The attempt ended without a sign of a crash; `isAnswered`: with a complete, successful answer. */
    end: (isAnswered: boolean) => void;
    /** The connection failed after the request was sent; resolves once it is known whether the upstream crashed. */
    breakOff: () => Promise<void>;
};

export type CrashObserver = {
    begin: (upstream: Upstream, requestId: string, traits: RequestTraits) => ObservedAttempt;
};

export type CrashObserverOptions = {
    /** Whether connections to the upstream's address are refused. */
    isPortClosed: (address: string, signal: AbortSignal) => Promise<boolean>;
    onCrash: (crash: ObservedCrash) => void;
    /** A request was answered, or its answer has come so far that it doesn't crash its upstream. */
    onAnswer: (traits: RequestTraits) => void;
    clock: Clock;
    log: IngressLog;
    metrics: Metrics;
    signal: AbortSignal;
};

/** A request that crashes upstreams does so as its answer begins; one that has come this far doesn't. */
const eventsOfSoundRequest = 10;
/** A part of prompts that are being answered on so many other upstreams doesn't crash those. */
const upstreamsOfSoundPart = 2;
/** A closed port is checked twice, as an upstream with too many connections refuses some. */
const confirmationMilliseconds = 100;
/** Attempts that break later than this after the crash of their upstream's run were sent to another run. */
const crashMemoryMilliseconds = 10_000;

const runOf = ({ id, bornAt }: Upstream): string => `${id} ${bornAt.toString(36)}`;

type AttemptInFlight = { requestId: string; traits: RequestTraits; events: number; };

export const createCrashObserver = (options: CrashObserverOptions): CrashObserver => {
    const { isPortClosed, onCrash, onAnswer, clock, log, metrics, signal } = options;
    const inFlight = new Map<string, Set<AttemptInFlight>>();
    /** Checks that are under way, and those that found a crash lately. */
    const checks = new Map<string, Promise<void>>();

    /** Parts of prompts whose answers have begun on several upstreams other than `run`. */
    const partsAnsweredElsewhere = (run: string): Set<string> => {
        const upstreamCounts = new Map<string, number>();
        for (const [otherRun, attempts] of inFlight) {
            if (otherRun !== run) {
                const begun = [...attempts].filter(({ events }) => events > 0);
                new Set(begun.flatMap(({ traits }) => traits.parts)).forEach(part =>
                    upstreamCounts.set(part, (upstreamCounts.get(part) ?? 0) + 1)
                );
            }
        }
        return new Set([...upstreamCounts].filter(([, count]) => count >= upstreamsOfSoundPart).map(([part]) => part));
    };

    const suspectsOf = (run: string, attempts: Iterable<AttemptInFlight>): AttemptInFlight[] => {
        const soundParts = partsAnsweredElsewhere(run);
        return [...attempts].filter(({ events }) => events < eventsOfSoundRequest).map(attempt => ({
            ...attempt,
            traits: { ...attempt.traits, parts: attempt.traits.parts.filter(part => !soundParts.has(part)) },
        }));
    };

    const isDown = async ({ address }: Upstream): Promise<boolean> => {
        if (!await isPortClosed(address, signal)) {
            return false;
        }
        await clock.sleep(confirmationMilliseconds, signal);
        return !signal.aborted && await isPortClosed(address, signal);
    };

    const checkRun = async (run: string, upstream: Upstream, suspects: AttemptInFlight[]): Promise<void> => {
        if (!await isDown(upstream)) {
            checks.delete(run);
            return;
        }
        metrics.count("ingress_upstream_crashes_total");
        log.stateChange("upstream crashed", {
            id: upstream.id,
            address: upstream.address,
            bornAt: upstream.bornAt,
            group: upstream.group?.name,
            suspects: suspects.map(({ requestId, traits, events }) => ({ requestId, ...traits, events })),
        });
        onCrash({ run, suspects: suspects.map(({ traits }) => traits) });
        void clock.sleep(crashMemoryMilliseconds, signal).then(() => checks.delete(run));
    };

    const checkForCrash = (upstream: Upstream, suspects: AttemptInFlight[]): Promise<void> => {
        const run = runOf(upstream);
        const check = checks.get(run) ?? checkRun(run, upstream, suspects);
        checks.set(run, check);
        return check;
    };

    return {
        begin: (upstream, requestId, traits) => {
            const run = runOf(upstream);
            const attempt: AttemptInFlight = { requestId, traits, events: 0 };
            const attempts = inFlight.get(run) ?? new Set();
            inFlight.set(run, attempts.add(attempt));
            const remove = (): void => {
                attempts.delete(attempt);
                if (attempts.size === 0 && inFlight.get(run) === attempts) {
                    inFlight.delete(run);
                }
            };
            return {
                recordEvent: () => {
                    attempt.events += 1;
                    if (attempt.events === eventsOfSoundRequest) {
                        onAnswer(traits);
                    }
                },
                end: isAnswered => {
                    remove();
                    if (isAnswered && attempt.events < eventsOfSoundRequest) {
                        onAnswer(traits);
                    }
                },
                breakOff: () => {
                    const suspects = suspectsOf(run, attempts);
                    remove();
                    return checkForCrash(upstream, suspects);
                },
            };
        },
    };
};
