/**
 * Evidence about requests that crash upstreams, and the decision which of them are held back.
 *
 * A trait is what several requests have in common: their content, or one part of their prompts. Each entry reports the
 * requests that it had in flight when an upstream crashed, so sound requests that merely ran beside the cause are
 * reported as well. A trait is held back once it was in flight at several crashes which nothing else explains better:
 *
 * - An answer clears its traits: a crash shortly before or at any time after it doesn't count against them.
 * - Of the traits in flight at one crash, only those that were in flight at the most crashes are blamed.
 * - A trait is not blamed if a rarer one of the same requests explains its crashes.
 * - Traits that always came together are held only together, until one comes without the others.
 * - When many upstreams end at the same moment, as with a loss of power, only a trait that was in flight at most of them
 *   is blamed.
 *
 * Reports are never changed, so entries can exchange them in any order, and more than once.
 *
 * Points in time are in milliseconds since the Unix epoch, by the clock of the reporting entry. Clocks may differ by
 * seconds, which is little against the durations below.
 */

/** What one entry had in flight on an upstream when that crashed. */
export type CrashReport = {
    /** The entry's host name. */
    reporter: string;
    /** Identifies the run of the upstream that ended; each ends once. */
    run: string;
    at: number;
    /** For each request in flight, its traits, that of its content first; those answered lately are left out. */
    suspects: string[][];
};

/** The latest known answer to a request with a trait that had been in flight at crashes. */
export type AnswerReport = { reporter: string; trait: string; at: number; };

export type CrashEvidence = { crashes: CrashReport[]; answers: AnswerReport[]; };

/** A trait whose requests are held back between `from` and `until`, in milliseconds since the Unix epoch. */
export type Hold = {
    trait: string;
    /** Traits that every such request in flight at the crashes had as well; one without them is not held back. */
    companions: string[];
    crashes: number;
    /** By this entry's clock; 0 for at once. */
    from: number;
    until: number;
};

/** Crashes at which a trait was in flight until its requests are held back. */
export const crashesUntilHold = 3;
/** After this time without a crash the trait is tried once more; another crash holds it again. */
export const holdMilliseconds = 10 * 60_000;
/** Long enough after the first crash for answers to clear what sound requests share with the cause. */
const sharedDelayMilliseconds = 1_000;
/** The first hold of a trait of different requests, as it might keep sound ones from being answered. */
export const firstSharedHoldMilliseconds = 30_000;
export const retentionMilliseconds = 60 * 60_000;
/** An answer clears its traits of crashes up to this long after it. */
export const answerProtectionMilliseconds = 30_000;
/** Crashes within this time of each other may have one cause outside of the requests. */
const simultaneousMilliseconds = 500;
/** So many upstreams at one moment are rarely crashed by requests, as each takes a request of its own. */
const massCrashUpstreams = 6;

/** A run that ended, with the traits in flight there at any entry. */
type Crash = {
    at: number;
    /** When this entry learned of it, by its own clock. */
    learnedAt: number;
    traits: Set<string>;
    suspects: string[][];
};

/** Reports by run and by trait. */
export type CrashIndex = {
    byRun: Map<string, Crash>;
    byTrait: Map<string, Set<Crash>>;
    /** Traits in flight at several crashes; the others can't be held, and there are many of them. */
    repeated: Set<string>;
};

export const createCrashIndex = (): CrashIndex => ({ byRun: new Map(), byTrait: new Map(), repeated: new Set() });

export const addToIndex = (
    { byRun, byTrait, repeated }: CrashIndex,
    { run, at, suspects }: CrashReport,
    learnedAt: number,
): void => {
    const crash = byRun.get(run) ?? { at, learnedAt, traits: new Set(), suspects: [] };
    byRun.set(run, crash);
    crash.at = Math.min(crash.at, at);
    crash.suspects.push(...suspects);
    for (const trait of suspects.flat()) {
        crash.traits.add(trait);
        const crashes = byTrait.get(trait) ?? new Set();
        byTrait.set(trait, crashes.add(crash));
        if (crashes.size > 1) {
            repeated.add(trait);
        }
    }
};

/** For each trait in flight at several crashes, those that count against it. */
const suspiciousCrashes = (
    { byRun, byTrait, repeated }: CrashIndex,
    answers: ReadonlyMap<string, AnswerReport>,
): Map<string, Crash[]> => {
    const simultaneousCrashes = new Map<Crash, Crash[]>();
    const simultaneousWith = (crash: Crash): Crash[] => {
        const found = simultaneousCrashes.get(crash)
            ?? [...byRun.values()].filter(({ at }) => Math.abs(at - crash.at) <= simultaneousMilliseconds);
        simultaneousCrashes.set(crash, found);
        return found;
    };
    const isBlamable = (trait: string, crash: Crash): boolean => {
        const simultaneous = simultaneousWith(crash);
        return simultaneous.length < massCrashUpstreams
            || simultaneous.filter(({ traits }) => traits.has(trait)).length > simultaneous.length / 2;
    };
    return new Map([...repeated].map(trait => {
        const clearedUntil = (answers.get(trait)?.at ?? -Infinity) + answerProtectionMilliseconds;
        const remaining = [...byTrait.get(trait) ?? []].filter(({ at }) => at >= clearedUntil);
        return [trait, remaining.filter(crash => isBlamable(trait, crash))];
    }));
};

/** A trait that was in flight at enough crashes to be held. */
type Candidate = {
    trait: string;
    crashes: Crash[];
    /** The requests with it that were in flight at the crashes, each by its traits. */
    requests: string[][];
    /** High for a trait that most requests have. */
    requestsPerCrash: number;
};

const toCandidate = ([trait, crashes]: [string, Crash[]]): Candidate => {
    const requests = crashes.flatMap(({ suspects }) => suspects.filter(traits => traits.includes(trait)));
    return { trait, crashes, requests, requestsPerCrash: requests.length / crashes.length };
};

/**
 * Leaves out a trait whose crashes are explained by rarer traits of the same requests: a part that most prompts share is
 * in flight at every crash.
 */
const withoutExplained = (candidates: Candidate[]): Candidate[] =>
    candidates.filter(({ trait, crashes, requestsPerCrash }) => {
        const rarer = candidates.filter(other => other.requestsPerCrash < requestsPerCrash);
        const isExplained = (crash: Crash): boolean =>
            rarer.some(other =>
                other.crashes.includes(crash)
                && crash.suspects.some(traits => traits.includes(trait) && traits.includes(other.trait))
            );
        return crashes.filter(crash => !isExplained(crash)).length >= crashesUntilHold;
    });

export type Verdict = {
    /** For each trait in flight at several crashes, the number of those that count against it. */
    counts: Map<string, number>;
    /** The traits that are held back, or were until their hold expired. */
    holds: Map<string, Hold>;
};

const holdTimes = (crashes: Crash[], isShared: boolean): Pick<Hold, "from" | "until"> => {
    const times = crashes.map(({ at }) => at);
    const [first, last] = [Math.min(...times), Math.max(...times)];
    if (!isShared) {
        return { from: 0, until: last + holdMilliseconds };
    }
    const hasCrashedAgain = last - first > firstSharedHoldMilliseconds;
    return {
        from: Math.min(...crashes.map(({ learnedAt }) => learnedAt)) + sharedDelayMilliseconds,
        until: last + (hasCrashedAgain ? holdMilliseconds : firstSharedHoldMilliseconds),
    };
};

/** Decides what is held back by the reports in `index` and the latest answers by trait. */
export const judge = (index: CrashIndex, answers: ReadonlyMap<string, AnswerReport>): Verdict => {
    const suspicious = [...suspiciousCrashes(index, answers)];
    const counts = new Map(suspicious.map(([trait, { length }]) => [trait, length]));
    const suspects = suspicious.filter(([, { length }]) => length >= crashesUntilHold).map(toCandidate);
    const candidates = withoutExplained(suspects);
    const highestCount = (crash: Crash): number =>
        Math.max(...candidates.map(({ crashes }) => crashes.includes(crash) ? crashes.length : 0));
    const holds = new Map<string, Hold>();
    for (const { trait, crashes, requests } of candidates) {
        const blamed = crashes.filter(crash => crashes.length >= highestCount(crash));
        if (blamed.length >= crashesUntilHold) {
            const companions = suspects.map(other => other.trait)
                .filter(other => other !== trait && requests.every(traits => traits.includes(other)));
            const isShared = requests.some(([content]) => content !== requests[0]?.[0]);
            holds.set(trait, { trait, companions, crashes: blamed.length, ...holdTimes(blamed, isShared) });
        }
    }
    return { counts, holds };
};
