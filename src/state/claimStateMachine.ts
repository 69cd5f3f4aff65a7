/**
 * The fold of a claims stream: which agent may run a key, and what came of it.
 *
 * Agents append claims before they run a non-idempotent request, and every reader of a prefix of the stream comes to the
 * same answer by these rules alone:
 *
 * - The first valid claim of a key, in the order of the log, holds the key. There is no lease: a pause or a crash of the
 *   holder hands the key to nobody.
 * - A release voids one attempt for good, whether its claim stands before or after the release. Only the agent of an
 *   attempt releases it, and only if it never ran and never will. The next valid claim after the release of the holding
 *   attempt holds the key.
 * - A result of the holding attempt is final: the answer to replay, or the word that the answer was lost.
 * - A claim is valid if its key's time lies inside the window that ends at the time at which the log took the claim.
 *   Two valid claims of a key thus lie closer together than the log's retention, so no reader can see the second one and
 *   miss the first, unless it also sees a gap in the stream.
 */
import { idempotencyKeyTime, normalizeIdempotencyKey } from "./idempotencyKey.js";
import type { LogRecord } from "./types.js";

/** Times that a key may have, seen from the log's clock, in milliseconds. */
export type ClaimWindow = {
    /** How old a key may be. */
    length: number;
    /** How far a caller's clock may be ahead of the log's, or an agent's apart from it. */
    clockSkew: number;
};

const maximumClockSkewMilliseconds = 300_000;

/** The window for a log that keeps records for `retention` milliseconds. */
export const claimWindowOf = (retention: number): ClaimWindow => ({
    length: retention / 2,
    clockSkew: Math.min(maximumClockSkewMilliseconds, retention / 8),
});

/** Answer of a service, kept for resends. */
export type StoredAnswer = { status: number; contentType?: string; body: string; };

/** What came of a run: its answer, or that the answer was lost and nobody knows it. */
export type RunResult = { kind: "answered"; answer: StoredAnswer; } | { kind: "lost"; };

/** One statement of an agent about one key. */
export type ClaimEntry =
    | { kind: "claim"; key: string; attempt: string; digest: string; }
    | { kind: "release"; key: string; attempt: string; }
    | { kind: "result"; key: string; attempt: string; result: RunResult; };

/** One record of a claims stream: statements of one incarnation of one agent, applied in order. */
export type ClaimBatch = { agent: string; entries: ClaimEntry[]; };

/** The attempt that may run a key. */
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
    /** Every claim of a key that was made after this time is in the fold, in milliseconds since the epoch. */
    completeSince: number;
    keys: Map<string, KeyState>;
};

/** A fold of nothing; `nextOffset` is the first offset it will take, `completeSince` as in `ClaimFold`. */
export const emptyClaimState = (nextOffset = 0, completeSince = -Infinity): ClaimState => ({
    nextOffset,
    completeSince,
    keys: new Map(),
});

/** How the time of `key` lies in the window that ends at `now`. */
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

const applyClaim = ({ claims: claims, agent, entry, appendedAt, window }: EntryApplication<"claim">): void => {
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

const applyRelease = ({ claims: claims, agent, entry }: EntryApplication<"release">): void => {
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

const applyResult = ({ claims: claims, agent, entry }: EntryApplication<"result">): void => {
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

// Keys stand in the order in which they were first named, so the scan stops at the first one that is still needed.
const removeExpiredKeys = (claims: ClaimState, appendedAt: number, window: ClaimWindow): void => {
    for (const key of claims.keys.keys()) {
        if (idempotencyKeyTime(key) >= appendedAt - window.length - window.clockSkew) {
            return;
        }
        claims.keys.delete(key);
    }
};

/** Applies the next record of the stream; records that are applied already are passed over. */
export const applyClaimRecord = (claims: ClaimState, record: LogRecord<ClaimBatch>, window: ClaimWindow): void => {
    if (record.offset < claims.nextOffset) {
        return;
    }
    const { agent, entries } = record.body;
    for (const entry of entries) {
        applyEntry(entry.kind, { claims: claims, agent, entry, appendedAt: record.appendedAt, window });
    }
    removeExpiredKeys(claims, record.appendedAt, window);
    claims.nextOffset = record.offset + 1;
};
