/**
 * Claims on non-idempotent requests, so that each key runs at most once whatever agents, entries and the log do.
 *
 * One keeper works for one incarnation of one agent and one service. It appends a claim for an attempt before the
 * attempt may run, and lets it run only when it has read the claim back as the holder of its key, in the order of the
 * log. The answer of an append decides nothing. An attempt that can't be settled in time is given up: from then on it
 * never runs, which makes "not run" certain, and a release is appended so that another attempt may hold the key.
 *
 * A keeper admits nothing before it has read the stream to its end, and gives up its open attempts if records were
 * dropped before it read them: a claim older than its own may have been among them.
 */
import { err, ok, type Result } from "neverthrow";
import {
    applyClaimRecord,
    type ClaimBatch,
    type ClaimEntry,
    type ClaimFold,
    type ClaimWindow,
    emptyClaimFold,
    placeInWindow,
    type RunResult,
} from "../state/claimFold.js";
import { type Refusal, refusal } from "../state/errors.js";
import { idempotencyKeyTime, normalizeIdempotencyKey } from "../state/idempotencyKey.js";
import type { Clock, LogRecord, LogSlice } from "../state/types.js";
import { createChanges } from "./changes.js";
import type { Claimed, ClaimKeeper, ClaimKeeperState, ClaimRequest, RunPermit } from "./claims.js";
import { createGroupCommit, defaultGroupCommitLimits, type GroupCommitLimits } from "./groupCommit.js";
import type { AppendFailure, LogStream } from "./logStream.js";
import { followStream } from "./streamTail.js";

const failuresBeforeRefusal = 3;
const refusalMilliseconds = 500;
const comeBackSeconds = 1;
const longestClaimMilliseconds = 10_000;

export type ClaimKeeperOptions = {
    stream: LogStream<ClaimBatch>;
    clock: Clock;
    /** Names this incarnation of the agent; no other incarnation ever has the same name. */
    agent: string;
    window: ClaimWindow;
    limits?: GroupCommitLimits;
};

type AttemptPhase = "claiming" | "running" | "over";

type Settlement = "won" | "beaten" | "invalid" | "refused";

/** An attempt of this incarnation. */
type OpenAttempt = {
    id: string;
    request: ClaimRequest;
    signal: AbortSignal;
    phase: AttemptPhase;
    settlement?: Settlement;
    result?: RunResult;
    /** Appends that carried the claim and were not turned away for certain. */
    uncertainAppends: number;
};

export const createClaimKeeper = (options: ClaimKeeperOptions): ClaimKeeper => {
    const { stream, clock, agent, window, limits = defaultGroupCommitLimits } = options;
    const changes = createChanges(clock);
    const openAttempts = new Map<string, OpenAttempt>();
    const openByKey = new Map<string, OpenAttempt>();
    let fold: ClaimFold = emptyClaimFold();
    let ready = false;
    let attemptCount = 0;
    let appendFailures = 0;
    let readFailures = 0;
    let refuseUntil = -Infinity;

    const logUnavailable = (): Refusal => refusal("log-unavailable", [stream.name], comeBackSeconds);

    const open = (request: ClaimRequest, signal: AbortSignal): OpenAttempt => {
        const id = `${agent}/${++attemptCount}`;
        const attempt: OpenAttempt = { id, request, signal, phase: "claiming", uncertainAppends: 0 };
        openAttempts.set(id, attempt);
        openByKey.set(request.key, attempt);
        return attempt;
    };

    const close = (attempt: OpenAttempt): void => {
        attempt.phase = "over";
        openAttempts.delete(attempt.id);
        if (openByKey.get(attempt.request.key) === attempt) {
            openByKey.delete(attempt.request.key);
        }
        changes.announce(attempt.request.key);
    };

    const appendRelease = (key: string, attempt: string): void => commit.submitLater({ kind: "release", key, attempt });

    const giveUp = (attempt: OpenAttempt, settlement: Settlement): void => {
        attempt.settlement = settlement;
        close(attempt);
        changes.announce(attempt.id);
        if (attempt.uncertainAppends > 0) {
            appendRelease(attempt.request.key, attempt.id);
        }
    };

    const onSend = (entry: ClaimEntry): boolean => {
        if (entry.kind !== "claim") {
            return true;
        }
        const attempt = openAttempts.get(entry.attempt);
        if (attempt?.phase !== "claiming") {
            return false;
        }
        attempt.uncertainAppends++;
        return true;
    };

    const refuseNewClaims = (): void => {
        refuseUntil = clock.now() + refusalMilliseconds;
        // A claim that may stand in the log is worth waiting for only while the log can be read.
        const canRead = readFailures < failuresBeforeRefusal;
        [...openAttempts.values()]
            .filter(attempt => attempt.phase === "claiming" && !(canRead && attempt.uncertainAppends > 0))
            .forEach(attempt => giveUp(attempt, "refused"));
    };

    const onFailure = (entries: ClaimEntry[], failure: AppendFailure): ClaimEntry[] => {
        if (failure.kind === "refused") {
            entries.forEach(entry => {
                const attempt = openAttempts.get(entry.attempt);
                if (entry.kind === "claim" && attempt !== undefined) {
                    attempt.uncertainAppends--;
                }
            });
        }
        appendFailures++;
        if (appendFailures >= failuresBeforeRefusal) {
            refuseNewClaims();
        }
        // Every entry may stand in the log twice without effect, so all are sent again; `onSend` drops settled claims.
        return entries;
    };

    const commit = createGroupCommit<ClaimEntry>({
        clock,
        limits,
        append: (entries, signal) => stream.append({ agent, entries }, signal),
        sizeOf: entry => JSON.stringify(entry).length,
        onSend,
        onTaken: () => appendFailures = 0,
        onFailure,
    });

    const settleClaim = (key: string, id: string): void => {
        const state = fold.keys.get(key);
        const attempt = openAttempts.get(id);
        // The release of an attempt that was given up is on its way, so a late claim of it needs nothing more.
        if (attempt?.phase !== "claiming") {
            return;
        }
        if (state?.holder?.attempt !== id) {
            giveUp(attempt, state?.holder === undefined ? "invalid" : "beaten");
            return;
        }
        // A paused process may read its claim long after the entry stopped waiting for it.
        if (clock.now() >= attempt.request.deadline || attempt.signal.aborted) {
            giveUp(attempt, "refused");
            return;
        }
        attempt.phase = "running";
        attempt.settlement = "won";
        changes.announce(id);
    };

    const settleOwn: Record<ClaimEntry["kind"], (entry: ClaimEntry) => void> = {
        claim: entry => settleClaim(entry.key, entry.attempt),
        release: () => undefined,
        result: entry => {
            const attempt = openAttempts.get(entry.attempt);
            if (attempt !== undefined) {
                close(attempt);
            }
        },
    };

    const applyRecord = (record: LogRecord<ClaimBatch>): void => {
        applyClaimRecord(fold, record, window);
        const { entries } = record.body;
        if (record.body.agent === agent) {
            entries.forEach(entry => settleOwn[entry.kind](entry));
        }
        entries.forEach(entry => changes.announce(entry.key));
    };

    const startAnew = (slice: LogSlice<ClaimBatch>, completeSince: number): void => {
        fold = emptyClaimFold(slice.firstOffset, completeSince);
        ready = false;
        [...openAttempts.values()]
            .filter(attempt => attempt.phase === "claiming")
            .forEach(attempt => giveUp(attempt, "refused"));
    };

    const onSlice = (slice: LogSlice<ClaimBatch>): void => {
        readFailures = 0;
        if (slice.nextOffset < fold.nextOffset) {
            // The log lost records it had acknowledged: nothing is known of keys made before now.
            startAnew(slice, clock.now() + window.clockSkew);
            return;
        }
        if (slice.firstOffset > fold.nextOffset) {
            const oldest = slice.records[0]?.appendedAt ?? clock.now() - 2 * window.length + window.clockSkew;
            startAnew(slice, oldest + window.clockSkew);
        }
        slice.records.forEach(applyRecord);
        ready ||= fold.nextOffset >= slice.nextOffset;
    };

    const admit = (request: ClaimRequest, signal: AbortSignal): Refusal | undefined => {
        const now = clock.now();
        if (signal.aborted || now >= request.deadline) {
            return refusal("deadline-passed");
        }
        if (!ready || now < refuseUntil) {
            return logUnavailable();
        }
        const place = placeInWindow(request.key, now, window);
        if (place === "future") {
            return refusal("future-idempotency-key", [request.key]);
        }
        if (place === "expired" || idempotencyKeyTime(request.key) <= fold.completeSince) {
            return refusal("expired-idempotency-key", [request.key]);
        }
        return undefined;
    };

    const finish = (attempt: OpenAttempt, result: RunResult): void => {
        attempt.result = result;
        commit.submitLater({ kind: "result", key: attempt.request.key, attempt: attempt.id, result });
        changes.announce(attempt.request.key);
    };

    const permitFor = (attempt: OpenAttempt): RunPermit => ({
        complete: answer => finish(attempt, { kind: "answered", answer }),
        lose: () => finish(attempt, { kind: "lost" }),
        release: () => {
            close(attempt);
            appendRelease(attempt.request.key, attempt.id);
        },
    });

    const attemptOnce = async (request: ClaimRequest, signal: AbortSignal): Promise<OpenAttempt> => {
        const attempt = open(request, signal);
        if (!commit.submit({ kind: "claim", key: request.key, attempt: attempt.id, digest: request.digest })) {
            giveUp(attempt, "refused");
            return attempt;
        }
        const patience = Math.min(request.deadline - clock.now(), longestClaimMilliseconds);
        await changes.wait(attempt.id, patience, signal);
        if (attempt.phase === "claiming") {
            giveUp(attempt, "refused");
        }
        return attempt;
    };

    const known = (key: string): { digest?: string; result?: RunResult; } => {
        const own = openByKey.get(key);
        const state = fold.keys.get(key);
        return {
            digest: state?.holder?.digest ?? own?.request.digest,
            result: own?.result ?? state?.result,
        };
    };

    const concludeResult = (key: string, result: RunResult): Result<Claimed, Refusal> =>
        result.kind === "answered"
            ? ok({ kind: "replay", answer: result.answer })
            : err(refusal("outcome-unknown", [key]));

    const claim = async (asked: ClaimRequest, signal: AbortSignal): Promise<Result<Claimed, Refusal>> => {
        const key = normalizeIdempotencyKey(asked.key);
        if (key === undefined) {
            return err(refusal("invalid-idempotency-key", [asked.key]));
        }
        const request = { ...asked, key };
        while (true) {
            const { digest, result } = known(key);
            if (digest !== undefined && digest !== request.digest) {
                return err(refusal("idempotency-key-reused", [key]));
            }
            if (result !== undefined) {
                return concludeResult(key, result);
            }
            if (digest !== undefined) {
                const patience = request.deadline - clock.now();
                if (patience <= 0 || signal.aborted) {
                    return err(refusal("outcome-unknown", [key]));
                }
                await changes.wait(key, patience, signal);
                continue;
            }
            const refused = admit(request, signal);
            if (refused !== undefined) {
                return err(refused);
            }
            const attempt = await attemptOnce(request, signal);
            switch (attempt.settlement) {
                case "won":
                    return ok({ kind: "run", permit: permitFor(attempt) });
                case "beaten":
                    continue;
                case "invalid":
                    return err(refusal("expired-idempotency-key", [key]));
                default:
                    return err(logUnavailable());
            }
        }
    };

    const run = async (signal: AbortSignal): Promise<void> => {
        const onReadFailure = (): void => {
            readFailures++;
        };
        const nextOffset = (): number => fold.nextOffset;
        const tail = { stream, clock, nextOffset, atEnd: () => ready, onSlice, onFailure: onReadFailure };
        await Promise.all([followStream(tail, signal), commit.run(signal)]);
    };

    const state = (): ClaimKeeperState => ({
        nextOffset: fold.nextOffset,
        ready,
        keys: fold.keys.size,
        openAttempts: openAttempts.size,
        waitingEntries: commit.waiting(),
    });

    return { claim, state, drained: commit.drained, run };
};
