/**
 * The quarantine registry of one daemon: what it knows and publishes about requests that crash upstreams.
 *
 * Crashes, trials and their ends are appended to the quarantine stream. Crash reports are also gossiped, so that
 * suspects are known where the log cannot be reached. Without the log no trial can start, and suspects are refused.
 */
import { err, ok, type Result } from "neverthrow";
import {
    addCrash,
    applyQuarantineRecord,
    type CrashReport,
    emptyQuarantineState,
    type QuarantineBatch,
    type QuarantineEntry,
    type Verdict,
    verdictOf,
} from "../state/quarantineStateMachine.js";
import type { Clock, LogRecord, LogSlice } from "../state/types.js";
import { followStream } from "./followStream.js";
import type { GossipTopic } from "./gossip.js";
import { createGroupCommit, defaultGroupCommitLimits } from "./groupCommit.js";
import type { LogStream } from "./logStream.js";
import { createNotifier } from "./notifier.js";

/** How long a digest stays suspected or quarantined after its latest log entry. */
export const quarantineMilliseconds = 600_000;

const trialStartTimeoutMilliseconds = 3_000;
const maximumGossipedReports = 256;

export type QuarantineRegistryOptions = {
    stream: LogStream<QuarantineBatch>;
    clock: Clock;
    /** Identifies this incarnation of the agent. */
    agent: string;
    /** Decodes the crash reports from a peer and omits malformed ones; provided by `protocol`. */
    decodeReports: (update: unknown) => CrashReport[];
};

export type TrialEnd = "completed" | "crashed" | "undecided";

/** The right to run a suspect once, alone on its upstream. */
export type Trial = { end: (outcome: TrialEnd) => void; };

/** Why a trial may not start: another trial was first, or the log did not settle it in time. */
export type TrialRefusal = "not-first" | "log-unavailable";

export type QuarantineRegistry = {
    verdict: (digest: string) => Verdict;
    /** Resolves when the state of `digest` may have changed, after `milliseconds`, or when `signal` aborts. */
    waitForChange: (digest: string, milliseconds: number, signal: AbortSignal) => Promise<void>;
    /** Publishes one crash with all requests that were in flight. */
    reportCrash: (digests: string[]) => void;
    /** Records that a request completed, which clears it if it is a suspect. */
    reportCompletion: (digest: string) => void;
    beginTrial: (digest: string, signal: AbortSignal) => Promise<Result<Trial, TrialRefusal>>;
    /** Digests that are suspected or quarantined, for the state dump. */
    suspects: () => { digest: string; verdict: Verdict; }[];
    topic: GossipTopic;
    /** Appends and reads until `signal` aborts. */
    run: (signal: AbortSignal) => Promise<void>;
};

type ReceivedReport = { report: CrashReport; receivedAt: number; };

export const createQuarantineRegistry = (options: QuarantineRegistryOptions): QuarantineRegistry => {
    const { stream, clock, agent, decodeReports } = options;
    const notifier = createNotifier(clock);
    const receivedReports = new Map<string, ReceivedReport>();
    /**
     * Trials of this agent: `requested` until the log shows whether the trial was the first of its digest, `rejected` if
     * the log rejects it.
     */
    const trials = new Map<string, "requested" | "first" | "not-first" | "rejected">();
    let quarantineState = emptyQuarantineState();
    let isCaughtUp = false;
    let lastIdentifier = 0;

    const newId = (): string => `${agent}/${++lastIdentifier}`;

    // Duplicate entries in the log have no effect, so rejected entries are appended again, except trials, which do not
    // wait for a retry.
    const shouldRetry = (entry: QuarantineEntry): boolean => {
        if (entry.kind !== "trial") {
            return true;
        }
        if (trials.has(entry.trial)) {
            trials.set(entry.trial, "rejected");
        }
        notifier.notify(entry.trial);
        return false;
    };

    const groupCommit = createGroupCommit<QuarantineEntry>({
        clock,
        limits: defaultGroupCommitLimits,
        append: (entries, signal) => stream.append({ agent, entries }, signal),
        sizeOf: entry => JSON.stringify(entry).length,
        beforeAppend: () => true,
        onAppended: () => undefined,
        onFailure: (entries, { kind }) => kind === "refused" ? entries.filter(shouldRetry) : entries,
    });

    const verdict = (digest: string): Verdict => {
        // Once a crash report is in the log, the log takes precedence, since it also contains what cleared the digest.
        const unloggedReports = [...receivedReports.values()].filter(({ report }) =>
            !quarantineState.reports.has(report.id) && report.digests.includes(digest)
        );
        const known = unloggedReports.reduce(
            (suspicion, { report, receivedAt }) => addCrash(suspicion, report, receivedAt),
            quarantineState.suspicions.get(digest),
        );
        return verdictOf(known, clock.now(), quarantineMilliseconds);
    };

    const receiveReport = (report: CrashReport): void => {
        if (receivedReports.has(report.id)) {
            return;
        }
        receivedReports.set(report.id, { report, receivedAt: clock.now() });
        const [oldest] = receivedReports.keys();
        if (receivedReports.size > maximumGossipedReports && oldest !== undefined) {
            receivedReports.delete(oldest);
        }
        report.digests.forEach(digest => notifier.notify(digest));
    };

    const publishReport = (report: CrashReport): void => {
        receiveReport(report);
        if (!groupCommit.submit({ kind: "crash", report })) {
            groupCommit.submitDeferred({ kind: "crash", report });
        }
    };

    const settleTrial = (trialAgent: string, digest: string, trial: string): void => {
        const isFirst = quarantineState.suspicions.get(digest)?.trial === trial;
        if (trials.get(trial) === "requested") {
            trials.set(trial, isFirst ? "first" : "not-first");
            notifier.notify(trial);
        }
        else if (trialAgent === agent && isFirst && trials.get(trial) !== "first") {
            // The trial appeared in the log after its agent had stopped waiting for it.
            groupCommit.submitDeferred({ kind: "withdraw", digest, trial });
        }
    };

    const applyRecord = (record: LogRecord<QuarantineBatch>): void => {
        applyQuarantineRecord(quarantineState, record, quarantineMilliseconds);
        for (const entry of record.body.entries) {
            if (entry.kind === "trial") {
                settleTrial(record.body.agent, entry.digest, entry.trial);
            }
            const digests = entry.kind === "crash" ? entry.report.digests : [entry.digest];
            digests.forEach(digest => notifier.notify(digest));
        }
    };

    const onSlice = (slice: LogSlice<QuarantineBatch>): void => {
        if (slice.firstOffset > quarantineState.nextOffset || slice.nextOffset < quarantineState.nextOffset) {
            quarantineState = emptyQuarantineState(slice.firstOffset);
        }
        slice.records.forEach(applyRecord);
        isCaughtUp = quarantineState.nextOffset >= slice.nextOffset;
    };

    const endTrial = (digest: string, trial: string): Trial["end"] => {
        const ends: Record<TrialEnd, () => void> = {
            completed: () => groupCommit.submitDeferred({ kind: "clear", digest, by: agent }),
            crashed: () => publishReport({ id: trial, digests: [digest], isTrial: true }),
            undecided: () => groupCommit.submitDeferred({ kind: "withdraw", digest, trial }),
        };
        return outcome => {
            trials.delete(trial);
            ends[outcome]();
        };
    };

    const beginTrial = async (digest: string, signal: AbortSignal): Promise<Result<Trial, TrialRefusal>> => {
        const trial = newId();
        trials.set(trial, "requested");
        groupCommit.submit({ kind: "trial", digest, trial });
        await notifier.wait(trial, trialStartTimeoutMilliseconds, signal);
        const trialState = trials.get(trial);
        if (trialState === "first" && !signal.aborted && verdict(digest) === "on-trial") {
            return ok({ end: endTrial(digest, trial) });
        }
        trials.delete(trial);
        if (trialState === "first") {
            groupCommit.submitDeferred({ kind: "withdraw", digest, trial });
        }
        return err(trialState === "first" || trialState === "not-first" ? "not-first" : "log-unavailable");
    };

    const run = async (signal: AbortSignal): Promise<void> => {
        const followOptions = {
            stream,
            clock,
            nextOffset: () => quarantineState.nextOffset,
            isCaughtUp: () => isCaughtUp,
            onSlice,
            onFailure: () => undefined,
        };
        await Promise.all([followStream(followOptions, signal), groupCommit.run(signal)]);
    };

    const topic: GossipTopic = {
        name: "crashReports",
        digest: () => [...receivedReports.keys()],
        newerThan: known => {
            const ids = new Set(Array.isArray(known) ? known : []);
            const missing = [...receivedReports.values()].map(({ report }) => report).filter(({ id }) => !ids.has(id));
            return missing.length > 0 ? missing : undefined;
        },
        accept: update => decodeReports(update).forEach(receiveReport),
    };

    const suspects = (): { digest: string; verdict: Verdict; }[] => {
        const digests = [...receivedReports.values()].flatMap(({ report }) => report.digests);
        return [...new Set([...quarantineState.suspicions.keys(), ...digests])]
            .map(digest => ({ digest, verdict: verdict(digest) }))
            .filter(suspect => suspect.verdict !== "clear");
    };

    return {
        verdict,
        waitForChange: notifier.wait,
        reportCrash: digests => publishReport({ id: newId(), digests: [...new Set(digests)], isTrial: false }),
        reportCompletion: digest => {
            if (verdict(digest) === "suspect") {
                groupCommit.submitDeferred({ kind: "clear", digest, by: agent });
            }
        },
        beginTrial,
        suspects,
        topic,
        run,
    };
};
