/**
 * State machine of the quarantine stream: which requests are suspected of crashing upstreams, and which are
 * quarantined.
 *
 * A request is identified by the digest of its content. Every request in flight on an upstream that crashes becomes a
 * suspect. A suspect runs only on trial: alone on its upstream, and in at most one trial at a time across all agents;
 * the first trial in log order wins. A trial that was started but not ended blocks the digest, even if its agent is
 * gone, so a request crashes at most two upstreams: that of its first crash and that of its trial.
 *
 * A request that was merely in flight during the crash completes its trial and is cleared; only a crash on trial
 * proves that a request is the cause. Two crashes alongside other requests can come only from runs that began before
 * the first crash was known. Such a digest is quarantined too, since a third run could crash a third upstream.
 */
import type { LogRecord } from "./types.js";

/** A crash of an upstream; `isTrial` means that its single digest ran alone on the upstream. */
export type CrashReport = { id: string; digests: string[]; isTrial: boolean; };

/** One log entry about requests that may crash upstreams. */
export type QuarantineEntry =
    | { kind: "crash"; report: CrashReport; }
    | { kind: "trial"; digest: string; trial: string; }
    /** The trial ended without evidence about the request. */
    | { kind: "withdraw"; digest: string; trial: string; }
    /** The request completed, or an operator released it. */
    | { kind: "clear"; digest: string; by: string; };

export type QuarantineBatch = { agent: string; entries: QuarantineEntry[]; };

export type Suspicion = {
    /** Identifiers of the reports of crashes that had the digest in flight. */
    crashes: string[];
    trial?: string;
    /** The request crashed an upstream on which it ran alone. */
    isConvicted: boolean;
    /** When the log accepted the latest entry that set this state of the digest. */
    since: number;
};

export type QuarantineState = {
    nextOffset: number;
    suspicions: Map<string, Suspicion>;
    /** Every crash report in the log, with the time at which the log accepted it. */
    reports: Map<string, number>;
};

/** How a digest is handled: run it, run it on trial, wait for a trial that runs elsewhere, or refuse it. */
export type Verdict = "clear" | "suspect" | "on-trial" | "quarantined";

const crashesUntilQuarantine = 2;

export const emptyQuarantineState = (nextOffset = 0): QuarantineState => ({
    nextOffset,
    suspicions: new Map(),
    reports: new Map(),
});

/** The verdict on a digest; a suspicion expires `quarantineMilliseconds` after its latest entry. */
export const verdictOf = (suspicion: Suspicion | undefined, now: number, quarantineMilliseconds: number): Verdict => {
    if (suspicion === undefined || now - suspicion.since > quarantineMilliseconds) {
        return "clear";
    }
    if (suspicion.isConvicted || suspicion.crashes.length >= crashesUntilQuarantine) {
        return "quarantined";
    }
    return suspicion.trial === undefined ? "suspect" : "on-trial";
};

/** Adds one crash to the suspicion of a digest. */
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
    crash: ({ quarantine, entry: { report }, appendedAt }) => {
        if (quarantine.reports.has(report.id)) {
            return;
        }
        quarantine.reports.set(report.id, appendedAt);
        for (const digest of report.digests) {
            quarantine.suspicions.set(digest, addCrash(quarantine.suspicions.get(digest), report, appendedAt));
        }
    },
    trial: ({ quarantine, entry: { digest, trial }, appendedAt }) => {
        const known = quarantine.suspicions.get(digest) ?? { crashes: [], isConvicted: false, since: appendedAt };
        if (known.trial === undefined) {
            quarantine.suspicions.set(digest, { ...known, trial, since: appendedAt });
        }
    },
    withdraw: ({ quarantine, entry: { digest, trial } }) => {
        const known = quarantine.suspicions.get(digest);
        if (known?.trial === trial && !known.isConvicted) {
            delete known.trial;
        }
    },
    clear: ({ quarantine, entry: { digest } }) => void quarantine.suspicions.delete(digest),
};

const applyEntry = <Kind extends QuarantineEntry["kind"]>(kind: Kind, application: EntryApplication<Kind>): void =>
    entryHandlers[kind](application);

const removeExpired = (quarantine: QuarantineState, appendedAt: number, quarantineMilliseconds: number): void => {
    for (const [digest, { since }] of quarantine.suspicions) {
        if (appendedAt - since > quarantineMilliseconds) {
            quarantine.suspicions.delete(digest);
        }
    }
    for (const [id, reportedAt] of quarantine.reports) {
        if (appendedAt - reportedAt > 2 * quarantineMilliseconds) {
            quarantine.reports.delete(id);
        }
    }
};

/** Applies the next record of the stream; records that were already applied are ignored. */
export const applyQuarantineRecord = (
    quarantine: QuarantineState,
    record: LogRecord<QuarantineBatch>,
    quarantineMilliseconds: number,
): void => {
    if (record.offset < quarantine.nextOffset) {
        return;
    }
    removeExpired(quarantine, record.appendedAt, quarantineMilliseconds);
    for (const entry of record.body.entries) {
        applyEntry(entry.kind, { quarantine, entry, appendedAt: record.appendedAt });
    }
    quarantine.nextOffset = record.offset + 1;
};
