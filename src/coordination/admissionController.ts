/**
 * Admission control in front of one upstream: admits no more concurrent requests than the upstream can handle.
 *
 * `concurrencyLimit` computes how many that is, from what this module observes of the upstream: completed work, step
 * times, broken connections and incarnations.
 *
 * An engine whose step time has risen far above its bound may have turned cold under load, and crashes if the load
 * stays. The requests above the halved limit must then leave: `migrationSignal` of the newest migratable requests is
 * aborted, and their holders cancel them here and let the entry resume them on another upstream. All requests are
 * migrated when the engine is gone or produces no more tokens. A permit counts as running until its holder calls
 * `release`.
 *
 * An upstream that was withdrawn starts cold when it returns, because its state after the absence is unknown.
 */
import { err, ok, type Result } from "neverthrow";
import { invariant } from "../state/invariant.js";
import type { Clock, LoadReport, UpstreamState } from "../state/types.js";
import { type ConcurrencyLimitSettings, createConcurrencyLimit } from "./concurrencyLimit.js";
import { createStepTimeMonitor } from "./stepTimeMonitor.js";

export type AdmissionSettings = ConcurrencyLimitSettings & {
    /** Maximum step time of an engine that is not overloaded. */
    stepTimeBoundMilliseconds: number;
    /** Operators or the platform have taken the upstream out of service, so it drains. */
    withdrawn?: boolean;
};

export type AdmissionRequest = {
    /** Maximum number of tokens that the request can generate; 1 for a call to a plain service. */
    tokens: number;
    /** Whether the request may be cancelled here and resumed on another upstream. */
    migratable: boolean;
};

/** How an admitted request ended; `crashed` means that its connection to the upstream broke. */
export type PermitOutcome = { result: "completed" | "failed" | "cancelled" | "crashed"; tokens: number; };

export type AdmissionRefusal = "full" | "draining" | "down";

export type Permit = {
    readonly id: number;
    /** Aborts when the request must leave this upstream and be resumed on another. */
    readonly migrationSignal: AbortSignal;
    /** Counts newly generated tokens. */
    recordTokens: (tokens: number) => void;
    /** Frees the request's capacity; further calls have no effect. */
    release: (outcome: PermitOutcome) => void;
};

export type AdmissionController = {
    admit: (request?: AdmissionRequest) => Result<Permit, AdmissionRefusal>;
    /** Records the engine's incarnation; a new one means that the engine has restarted and is cold. */
    observeIncarnation: (incarnation: string) => void;
    /** Marks the upstream as unreachable; nothing is admitted until `observeReachable`. */
    observeUnreachable: () => void;
    /** Records the upstream's own report: its incarnation at `takenAt`, in milliseconds by the clock. */
    observeReachable: (incarnation: string, takenAt: number) => void;
    /**
     * Marks the upstream as down and migrates all requests if the running ones have received no token for too long; to
     * be called periodically.
     */
    checkStall: () => void;
    /** Stops admitting requests; running ones finish. */
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

/** The engine is stalled when its running requests receive no token for this long; a single long step is shorter. */
const stallTimeoutMilliseconds = 5_000;

/** Load reports arrive late and may still name a past incarnation. */
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
    /** Set while the upstream is unreachable or stalled; only a report taken after `since` clears it. */
    let outage: { since: number; } | undefined;
    let stepsSinceReduction = stepsBetweenReductions;
    let outstandingTokens = 0;

    const migrateExcess = (): void => {
        const remaining = [...admitted.values()].filter(request => !request.migration.signal.aborted);
        const excess = Math.max(0, remaining.length - limit.current());
        const candidates = remaining.filter(request => request.migratable);
        candidates.slice(Math.max(0, candidates.length - excess)).forEach(request => request.migration.abort());
    };

    // Streams of an engine that is gone or stalled may never end on their own.
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
        invariant(
            outstandingTokens >= 0,
            `admission controller of incarnation "${incarnation}" has a negative count of outstanding tokens`,
        );
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

    /** Whether the upstream is draining; if it has returned after a withdrawal, resets it to cold. */
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
                // Throughput at the full limit, so that a warming upstream receives work in proportion to its limit.
                tokensPerSecond: limit.current() * 1_000 / Math.max(1, stepMilliseconds),
                takenAt: clock.now(),
            };
        },
    };
};
