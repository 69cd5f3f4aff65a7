/**
 * Claims on non-idempotent requests, so that each idempotency key runs at most once whatever failures agents, entries
 * and the log have.
 *
 * One registry serves one incarnation of one agent and one service. It appends a claim for an attempt before the
 * attempt may run, and lets it run only after it has read the claim back as the holder of its key, in log order. The
 * response to an append decides nothing. An attempt that cannot be settled in time is abandoned: from then on it never
 * runs, so "not run" is certain, and a release is appended so that another attempt may hold the key.
 *
 * A registry admits no requests before it has read the stream to its end. If records were dropped before it read them,
 * it abandons its unsettled attempts, since the dropped records may contain an earlier claim.
 */
import { err, ok, type Result } from "neverthrow";
import {
    applyClaimRecord,
    type ClaimBatch,
    type ClaimEntry,
    type ClaimState,
    type ClaimWindow,
    emptyClaimState,
    positionInWindow,
    type RunResult,
} from "../state/claimStateMachine.js";
import { type Refusal, refusal } from "../state/errors.js";
import { idempotencyKeyTime, normalizeIdempotencyKey } from "../state/idempotencyKey.js";
import type { Clock, LogRecord, LogSlice } from "../state/types.js";
import type { ClaimDecision, ClaimRegistry, ClaimRegistryStatus, ClaimRequest, RunPermit } from "./claims.js";
import { followStream } from "./followStream.js";
import { createGroupCommit, defaultGroupCommitLimits, type GroupCommitLimits } from "./groupCommit.js";
import type { AppendFailure, LogStream } from "./logStream.js";
import { createNotifier } from "./notifier.js";

const failuresBeforeRefusal = 3;
const refusalPeriodMilliseconds = 500;
const retryAfterSeconds = 1;
const claimTimeoutMilliseconds = 10_000;

export type ClaimRegistryOptions = {
    stream: LogStream<ClaimBatch>;
    clock: Clock;
    /** Identifies this incarnation of the agent; no two incarnations ever share an identifier. */
    agent: string;
    window: ClaimWindow;
    limits?: GroupCommitLimits;
};

type AttemptPhase = "claiming" | "running" | "over";

/**
 * How a claim was settled. `won`: the attempt holds the key; `beaten`: another attempt does; `invalid`: the time of the
 * key lies outside the claim window; `refused`: the attempt was abandoned, as the log failed or its time was up.
 */
type Settlement = "won" | "beaten" | "invalid" | "refused";

/** An unfinished attempt of this incarnation. */
type OpenAttempt = {
    id: string;
    request: ClaimRequest;
    signal: AbortSignal;
    phase: AttemptPhase;
    settlement?: Settlement;
    result?: RunResult;
    /** Appends that carried the claim and were not definitely rejected. */
    uncertainAppends: number;
};

export const createClaimRegistry = (options: ClaimRegistryOptions): ClaimRegistry => {
    const { stream, clock, agent, window, limits = defaultGroupCommitLimits } = options;
    const notifier = createNotifier(clock);
    const openAttempts = new Map<string, OpenAttempt>();
    const openAttemptsByKey = new Map<string, OpenAttempt>();
    let claimState: ClaimState = emptyClaimState();
    let ready = false;
    let attemptCount = 0;
    let appendFailures = 0;
    let readFailures = 0;
    let refuseUntil = -Infinity;

    const logUnavailable = (): Refusal => refusal("log-unavailable", [stream.name], retryAfterSeconds);

    const openAttempt = (request: ClaimRequest, signal: AbortSignal): OpenAttempt => {
        const id = `${agent}/${++attemptCount}`;
        const attempt: OpenAttempt = { id, request, signal, phase: "claiming", uncertainAppends: 0 };
        openAttempts.set(id, attempt);
        openAttemptsByKey.set(request.key, attempt);
        return attempt;
    };

    const closeAttempt = (attempt: OpenAttempt): void => {
        attempt.phase = "over";
        openAttempts.delete(attempt.id);
        if (openAttemptsByKey.get(attempt.request.key) === attempt) {
            openAttemptsByKey.delete(attempt.request.key);
        }
        notifier.notify(attempt.request.key);
    };

    const appendRelease = (key: string, attempt: string): void =>
        groupCommit.submitDeferred({ kind: "release", key, attempt });

    const abandonAttempt = (attempt: OpenAttempt, settlement: Settlement): void => {
        attempt.settlement = settlement;
        closeAttempt(attempt);
        notifier.notify(attempt.id);
        if (attempt.uncertainAppends > 0) {
            appendRelease(attempt.request.key, attempt.id);
        }
    };

    const beforeAppend = (entry: ClaimEntry): boolean => {
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
        refuseUntil = clock.now() + refusalPeriodMilliseconds;
        // A claim that may be in the log is worth waiting for only while the log can be read.
        const canRead = readFailures < failuresBeforeRefusal;
        [...openAttempts.values()]
            .filter(attempt => attempt.phase === "claiming" && !(canRead && attempt.uncertainAppends > 0))
            .forEach(attempt => abandonAttempt(attempt, "refused"));
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
        // Duplicate entries in the log have no effect, so all are appended again; `beforeAppend` drops settled claims.
        return entries;
    };

    const groupCommit = createGroupCommit<ClaimEntry>({
        clock,
        limits,
        append: (entries, signal) => stream.append({ agent, entries }, signal),
        sizeOf: entry => JSON.stringify(entry).length,
        beforeAppend,
        onAppended: () => appendFailures = 0,
        onFailure,
    });

    const settleClaim = (key: string, id: string): void => {
        const state = claimState.keys.get(key);
        const attempt = openAttempts.get(id);
        // The release of an abandoned attempt has already been submitted, so a late claim of it needs no action.
        if (attempt?.phase !== "claiming") {
            return;
        }
        if (state?.holder?.attempt !== id) {
            abandonAttempt(attempt, state?.holder === undefined ? "invalid" : "beaten");
            return;
        }
        // A paused process may read its claim long after the entry stopped waiting for the result.
        if (clock.now() >= attempt.request.deadline || attempt.signal.aborted) {
            abandonAttempt(attempt, "refused");
            return;
        }
        attempt.phase = "running";
        attempt.settlement = "won";
        notifier.notify(id);
    };

    const settleOwnEntry: Record<ClaimEntry["kind"], (entry: ClaimEntry) => void> = {
        claim: entry => settleClaim(entry.key, entry.attempt),
        release: () => undefined,
        result: entry => {
            const attempt = openAttempts.get(entry.attempt);
            if (attempt !== undefined) {
                closeAttempt(attempt);
            }
        },
    };

    const applyRecord = (record: LogRecord<ClaimBatch>): void => {
        applyClaimRecord(claimState, record, window);
        const { entries } = record.body;
        if (record.body.agent === agent) {
            entries.forEach(entry => settleOwnEntry[entry.kind](entry));
        }
        entries.forEach(entry => notifier.notify(entry.key));
    };

    const resetState = (slice: LogSlice<ClaimBatch>, completeSince: number): void => {
        claimState = emptyClaimState(slice.firstOffset, completeSince);
        ready = false;
        [...openAttempts.values()]
            .filter(attempt => attempt.phase === "claiming")
            .forEach(attempt => abandonAttempt(attempt, "refused"));
    };

    const onSlice = (slice: LogSlice<ClaimBatch>): void => {
        readFailures = 0;
        if (slice.nextOffset < claimState.nextOffset) {
            // The log lost acknowledged records, so nothing is known about keys created before now.
            resetState(slice, clock.now() + window.clockSkew);
            return;
        }
        if (slice.firstOffset > claimState.nextOffset) {
            // Records were dropped before they were read. All were appended before the oldest record of the slice or,
            // if it is empty, longer ago than the retention, which is twice the window.
            const oldest = slice.records[0]?.appendedAt ?? clock.now() - 2 * window.length + window.clockSkew;
            resetState(slice, oldest + window.clockSkew);
        }
        slice.records.forEach(applyRecord);
        ready ||= claimState.nextOffset >= slice.nextOffset;
    };

    const refusalBeforeClaim = (request: ClaimRequest, signal: AbortSignal): Refusal | undefined => {
        const now = clock.now();
        if (signal.aborted || now >= request.deadline) {
            return refusal("deadline-passed");
        }
        if (!ready || now < refuseUntil) {
            return logUnavailable();
        }
        const position = positionInWindow(request.key, now, window);
        if (position === "future") {
            return refusal("future-idempotency-key", [request.key]);
        }
        if (position === "expired" || idempotencyKeyTime(request.key) <= claimState.completeSince) {
            return refusal("expired-idempotency-key", [request.key]);
        }
        return undefined;
    };

    const recordResult = (attempt: OpenAttempt, result: RunResult): void => {
        attempt.result = result;
        groupCommit.submitDeferred({ kind: "result", key: attempt.request.key, attempt: attempt.id, result });
        notifier.notify(attempt.request.key);
    };

    const permitFor = (attempt: OpenAttempt): RunPermit => ({
        complete: answer => recordResult(attempt, { kind: "answered", answer }),
        markAnswerLost: () => recordResult(attempt, { kind: "lost" }),
        release: () => {
            closeAttempt(attempt);
            appendRelease(attempt.request.key, attempt.id);
        },
    });

    const claimAttempt = async (request: ClaimRequest, signal: AbortSignal): Promise<OpenAttempt> => {
        const attempt = openAttempt(request, signal);
        if (!groupCommit.submit({ kind: "claim", key: request.key, attempt: attempt.id, digest: request.digest })) {
            abandonAttempt(attempt, "refused");
            return attempt;
        }
        const waitMilliseconds = Math.min(request.deadline - clock.now(), claimTimeoutMilliseconds);
        await notifier.wait(attempt.id, waitMilliseconds, signal);
        if (attempt.phase === "claiming") {
            abandonAttempt(attempt, "refused");
        }
        return attempt;
    };

    const lookUpKey = (key: string): { digest?: string; result?: RunResult; } => {
        const ownAttempt = openAttemptsByKey.get(key);
        const state = claimState.keys.get(key);
        return {
            digest: state?.holder?.digest ?? ownAttempt?.request.digest,
            result: ownAttempt?.result ?? state?.result,
        };
    };

    const decisionFromResult = (key: string, result: RunResult): Result<ClaimDecision, Refusal> =>
        result.kind === "answered"
            ? ok({ kind: "replay", answer: result.answer })
            : err(refusal("outcome-unknown", [key]));

    const claim = async (claimRequest: ClaimRequest, signal: AbortSignal): Promise<Result<ClaimDecision, Refusal>> => {
        const key = normalizeIdempotencyKey(claimRequest.key);
        if (key === undefined) {
            return err(refusal("invalid-idempotency-key", [claimRequest.key]));
        }
        const request = { ...claimRequest, key };
        while (true) {
            const { digest, result } = lookUpKey(key);
            if (digest !== undefined && digest !== request.digest) {
                return err(refusal("idempotency-key-reused", [key]));
            }
            if (result !== undefined) {
                return decisionFromResult(key, result);
            }
            if (digest !== undefined) {
                const waitMilliseconds = request.deadline - clock.now();
                if (waitMilliseconds <= 0 || signal.aborted) {
                    return err(refusal("outcome-unknown", [key]));
                }
                await notifier.wait(key, waitMilliseconds, signal);
                continue;
            }
            const rejection = refusalBeforeClaim(request, signal);
            if (rejection !== undefined) {
                return err(rejection);
            }
            const attempt = await claimAttempt(request, signal);
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
        const nextOffset = (): number => claimState.nextOffset;
        const followOptions = { stream, clock, nextOffset, isCaughtUp: () => ready, onSlice, onFailure: onReadFailure };
        await Promise.all([followStream(followOptions, signal), groupCommit.run(signal)]);
    };

    const status = (): ClaimRegistryStatus => ({
        nextOffset: claimState.nextOffset,
        ready,
        keys: claimState.keys.size,
        openAttempts: openAttempts.size,
        waitingEntries: groupCommit.pendingCount(),
    });

    return { claim, status, waitUntilDrained: groupCommit.waitUntilDrained, run };
};
