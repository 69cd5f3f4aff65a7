/**
 * What one agent knows and tells of requests that crash upstreams.
 *
 * Crashes, trials and their ends go to the quarantine stream; reports of crashes also travel with the relay, so that
 * suspects are known where the log can't be reached. Without the log there are no trials, and suspects wait.
 */
import { err, ok, type Result } from "neverthrow";
import {
    applyQuarantineRecord,
    type CrashReport,
    emptyQuarantineFold,
    type QuarantineBatch,
    type QuarantineEntry,
    type Verdict,
    verdictOf,
    withCrash,
} from "../state/quarantineFold.js";
import type { Clock, LogRecord, LogSlice } from "../state/types.js";
import { createChanges } from "./changes.js";
import { createGroupCommit, defaultGroupCommitLimits } from "./groupCommit.js";
import type { LogStream } from "./logStream.js";
import type { RelayTopic } from "./relay.js";
import { followStream } from "./streamTail.js";

/** How long a digest stays under suspicion or in quarantine after the last statement about it. */
export const quarantineMilliseconds = 600_000;

const longestTrialStartMilliseconds = 3_000;
const relayedReports = 256;

export type QuarantineKeeperOptions = {
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

export type QuarantineKeeper = {
    verdict: (digest: string) => Verdict;
    /** Resolves when something about `digest` changed, after `milliseconds`, or when `signal` aborts. */
    changed: (digest: string, milliseconds: number, signal: AbortSignal) => Promise<void>;
    /** Tells of one crash with all requests that were in flight. */
    reportCrash: (digests: string[]) => void;
    /** Tells that a request completed, which clears it. */
    reportCompletion: (digest: string) => void;
    beginTrial: (digest: string, signal: AbortSignal) => Promise<Result<Trial, TrialRefusal>>;
    /** Digests under suspicion or in quarantine, for the dump. */
    suspects: () => { digest: string; verdict: Verdict; }[];
    topic: RelayTopic;
    /** Appends and reads until `signal` aborts. */
    run: (signal: AbortSignal) => Promise<void>;
};

type HeardReport = { report: CrashReport; heardAt: number; };

export const createQuarantineKeeper = (options: QuarantineKeeperOptions): QuarantineKeeper => {
    const { stream, clock, agent, decodeReports } = options;
    const changes = createChanges(clock);
    const heard = new Map<string, HeardReport>();
    /** Trials asked for, and whether each was the first of its digest once the log has told. */
    const trials = new Map<string, "asked" | "first" | "not-first" | "turned-away">();
    let fold = emptyQuarantineFold();
    let atEnd = false;
    let identifiers = 0;

    const newId = (): string => `${agent}/${++identifiers}`;

    // Every entry may stand in the log twice without effect, so all are sent again; but a trial does not wait for that.
    const isStillWanted = (entry: QuarantineEntry): boolean => {
        if (entry.kind !== "trial") {
            return true;
        }
        if (trials.has(entry.trial)) {
            trials.set(entry.trial, "turned-away");
        }
        changes.announce(entry.trial);
        return false;
    };

    const commit = createGroupCommit<QuarantineEntry>({
        clock,
        limits: defaultGroupCommitLimits,
        append: (entries, signal) => stream.append({ agent, entries }, signal),
        sizeOf: entry => JSON.stringify(entry).length,
        onSend: () => true,
        onTaken: () => undefined,
        onFailure: (entries, { kind }) => kind === "refused" ? entries.filter(isStillWanted) : entries,
    });

    const verdict = (digest: string): Verdict => {
        // Once the log tells of a crash its word counts, since it also tells what cleared it.
        const unlogged = [...heard.values()].filter(({ report }) =>
            !fold.reports.has(report.id) && report.digests.includes(digest)
        );
        const known = unlogged.reduce(
            (suspicion, { report, heardAt }) => withCrash(suspicion, report, heardAt),
            fold.suspicions.get(digest),
        );
        return verdictOf(known, clock.now(), quarantineMilliseconds);
    };

    const hear = (report: CrashReport): void => {
        if (heard.has(report.id)) {
            return;
        }
        heard.set(report.id, { report, heardAt: clock.now() });
        const [oldest] = heard.keys();
        if (heard.size > relayedReports && oldest !== undefined) {
            heard.delete(oldest);
        }
        report.digests.forEach(digest => changes.announce(digest));
    };

    const tell = (report: CrashReport): void => {
        hear(report);
        if (!commit.submit({ kind: "crash", report })) {
            commit.submitLater({ kind: "crash", report });
        }
    };

    const settleTrial = (by: string, digest: string, trial: string): void => {
        const isFirst = fold.suspicions.get(digest)?.trial === trial;
        if (trials.get(trial) === "asked") {
            trials.set(trial, isFirst ? "first" : "not-first");
            changes.announce(trial);
        }
        else if (by === agent && isFirst && trials.get(trial) !== "first") {
            // The trial turned up after its agent had stopped waiting for it.
            commit.submitLater({ kind: "withdraw", digest, trial });
        }
    };

    const applyRecord = (record: LogRecord<QuarantineBatch>): void => {
        applyQuarantineRecord(fold, record, quarantineMilliseconds);
        for (const entry of record.body.entries) {
            if (entry.kind === "trial") {
                settleTrial(record.body.agent, entry.digest, entry.trial);
            }
            const digests = entry.kind === "crash" ? entry.report.digests : [entry.digest];
            digests.forEach(digest => changes.announce(digest));
        }
    };

    const onSlice = (slice: LogSlice<QuarantineBatch>): void => {
        if (slice.firstOffset > fold.nextOffset || slice.nextOffset < fold.nextOffset) {
            fold = emptyQuarantineFold(slice.firstOffset);
        }
        slice.records.forEach(applyRecord);
        atEnd = fold.nextOffset >= slice.nextOffset;
    };

    const endTrial = (digest: string, trial: string): Trial["end"] => {
        const ends: Record<TrialEnd, () => void> = {
            completed: () => commit.submitLater({ kind: "clear", digest, by: agent }),
            crashed: () => tell({ id: trial, digests: [digest], isTrial: true }),
            undecided: () => commit.submitLater({ kind: "withdraw", digest, trial }),
        };
        return how => {
            trials.delete(trial);
            ends[how]();
        };
    };

    const beginTrial = async (digest: string, signal: AbortSignal): Promise<Result<Trial, TrialRefusal>> => {
        const trial = newId();
        trials.set(trial, "asked");
        commit.submit({ kind: "trial", digest, trial });
        await changes.wait(trial, longestTrialStartMilliseconds, signal);
        const settled = trials.get(trial);
        if (settled === "first" && !signal.aborted && verdict(digest) === "on-trial") {
            return ok({ end: endTrial(digest, trial) });
        }
        trials.delete(trial);
        if (settled === "first") {
            commit.submitLater({ kind: "withdraw", digest, trial });
        }
        return err(settled === "first" || settled === "not-first" ? "not-first" : "log-unavailable");
    };

    const run = async (signal: AbortSignal): Promise<void> => {
        const tail = {
            stream,
            clock,
            nextOffset: () => fold.nextOffset,
            atEnd: () => atEnd,
            onSlice,
            onFailure: () => undefined,
        };
        await Promise.all([followStream(tail, signal), commit.run(signal)]);
    };

    const topic: RelayTopic = {
        name: "crashReports",
        digest: () => [...heard.keys()],
        newerThan: known => {
            const ids = new Set(Array.isArray(known) ? known : []);
            const missing = [...heard.values()].map(({ report }) => report).filter(({ id }) => !ids.has(id));
            return missing.length > 0 ? missing : undefined;
        },
        accept: update => decodeReports(update).forEach(hear),
    };

    const suspects = (): { digest: string; verdict: Verdict; }[] => {
        const digests = [...heard.values()].flatMap(({ report }) => report.digests);
        return [...new Set([...fold.suspicions.keys(), ...digests])]
            .map(digest => ({ digest, verdict: verdict(digest) }))
            .filter(suspect => suspect.verdict !== "clear");
    };

    return {
        verdict,
        changed: changes.wait,
        reportCrash: digests => tell({ id: newId(), digests: [...new Set(digests)], isTrial: false }),
        reportCompletion: digest => {
            if (verdict(digest) === "suspect") {
                commit.submitLater({ kind: "clear", digest, by: agent });
            }
        },
        beginTrial,
        suspects,
        topic,
        run,
    };
};
