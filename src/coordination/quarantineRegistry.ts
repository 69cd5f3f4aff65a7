/**
 * What one agent knows and tells of requests that crash upstreams.
 *
 * Crashes, trials and their ends go to the quarantine stream; reports of crashes also travel with the relay, so that
 * suspects are known where the log can't be reached. Without the log there are no trials, and suspects wait.
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

/** How long a digest stays under suspicion or in quarantine after the last statement about it. */
export const quarantineMilliseconds = 600_000;

const trialStartTimeoutMilliseconds = 3_000;
const maximumGossipedReports = 256;

export type QuarantineRegistryOptions = {
    stream: LogStream<QuarantineBatch>;
    clock: Clock;
    /** Names this incarnation of the agent. */
    agent: string;
    /** Reads the crash reports that a peer sent; malformed ones are left out. Protocol provides it. */
    decodeReports: (update: unknown) => CrashReport[];
};

export type TrialEnd = "completed" | "crashed" | "undecided";

/** The right to run a suspect once with nothing beside it. */
export type Trial = { end: (how: TrialEnd) => void; };

/** Why a trial may not begin: another one was first, or the log did not settle it in time. */
export type TrialRefusal = "not-first" | "log-unavailable";

export type QuarantineRegistry = {
    verdict: (digest: string) => Verdict;
    /** Resolves when something about `digest` changed, after `milliseconds`, or when `signal` aborts. */
    waitForChange: (digest: string, milliseconds: number, signal: AbortSignal) => Promise<void>;
    /** Tells of one crash with all requests that were in flight. */
    reportCrash: (digests: string[]) => void;
    /** Tells that a request completed, which clears it. */
    reportCompletion: (digest: string) => void;
    beginTrial: (digest: string, signal: AbortSignal) => Promise<Result<Trial, TrialRefusal>>;
    /** Digests under suspicion or in quarantine, for the dump. */
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
    /** Trials asked for, and whether each was the first of its digest once the log has told. */
    const trials = new Map<string, "asked" | "first" | "not-first" | "turned-away">();
    let quarantineState = emptyQuarantineState();
    let isCaughtUp = false;
    let lastIdentifier = 0;

    const newId = (): string => `${agent}/${++lastIdentifier}`;

    // Every entry may stand in the log twice without effect, so all are sent again; but a trial does not wait for that.
    const shouldRetry = (entry: QuarantineEntry): boolean => {
        if (entry.kind !== "trial") {
            return true;
        }
        if (trials.has(entry.trial)) {
            trials.set(entry.trial, "turned-away");
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
        // Once the log tells of a crash its word counts, since it also tells what cleared it.
        const unlogged = [...receivedReports.values()].filter(({ report }) =>
            !quarantineState.reports.has(report.id) && report.digests.includes(digest)
        );
        const known = unlogged.reduce(
            (suspicion, { report, receivedAt: heardAt }) => addCrash(suspicion, report, heardAt),
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

    const settleTrial = (claimant: string, digest: string, trial: string): void => {
        const isFirst = quarantineState.suspicions.get(digest)?.trial === trial;
        if (trials.get(trial) === "asked") {
            trials.set(trial, isFirst ? "first" : "not-first");
            notifier.notify(trial);
        }
        else if (claimant === agent && isFirst && trials.get(trial) !== "first") {
            // The trial turned up after its agent had stopped waiting for it.
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
        trials.set(trial, "asked");
        groupCommit.submit({ kind: "trial", digest, trial });
        await notifier.wait(trial, trialStartTimeoutMilliseconds, signal);
        const settled = trials.get(trial);
        if (settled === "first" && !signal.aborted && verdict(digest) === "on-trial") {
            return ok({ end: endTrial(digest, trial) });
        }
        trials.delete(trial);
        if (settled === "first") {
            groupCommit.submitDeferred({ kind: "withdraw", digest, trial });
        }
        return err(settled === "first" || settled === "not-first" ? "not-first" : "log-unavailable");
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
