/**
 * The fold of the quarantine stream: which requests are suspected of crashing upstreams, and which are kept out.
 *
 * A request is known by the digest of what it asks for. Every request in flight on an upstream that crashes becomes a
 * suspect. A suspect runs only on trial: with nothing beside it, and at most one trial at a time over all agents, which
 * the first trial in the order of the log settles. A trial that was begun and not ended keeps the digest out, also if
 * the agent that ran it is gone, so a request costs at most the upstream of its first crash and that of its trial. A
 * bystander completes its trial and is cleared; only a crash on trial convicts. Two crashes beside others can come only
 * from runs that began before the first crash was known; such a digest is kept out too, since a third run could cost a
 * third upstream.
 */
import type { LogRecord } from "./types.js";

/** A crash of an upstream; `isTrial` tells that the one digest ran with nothing beside it. */
export type CrashReport = { id: string; digests: string[]; isTrial: boolean; };

/** One statement about requests that may crash upstreams. */
export type QuarantineEntry =
    | { kind: "crash"; report: CrashReport; }
    | { kind: "trial"; digest: string; trial: string; }
    /** The trial ended without saying anything about the request. */
    | { kind: "withdraw"; digest: string; trial: string; }
    /** The request completed, or an operator let it go. */
    | { kind: "clear"; digest: string; by: string; };

export type QuarantineBatch = { agent: string; entries: QuarantineEntry[]; };

export type Suspicion = {
    /** Crashes with the digest in flight, by the report's identifier. */
    crashes: string[];
    trial?: string;
    isConvicted: boolean;
    /** When the log took the last statement about the digest. */
    since: number;
};

export type QuarantineState = {
    nextOffset: number;
    suspicions: Map<string, Suspicion>;
    /** Every crash that the log tells of, with the time at which it took the report. */
    reports: Map<string, number>;
};

/** What a gate does with a digest: run it, run it on trial, wait for the trial elsewhere, or refuse it. */
export type Verdict = "clear" | "suspect" | "on-trial" | "quarantined";

const crashesUntilQuarantine = 2;

export const emptyQuarantineState = (nextOffset = 0): QuarantineState => ({
    nextOffset,
    suspicions: new Map(),
    reports: new Map(),
});

/** The verdict on a digest; a suspicion ends `length` milliseconds after the last statement about it. */
export const verdictOf = (suspicion: Suspicion | undefined, now: number, suspicionMilliseconds: number): Verdict => {
    if (suspicion === undefined || now - suspicion.since > suspicionMilliseconds) {
        return "clear";
    }
    if (suspicion.isConvicted || suspicion.crashes.length >= crashesUntilQuarantine) {
        return "quarantined";
    }
    return suspicion.trial === undefined ? "suspect" : "on-trial";
};

/** Adds one crash to what is known of a digest. */
export const addCrash = (known: Suspicion | undefined, report: CrashReport, since: number): Suspicion => ({
    ...known,
    crashes: [...new Set([...known?.crashes ?? [], report.id])],
    isConvicted: known?.isConvicted === true || report.isTrial,
    since,
});

type EntryApplication<Kind> = {
    quarantine: QuarantineState;
    entry: Extract<QuarantineEntry, { kind: Kind; }>;
    appendedAt: number;
};

const entryHandlers: { [Kind in QuarantineEntry["kind"]]: (applied: EntryApplication<Kind>) => void; } = {
    crash: ({ quarantine: quarantine, entry: { report }, appendedAt }) => {
        if (quarantine.reports.has(report.id)) {
            return;
        }
        quarantine.reports.set(report.id, appendedAt);
        for (const digest of report.digests) {
            quarantine.suspicions.set(digest, addCrash(quarantine.suspicions.get(digest), report, appendedAt));
        }
    },
    trial: ({ quarantine: quarantine, entry: { digest, trial }, appendedAt }) => {
        const known = quarantine.suspicions.get(digest) ?? { crashes: [], isConvicted: false, since: appendedAt };
        if (known.trial === undefined) {
            quarantine.suspicions.set(digest, { ...known, trial, since: appendedAt });
        }
    },
    withdraw: ({ quarantine: quarantine, entry: { digest, trial } }) => {
        const known = quarantine.suspicions.get(digest);
        if (known?.trial === trial && !known.isConvicted) {
            delete known.trial;
        }
    },
    clear: ({ quarantine: quarantine, entry: { digest } }) => void quarantine.suspicions.delete(digest),
};

const applyEntry = <Kind extends QuarantineEntry["kind"]>(kind: Kind, application: EntryApplication<Kind>): void =>
    entryHandlers[kind](application);

const removeExpired = (quarantine: QuarantineState, appendedAt: number, suspicionMilliseconds: number): void => {
    for (const [digest, { since }] of quarantine.suspicions) {
        if (appendedAt - since > suspicionMilliseconds) {
            quarantine.suspicions.delete(digest);
        }
    }
    for (const [id, reportedAt] of quarantine.reports) {
        if (appendedAt - reportedAt > 2 * suspicionMilliseconds) {
            quarantine.reports.delete(id);
        }
    }
};

/** Applies the next record of the stream; records that are applied already are passed over. */
export const applyQuarantineRecord = (
    quarantine: QuarantineState,
    record: LogRecord<QuarantineBatch>,
    suspicionMilliseconds: number,
): void => {
    if (record.offset < quarantine.nextOffset) {
        return;
    }
    removeExpired(quarantine, record.appendedAt, suspicionMilliseconds);
    for (const entry of record.body.entries) {
        applyEntry(entry.kind, { quarantine: quarantine, entry, appendedAt: record.appendedAt });
    }
    quarantine.nextOffset = record.offset + 1;
};
