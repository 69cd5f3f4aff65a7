/**
 * Assembles what an entry needs to recognize requests that crash upstreams: the table of reports, its copy in the store,
 * and the observer of attempts.
 */
import { type CrashEvidenceStore, startCrashEvidenceSync } from "../../coordination/ingress/crashEvidenceSync.js";
import { createCrashEvidenceTable } from "../../coordination/ingress/crashEvidenceTable.js";
import { createCrashObserver } from "../../coordination/ingress/crashObserver.js";
import type { IngressLog } from "../../coordination/ingress/ingressLog.js";
import { suspectTraits } from "../../coordination/ingress/requestTraits.js";
import type { Metrics } from "../../coordination/metrics.js";
import type { CrashEvidence } from "../../state/crashEvidence.js";
import type { Clock } from "../../state/types.js";
import { isPortClosed } from "./portCheck.js";

export type CrashTrackingOptions = {
    host: string;
    store: CrashEvidenceStore;
    /** Number of live entries. */
    entries: () => number;
    onOwnReport: () => void;
    clock: Clock;
    log: IngressLog;
    metrics: Metrics;
    signal: AbortSignal;
};

export const startCrashTracking = (options: CrashTrackingOptions) => {
    const { host, store, entries, onOwnReport, clock, log, metrics, signal } = options;
    const crashEvidence = createCrashEvidenceTable({
        host,
        unixNow: Date.now,
        onOwnReport,
        onEvidenceToStore: () => crashEvidenceSync.scheduleWrite(),
        log,
    });
    const crashEvidenceSync = startCrashEvidenceSync({
        host,
        store,
        table: crashEvidence,
        entries,
        clock,
        log,
        random: Math.random,
        signal,
    });
    const crashObserver = createCrashObserver({
        isPortClosed,
        onCrash: ({ run, suspects }) => crashEvidence.recordCrash(run, suspects.map(suspectTraits)),
        onAnswer: traits => crashEvidence.recordAnswer(suspectTraits(traits)),
        clock,
        log,
        metrics,
        signal,
    });
    return {
        crashEvidence,
        crashEvidenceSync,
        crashObserver,
        /** Undefined if there is nothing to tell. */
        crashEvidenceToGossip: (): CrashEvidence | undefined => {
            const evidence = crashEvidence.evidenceToGossip();
            return evidence.crashes.length + evidence.answers.length === 0 ? undefined : evidence;
        },
    };
};
