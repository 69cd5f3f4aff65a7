/**
 * The last gate before one upstream: admits no more requests at once than the upstream is known to bear.
 *
 * `admissionLimit` says how many that is; the gate feeds it with what it sees of the upstream: completed work, step
 * times, broken connections and incarnations.
 *
 * An engine whose step time has risen far may have turned cold under its load, and falls over if the load stays. The
 * work above the halved limit must then leave it: the gate aborts `permit.moved` of the newest movable requests, whose
 * holder cancels them here and lets the entry resume them elsewhere. So it does with all of them when the engine is gone
 * or gives no token any more. A permit counts as running until its holder calls `finish`.
 *
 * An upstream that was withdrawn starts cold when it returns, since nothing vouches for it after its absence.
 */
import { err, ok, type Result } from "neverthrow";
import { invariant } from "../state/invariant.js";
import type { Clock, LoadReport, UpstreamState } from "../state/types.js";
import { type ConcurrencyLimitSettings, createConcurrencyLimit } from "./concurrencyLimit.js";
import { createStepTimeMonitor } from "./stepTimeMonitor.js";

/** What the settings say about one upstream's admission. */
export type AdmissionSettings = ConcurrencyLimitSettings & {
    /** Longest step of an engine that is within its means. */
    stepTimeBoundMilliseconds: number;
    /** Whether operators or the platform have taken the upstream out of service, so that it drains. */
    withdrawn?: boolean;
};

export type AdmissionRequest = {
    /** Most tokens that the request can generate; 1 for a call to a plain service. */
    tokens: number;
    /** Whether the request may be cancelled here and resumed on another upstream. */
    migratable: boolean;
};

/** How one admitted request ended, as evidence about the upstream; `crashed` tells that its connection broke. */
export type PermitOutcome = { result: "completed" | "failed" | "cancelled" | "crashed"; tokens: number; };

export type AdmissionRefusal = "full" | "draining" | "down";

export type Permit = {
    readonly id: number;
    /** Aborts when the request must leave this upstream and be resumed elsewhere. */
    readonly migrationSignal: AbortSignal;
    /** Takes `tokens` newly generated tokens. */
    recordTokens: (tokens: number) => void;
    /** Gives the place back; further calls have no effect. */
    release: (outcome: PermitOutcome) => void;
};

export type AdmissionController = {
    admit: (request?: AdmissionRequest) => Result<Permit, AdmissionRefusal>;
    /** Takes the engine's incarnation; one not seen before means that the engine started anew and is cold. */
    observeIncarnation: (incarnation: string) => void;
    /** Takes the word that the upstream can't be reached; nothing is admitted until `observeReachable`. */
    observeUnreachable: () => void;
    /** Takes a report that the upstream itself gave: its incarnation at `takenAt`, in milliseconds since the epoch. */
    observeReachable: (incarnation: string, takenAt: number) => void;
    /** Moves all work elsewhere if running requests have got no token for too long; for a task that calls it often. */
    checkStall: () => void;
    /** Admits nothing more; running requests finish. */
    drain: () => void;
    load: () => LoadReport;
};

type AdmittedRequest = {
    id: number;
    epoch: number;
    migratable: boolean;
    admittedAt: number;
    outstandingTokens: number;
    migration: AbortController;
};

const stepsBetweenReductions = 8;

/** Running requests that give no token for so long are stuck, in milliseconds; a single long step is shorter. */
const stallTimeoutMilliseconds = 5_000;

/** Load reports come late and may still name an incarnation that is gone. */
const maximumPastIncarnations = 16;
const defaultRequest: AdmissionRequest = { tokens: 1, migratable: true };

export const createAdmissionController = ({ clock, settings, incarnation: initialIncarnation = "unknown" }: {
    clock: Pick<Clock, "now">;
    settings: () => AdmissionSettings;
    incarnation?: string;
}): AdmissionController => {
    const limit = createConcurrencyLimit(clock, settings);
    const stepTimes = createStepTimeMonitor(clock);
    const admitted = new Map<number, AdmittedRequest>();
    let nextId = 1;
    let incarnation = initialIncarnation;
    let pastIncarnations: string[] = [];
    let isDrainRequested = false;
    let wasWithdrawn = false;
    /** Set while the upstream is unreachable or stuck; only a report taken after `since` ends it. */
    let outage: { since: number; } | undefined;
    let stepsSinceReduction = stepsBetweenReductions;
    let outstandingTokens = 0;

    const migrateExcess = (): void => {
        const remaining = [...admitted.values()].filter(request => !request.migration.signal.aborted);
        const excess = Math.max(0, remaining.length - limit.current());
        const candidates = remaining.filter(request => request.migratable);
        candidates.slice(Math.max(0, candidates.length - excess)).forEach(request => request.migration.abort());
    };

    // The streams of an engine that is gone or stuck may never end by themselves.
    const migrateAll = (): void => admitted.forEach(request => request.migration.abort());

    const resetToCold = (): void => {
        limit.resetToCold();
        stepTimes.reset();
        migrateExcess();
    };

    const updateIncarnation = (next: string): void => {
        if (next === incarnation || pastIncarnations.includes(next)) {
            return;
        }
        const isRestart = incarnation !== "unknown";
        pastIncarnations = [...pastIncarnations, incarnation].slice(-maximumPastIncarnations);
        incarnation = next;
        if (isRestart) {
            limit.recordCrash();
            stepTimes.reset();
            migrateAll();
        }
    };

    const markDown = (since: number): void => {
        outage ??= { since };
        resetToCold();
        migrateAll();
    };

    const handleStep = (): void => {
        stepsSinceReduction += 1;
        const verdict = stepTimes.assess(settings().stepTimeBoundMilliseconds);
        if (verdict === "within-bound" || stepsSinceReduction <= stepsBetweenReductions) {
            return;
        }
        stepsSinceReduction = 0;
        limit.halve(admitted.size);
        if (verdict === "far-risen") {
            migrateExcess();
        }
    };

    const applyOutcome = (outcome: PermitOutcome, runningBefore: number): void => {
        if (outcome.result === "crashed") {
            limit.suspectCrash();
        }
        const isWithinBound = stepTimes.assess(settings().stepTimeBoundMilliseconds) === "within-bound";
        if (outcome.result === "completed" && isWithinBound) {
            limit.recordCompleted(outcome.tokens, runningBefore);
        }
    };

    const releasePermit = (request: AdmittedRequest, outcome: PermitOutcome): void => {
        const runningBefore = admitted.size;
        if (!admitted.delete(request.id)) {
            return;
        }
        outstandingTokens -= request.outstandingTokens;
        invariant(outstandingTokens >= 0, `admission gate of incarnation "${incarnation}" counts tokens below zero`);
        stepTimes.endStream(request.id);
        if (request.epoch === limit.epoch()) {
            applyOutcome(outcome, runningBefore);
        }
    };

    const countTokens = (request: AdmittedRequest, tokens: number): void => {
        if (!admitted.has(request.id)) {
            return;
        }
        const counted = Math.min(tokens, request.outstandingTokens);
        request.outstandingTokens -= counted;
        outstandingTokens -= counted;
        if (stepTimes.recordToken(request.id)) {
            handleStep();
        }
    };

    const isDraining = (): boolean => {
        const isWithdrawn = settings().withdrawn === true;
        const hasReturned = wasWithdrawn && !isWithdrawn;
        wasWithdrawn = isWithdrawn;
        if (hasReturned) {
            resetToCold();
        }
        return isDrainRequested || isWithdrawn;
    };

    const state = (): UpstreamState => {
        if (isDraining()) {
            return "draining";
        }
        return outage === undefined ? limit.stage() : "down";
    };

    const addPermit = (request: AdmissionRequest): Permit => {
        const admittedRequest: AdmittedRequest = {
            id: nextId,
            epoch: limit.epoch(),
            migratable: request.migratable,
            admittedAt: clock.now(),
            outstandingTokens: request.tokens,
            migration: new AbortController(),
        };
        nextId += 1;
        admitted.set(admittedRequest.id, admittedRequest);
        outstandingTokens += request.tokens;
        return {
            id: admittedRequest.id,
            migrationSignal: admittedRequest.migration.signal,
            recordTokens: tokens => countTokens(admittedRequest, tokens),
            release: outcome => releasePermit(admittedRequest, outcome),
        };
    };

    return {
        admit: (request = defaultRequest) => {
            if (isDraining()) {
                return err("draining");
            }
            if (outage !== undefined) {
                return err("down");
            }
            return admitted.size >= limit.current() ? err("full") : ok(addPermit(request));
        },
        observeIncarnation: updateIncarnation,
        observeUnreachable: () => {
            if (outage === undefined) {
                markDown(-Infinity);
            }
        },
        observeReachable: (reported, takenAt) => {
            updateIncarnation(reported);
            if (outage !== undefined && takenAt > outage.since) {
                outage = undefined;
            }
            if (reported === incarnation) {
                limit.clearCrashSuspicion(takenAt);
            }
        },
        checkStall: () => {
            const oldest = admitted.values().next().value;
            const lastActivityAt = Math.max(oldest?.admittedAt ?? Infinity, stepTimes.lastTokenAt());
            if (
                outage === undefined && oldest?.migratable === true
                && clock.now() - lastActivityAt >= stallTimeoutMilliseconds
            ) {
                markDown(clock.now());
            }
        },
        drain: () => {
            isDrainRequested = true;
        },
        load: () => {
            const stepMilliseconds = stepTimes.meanMilliseconds() ?? settings().stepTimeBoundMilliseconds;
            return {
                state: state(),
                incarnation,
                running: admitted.size,
                limit: limit.current(),
                outstandingTokens,
                // Speed with all places taken, so that a warming upstream draws work in proportion to its limit.
                tokensPerSecond: limit.current() * 1_000 / Math.max(1, stepMilliseconds),
                takenAt: clock.now(),
            };
        },
    };
};
