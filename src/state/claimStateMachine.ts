/**
 * State machine of a claims stream: which agent may run each idempotency key, and with what result.
 *
 * Agents append a claim before they run a non-idempotent request. All readers of the same prefix of the stream reach
 * the same state by these rules alone:
 *
 * - The first valid claim of a key, in log order, holds the key. There is no lease: if its holder pauses or crashes,
 *   the key does not pass to another agent.
 * - A release permanently invalidates one attempt, whether its claim precedes or follows the release. Only the agent of
 *   an attempt may release it, and only if the attempt never ran and never will. Once the holding attempt is released,
 *   the next valid claim holds the key.
 * - A result of the holding attempt is final: either the answer to replay or the fact that the answer was lost.
 * - A claim is valid if the time in its key lies inside the window that ends when the log accepted the claim. Two valid
 *   claims of one key are therefore closer together than the log's retention, so no reader can see the second and miss
 *   the first without also seeing a gap in the stream.
 */
import { idempotencyKeyTime, normalizeIdempotencyKey } from "./idempotencyKey.js";
import type { LogRecord } from "./types.js";

/** Range of valid key times relative to the log's clock, in milliseconds. */
export type ClaimWindow = {
    /** Maximum age of a key. */
    length: number;
    /** How far a caller's clock may be ahead of the log's clock, or how far an agent's clock may differ from it. */
    clockSkew: number;
};

const maximumClockSkewMilliseconds = 300_000;

/** The claim window for a log that retains records for `retentionMilliseconds`. */
export const claimWindowOf = (retentionMilliseconds: number): ClaimWindow => ({
    length: retentionMilliseconds / 2,
    clockSkew: Math.min(maximumClockSkewMilliseconds, retentionMilliseconds / 8),
});

/** Answer of a service, stored so that it can be replayed when the request is resent. */
export type StoredAnswer = { status: number; contentType?: string; body: string; };

/** Result of a run: its answer, or the fact that the answer was lost. */
export type RunResult = { kind: "answered"; answer: StoredAnswer; } | { kind: "lost"; };

/** One entry of an agent about one key. */
export type ClaimEntry =
    | { kind: "claim"; key: string; attempt: string; digest: string; }
    | { kind: "release"; key: string; attempt: string; }
    | { kind: "result"; key: string; attempt: string; result: RunResult; };

/** One record of a claims stream: entries from one incarnation of one agent, applied in order. */
export type ClaimBatch = { agent: string; entries: ClaimEntry[]; };

/** The attempt that has the right to run a key. */
export type ClaimHolder = { agent: string; attempt: string; digest: string; };

export type KeyState = {
    holder?: ClaimHolder;
    result?: RunResult;
    /** Attempts that will never run. */
    released: string[];
};

export type ClaimState = {
    /** Offset of the next record to apply. */
    nextOffset: number;
    /** The state includes every claim of any key created after this time, in milliseconds since the epoch. */
    completeSince: number;
    keys: Map<string, KeyState>;
};

/** A state without keys; `nextOffset` is the first offset that it accepts, `completeSince` is as in `ClaimState`. */
export const emptyClaimState = (nextOffset = 0, completeSince = -Infinity): ClaimState => ({
    nextOffset,
    completeSince,
    keys: new Map(),
});

/** Where the time of `key` lies relative to the window that ends at `now`. */
export const positionInWindow = (key: string, now: number, window: ClaimWindow): "inside" | "expired" | "future" => {
    const time = idempotencyKeyTime(key);
    if (time < now - window.length) {
        return "expired";
    }
    return time > now + window.clockSkew ? "future" : "inside";
};

const keyStateOf = (claims: ClaimState, key: string): KeyState => {
    const known = claims.keys.get(key);
    if (known !== undefined) {
        return known;
    }
    const created: KeyState = { released: [] };
    claims.keys.set(key, created);
    return created;
};

type EntryApplication<Kind> = {
    claims: ClaimState;
    agent: string;
    entry: Extract<ClaimEntry, { kind: Kind; }>;
    appendedAt: number;
    window: ClaimWindow;
};

const applyClaim = ({ claims, agent, entry, appendedAt, window }: EntryApplication<"claim">): void => {
    if (
        normalizeIdempotencyKey(entry.key) !== entry.key || positionInWindow(entry.key, appendedAt, window) !== "inside"
    ) {
        return;
    }
    const state = keyStateOf(claims, entry.key);
    if (state.holder === undefined && !state.released.includes(entry.attempt)) {
        state.holder = { agent, attempt: entry.attempt, digest: entry.digest };
    }
};

const applyRelease = ({ claims, agent, entry }: EntryApplication<"release">): void => {
    const state = keyStateOf(claims, entry.key);
    const { holder } = state;
    const isHolding = holder?.attempt === entry.attempt;
    if (isHolding && (holder?.agent !== agent || state.result !== undefined)) {
        return;
    }
    if (!state.released.includes(entry.attempt)) {
        state.released.push(entry.attempt);
    }
    if (isHolding) {
        delete state.holder;
    }
};

const applyResult = ({ claims, agent, entry }: EntryApplication<"result">): void => {
    const state = claims.keys.get(entry.key);
    if (state?.holder?.agent === agent && state.holder.attempt === entry.attempt) {
        state.result ??= entry.result;
    }
};

const entryHandlers: { [Kind in ClaimEntry["kind"]]: (applied: EntryApplication<Kind>) => void; } = {
    claim: applyClaim,
    release: applyRelease,
    result: applyResult,
};

const applyEntry = <Kind extends ClaimEntry["kind"]>(kind: Kind, application: EntryApplication<Kind>): void =>
    entryHandlers[kind](application);

// Map keys iterate in insertion order, so the scan stops at the first key that is still needed.
const removeExpiredKeys = (claims: ClaimState, appendedAt: number, window: ClaimWindow): void => {
    for (const key of claims.keys.keys()) {
        if (idempotencyKeyTime(key) >= appendedAt - window.length - window.clockSkew) {
            return;
        }
        claims.keys.delete(key);
    }
};

/** Applies the next record of the stream; records that were already applied are ignored. */
export const applyClaimRecord = (claims: ClaimState, record: LogRecord<ClaimBatch>, window: ClaimWindow): void => {
    if (record.offset < claims.nextOffset) {
        return;
    }
    const { agent, entries } = record.body;
    for (const entry of entries) {
        applyEntry(entry.kind, { claims, agent, entry, appendedAt: record.appendedAt, window });
    }
    removeExpiredKeys(claims, record.appendedAt, window);
    claims.nextOffset = record.offset + 1;
};
