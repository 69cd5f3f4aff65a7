/**
 * An entry's knowledge of crashes and answers, its own and that of all other entries.
 *
 * Own reports go to the other entries by gossip and to the platform's store. The store keeps them while entries
 * restart, and reaches entries that gossip doesn't. All entries apply the same rules to the same reports (see
 * `state/crashEvidence.ts`), so they agree on what is held back without asking each other.
 */
import {
    addToIndex,
    answerProtectionMilliseconds,
    type AnswerReport,
    crashesUntilHold,
    type CrashEvidence,
    type CrashReport,
    createCrashIndex,
    type Hold,
    judge,
    retentionMilliseconds,
    type Verdict,
} from "../../state/crashEvidence.js";
import type { IngressLog } from "./ingressLog.js";

export type CrashEvidenceTable = {
    /** Records a crash with the requests that this entry had in flight there, each by its traits. */
    recordCrash: (run: string, suspects: string[][]) => void;
    /** Records that a request with these traits was answered here. */
    recordAnswer: (traits: string[]) => void;
    /** Adds evidence of other entries, or of an earlier life of this one. */
    merge: (evidence: CrashEvidence) => void;
    /**
     * Why a request with these traits must not be sent; undefined if it may be. One that has been in flight at a crash
     * (`isRetry`) is held as soon as there is reason to, any other only once answers have had time to clear it.
     */
    holdOf: (traits: string[], isRetry: boolean) => Hold | undefined;
    /** Whether one more crash would hold back a request with these traits. */
    isNearHold: (traits: string[]) => boolean;
    /** What other entries need at once: own recent reports, and the reports behind every hold. */
    evidenceToGossip: () => CrashEvidence;
    /** Own reports that matter beyond a single crash, and own answers. */
    evidenceToStore: () => CrashEvidence;
    /** The holds in force. */
    holds: () => Hold[];
};

export type CrashEvidenceTableOptions = {
    host: string;
    /** Milliseconds since the Unix epoch. */
    unixNow: () => number;
    /** Called when the other entries should hear of new reports at once. */
    onOwnReport: () => void;
    /** Called when `evidenceToStore` has grown. */
    onEvidenceToStore: () => void;
    log: IngressLog;
};

/** Other entries are reached within half a second; those cut off for longer read the store. */
const gossipMilliseconds = 3_000;
/** Bounds a status to about two kilobytes; a relay sends those of its zone in one datagram. */
const maximumGossipedCrashes = 12;
const maximumGossipedAnswers = 24;
const maximumOwnCrashes = 64;
const maximumCrashes = 256;
const maximumAnswers = 512;
/** About twice the slots of an upstream. */
const maximumSuspects = 16;
/** The answers of a minute at the highest load of one entry. */
const maximumAnswersRemembered = 8_192;
const keptShareOfLimit = 0.9;

/** Removes the oldest entries of a map that has outgrown `limit`: several at once, as each search for them is costly. */
const trimOldest = (map: Map<string, unknown>, limit: number): void => {
    if (map.size <= limit) {
        return;
    }
    let excess = map.size - Math.floor(limit * keptShareOfLimit);
    for (const key of map.keys()) {
        if (excess <= 0) {
            return;
        }
        map.delete(key);
        excess -= 1;
    }
};

export const createCrashEvidenceTable = (options: CrashEvidenceTableOptions): CrashEvidenceTable => {
    const { host, unixNow, onOwnReport, onEvidenceToStore, log } = options;
    /** `learnedAt` is by this entry's clock. */
    const crashes = new Map<string, { report: CrashReport; learnedAt: number; }>();
    /** Keys of own reports for the store. */
    const keysToStore = new Set<string>();
    /** The latest published answer of each trait. */
    const answers = new Map<string, AnswerReport & { learnedAt: number; }>();
    /** This entry's latest answer of each trait; only those of suspected traits are published. */
    const answersSeen = new Map<string, number>();
    let index = createCrashIndex();
    let { counts, holds }: Verdict = judge(index, answers);

    const reports = (): CrashReport[] => [...crashes.values()].map(({ report }) => report);

    const removeExpired = (): void => {
        const oldest = unixNow() - retentionMilliseconds;
        const crashCount = crashes.size;
        for (const [key, { report }] of crashes) {
            if (report.at < oldest) {
                crashes.delete(key);
            }
        }
        for (const [trait, { at }] of answers) {
            if (at < oldest) {
                answers.delete(trait);
            }
        }
        trimOldest(answers, maximumAnswers);
        trimOldest(crashes, maximumCrashes);
        if (crashes.size < crashCount) {
            [...keysToStore].filter(key => !crashes.has(key)).forEach(key => keysToStore.delete(key));
            index = createCrashIndex();
            crashes.forEach(({ report, learnedAt }) => addToIndex(index, report, learnedAt));
        }
    };

    const logHoldChanges = (before: ReadonlyMap<string, Hold>): void => {
        for (const [trait, { companions, crashes: crashCount, until }] of holds) {
            const known = before.get(trait);
            if (known?.until !== until || known.companions.length !== companions.length) {
                const runs = reports().filter(({ suspects }) => suspects.flat().includes(trait)).map(({ run }) => run);
                log.stateChange("requests held back", {
                    trait,
                    companions,
                    crashes: crashCount,
                    runs: [...new Set(runs)],
                    forMilliseconds: until - unixNow(),
                });
            }
        }
        [...before.keys()].filter(trait => !holds.has(trait)).forEach(trait =>
            log.stateChange("requests released", { trait, answeredAt: answers.get(trait)?.at })
        );
    };

    const isSuspected = (trait: string): boolean => (counts.get(trait) ?? 0) >= crashesUntilHold - 1;

    /**
     * A trait in flight at a single crash is mostly one of a sound request, so its report is worth no call to the store.
     */
    const scheduleStore = (): void => {
        const before = keysToStore.size;
        if (![...counts.keys()].some(isSuspected)) {
            return;
        }
        for (const [key, { report }] of crashes) {
            if (report.reporter === host && report.suspects.flat().some(isSuspected)) {
                keysToStore.add(key);
            }
        }
        if (keysToStore.size > before) {
            onEvidenceToStore();
        }
    };

    const recompute = (): void => {
        removeExpired();
        const before = holds;
        ({ counts, holds } = judge(index, answers));
        logHoldChanges(before);
        scheduleStore();
    };

    const lastAnswerAt = (trait: string): number => answers.get(trait)?.at ?? -Infinity;

    /** Publishes the answers seen here that clear suspected traits; returns whether there were any. */
    const publishAnswers = (): boolean => {
        const cleared = [...counts.keys()].filter(isSuspected).flatMap(trait => {
            const at = answersSeen.get(trait);
            return at === undefined || at <= lastAnswerAt(trait) ? [] : [{ reporter: host, trait, at }];
        });
        cleared.forEach(answer => answers.set(answer.trait, { ...answer, learnedAt: unixNow() }));
        if (cleared.length > 0) {
            recompute();
            onEvidenceToStore();
        }
        return cleared.length > 0;
    };

    const addCrash = (report: CrashReport): boolean => {
        const key = `${report.reporter} ${report.run}`;
        if (crashes.has(key) || report.at < unixNow() - retentionMilliseconds) {
            return false;
        }
        crashes.set(key, { report, learnedAt: unixNow() });
        addToIndex(index, report, unixNow());
        return true;
    };

    const addAnswer = (answer: AnswerReport): boolean => {
        if (answer.at <= lastAnswerAt(answer.trait) || answer.at < unixNow() - retentionMilliseconds) {
            return false;
        }
        answers.set(answer.trait, { ...answer, learnedAt: unixNow() });
        return true;
    };

    const isActive = ({ from, until }: Hold): boolean => from <= unixNow() && unixNow() < until;
    const ownAnswers = (learnedSince: number): AnswerReport[] =>
        [...answers.values()].filter(({ reporter, learnedAt }) => reporter === host && learnedAt >= learnedSince)
            .map(({ reporter, trait, at }) => ({ reporter, trait, at }));

    return {
        recordCrash: (run, suspects) => {
            const now = unixNow();
            const isOpen = (trait: string): boolean =>
                (answersSeen.get(trait) ?? -Infinity) + answerProtectionMilliseconds <= now;
            const report: CrashReport = {
                reporter: host,
                run,
                at: now,
                suspects: suspects.map(traits => traits.filter(isOpen)).filter(({ length }) => length > 0)
                    .slice(0, maximumSuspects),
            };
            if (addCrash(report)) {
                recompute();
                publishAnswers();
                onOwnReport();
            }
        },
        recordAnswer: traits => {
            for (const trait of traits) {
                answersSeen.delete(trait);
                answersSeen.set(trait, unixNow());
            }
            trimOldest(answersSeen, maximumAnswersRemembered);
            if (traits.some(isSuspected) && publishAnswers()) {
                onOwnReport();
            }
        },
        merge: evidence => {
            const hasNewCrash = evidence.crashes.map(addCrash).includes(true);
            const hasNewAnswer = evidence.answers.map(addAnswer).includes(true);
            if (hasNewCrash || hasNewAnswer) {
                recompute();
                if (publishAnswers()) {
                    onOwnReport();
                }
            }
        },
        holdOf: (traits, isRetry) => {
            for (const trait of traits) {
                const hold = holds.get(trait);
                const isHeld = hold !== undefined && (isActive(hold) || isRetry && unixNow() < hold.from);
                if (isHeld && hold.companions.every(other => traits.includes(other))) {
                    return hold;
                }
            }
            return undefined;
        },
        isNearHold: traits => traits.some(isSuspected),
        evidenceToGossip: () => {
            const recent = unixNow() - gossipMilliseconds;
            const active = new Set([...holds.values()].filter(isActive).map(({ trait }) => trait));
            const needed = [...crashes.values()].filter(({ report, learnedAt }) =>
                report.reporter === host && learnedAt >= recent
                || report.suspects.flat().some(trait => active.has(trait))
            );
            return {
                crashes: needed.map(({ report }) => report).slice(-maximumGossipedCrashes),
                answers: ownAnswers(recent).slice(-maximumGossipedAnswers),
            };
        },
        evidenceToStore: () => ({
            crashes: [...keysToStore].flatMap(key => crashes.get(key)?.report ?? []).slice(-maximumOwnCrashes),
            answers: ownAnswers(-Infinity),
        }),
        holds: () => [...holds.values()].filter(isActive),
    };
};
