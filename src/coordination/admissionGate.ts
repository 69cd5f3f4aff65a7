/**
 * The last gate before one upstream: admits no more requests at once than the upstream is known to bear.
 *
 * The limit starts at the cold capacity. It grows only on evidence: work that was admitted after the last collapse,
 * completed, and left the step time within its bound. The first growth needs `warmUpTokens` of such work, and then each
 * completed request adds one place, as long as the present places are in use. It is halved when the step time rises,
 * and collapses to the cold capacity when the step time rises far, the engine crashes or its incarnation changes. A
 * crash during growth shows that the evidence was too thin, so the next growth needs twice as much.
 *
 * After a collapse the work above the limit must leave the engine before the engine fails: the gate aborts
 * `permit.moved` of the newest movable requests, whose holder cancels them here and lets the entry resume them
 * elsewhere. A permit counts as running until its holder calls `finish`.
 */
import { err, ok, type Result } from "neverthrow";
import { invariant } from "../state/invariant.js";
import type { Clock, LoadReport, UpstreamState } from "../state/types.js";
import { createStepTimeWatch } from "./stepTimeWatch.js";

/** What the settings say about one upstream's admission. */
export type GateSettings = {
    /** Requests that a warm upstream runs at once. */
    capacity: number;
    /** Requests that it bears while cold. */
    coldCapacity: number;
    /** Longest step of an engine that is within its means. */
    stepTimeBoundMilliseconds: number;
    /** Tokens of completed work that a cold upstream must show before its limit grows. */
    warmUpTokens?: number;
};

export type AdmissionRequest = {
    /** Most tokens that the request can generate; 1 for a call to a plain service. */
    tokens: number;
    /** Whether the request may be cancelled here and resumed on another upstream. */
    movable: boolean;
};

/** How one admitted request ended, as evidence about the upstream. */
export type Evidence = { result: "completed" | "failed" | "cancelled"; tokens: number; };

export type AdmissionRefusal = "full" | "draining";

export type Permit = {
    readonly id: number;
    /** Aborts when the request must leave this upstream and be resumed elsewhere. */
    readonly moved: AbortSignal;
    /** Counts `tokens` newly generated tokens off the outstanding work. */
    progress: (tokens: number) => void;
    /** Gives the place back; further calls have no effect. */
    finish: (evidence: Evidence) => void;
};

export type AdmissionGate = {
    admit: (request?: AdmissionRequest) => Result<Permit, AdmissionRefusal>;
    /** Takes the engine's incarnation; a changed one means that the engine started anew and is cold. */
    observeIncarnation: (incarnation: string) => void;
    /** Takes the time between two tokens of one stream, or the step time that the engine reports. */
    observeStepTime: (milliseconds: number) => void;
    /** Takes the word that the engine crashed: it is cold, and all that it ran is lost. */
    observeCrash: () => void;
    /** Admits nothing more; running requests finish. */
    drain: () => void;
    /** Ends a drain; the upstream starts cold, since nothing vouches for it after its absence. */
    reopen: () => void;
    load: () => LoadReport;
};

type Admitted = {
    id: number;
    epoch: number;
    movable: boolean;
    outstandingTokens: number;
    move: AbortController;
};

const defaultWarmUpTokens = 2_000;
const stepsBetweenReductions = 8;
const defaultRequest: AdmissionRequest = { tokens: 1, movable: true };

export const createAdmissionGate = ({ clock, settings, incarnation: firstIncarnation = "unknown" }: {
    clock: Pick<Clock, "now">;
    settings: () => GateSettings;
    incarnation?: string;
}): AdmissionGate => {
    const stepTimes = createStepTimeWatch(clock);
    const admitted = new Map<number, Admitted>();
    let nextId = 1;
    let incarnation = firstIncarnation;
    let draining = false;
    /** Grows with each collapse, so that work admitted before it is no evidence after it. */
    let epoch = 0;
    /** Places above the cold capacity that evidence has earned. */
    let earned = 0;
    let evidenceTokens = 0;
    let evidenceFactor = 1;
    let stepsSinceReduction = stepsBetweenReductions;
    let outstandingTokens = 0;

    const limit = (): number => {
        const { capacity, coldCapacity } = settings();
        return Math.min(capacity, coldCapacity + earned);
    };

    const requiredTokens = (): number => (settings().warmUpTokens ?? defaultWarmUpTokens) * evidenceFactor;

    const moveExcess = (): void => {
        const staying = [...admitted.values()].filter(entry => !entry.move.signal.aborted);
        const movable = staying.filter(entry => entry.movable);
        const excess = Math.max(0, staying.length - limit());
        for (const entry of excess === 0 ? [] : movable.slice(-excess)) {
            entry.move.abort();
        }
    };

    const collapse = (): void => {
        epoch += 1;
        earned = 0;
        evidenceTokens = 0;
        stepTimes.reset();
        moveExcess();
    };

    // The engine that ran these requests is gone, so their streams may never end by themselves.
    const moveAll = (): void => {
        for (const entry of admitted.values()) {
            entry.move.abort();
        }
    };

    const takeEvidence = (entry: Admitted, evidence: Evidence, runningBefore: number): void => {
        if (evidence.result !== "completed" || entry.epoch !== epoch) {
            return;
        }
        if (stepTimes.verdict(settings().stepTimeBoundMilliseconds) !== "within-bound") {
            return;
        }
        evidenceTokens += evidence.tokens;
        // Work that leaves half of the places empty says nothing about a higher limit.
        const placesInUse = runningBefore * 2 >= limit();
        if (evidenceTokens >= requiredTokens() && placesInUse) {
            earned = Math.min(earned + 1, Math.max(0, settings().capacity - settings().coldCapacity));
        }
    };

    const finish = (entry: Admitted, evidence: Evidence): void => {
        const runningBefore = admitted.size;
        if (!admitted.delete(entry.id)) {
            return;
        }
        outstandingTokens -= entry.outstandingTokens;
        invariant(outstandingTokens >= 0, `admission gate of incarnation "${incarnation}" counts tokens below zero`);
        takeEvidence(entry, evidence, runningBefore);
    };

    const progress = (entry: Admitted, tokens: number): void => {
        const counted = admitted.has(entry.id) ? Math.min(tokens, entry.outstandingTokens) : 0;
        entry.outstandingTokens -= counted;
        outstandingTokens -= counted;
    };

    const state = (): UpstreamState => {
        if (draining) {
            return "draining";
        }
        if (limit() >= settings().capacity) {
            return "warm";
        }
        return earned === 0 ? "cold" : "warming";
    };

    return {
        admit: (request = defaultRequest) => {
            if (draining) {
                return err("draining");
            }
            if (admitted.size >= limit()) {
                return err("full");
            }
            const entry: Admitted = {
                id: nextId,
                epoch,
                movable: request.movable,
                outstandingTokens: request.tokens,
                move: new AbortController(),
            };
            nextId += 1;
            admitted.set(entry.id, entry);
            outstandingTokens += request.tokens;
            return ok({
                id: entry.id,
                moved: entry.move.signal,
                progress: tokens => progress(entry, tokens),
                finish: evidence => finish(entry, evidence),
            });
        },
        observeIncarnation: next => {
            if (next === incarnation) {
                return;
            }
            const known = incarnation !== "unknown";
            incarnation = next;
            if (known) {
                moveAll();
                collapse();
            }
        },
        observeStepTime: milliseconds => {
            if (!stepTimes.observe(milliseconds)) {
                return;
            }
            stepsSinceReduction += 1;
            const verdict = stepTimes.verdict(settings().stepTimeBoundMilliseconds);
            if (verdict === "far-risen" && earned > 0) {
                collapse();
            }
            else if (verdict === "risen" && stepsSinceReduction > stepsBetweenReductions) {
                stepsSinceReduction = 0;
                earned = Math.max(0, Math.floor(limit() / 2) - settings().coldCapacity);
            }
        },
        observeCrash: () => {
            const growing = earned > 0 && limit() < settings().capacity;
            evidenceFactor = growing ? evidenceFactor * 2 : 1;
            moveAll();
            collapse();
        },
        drain: () => {
            draining = true;
        },
        reopen: () => {
            if (draining) {
                draining = false;
                collapse();
            }
        },
        load: () => {
            const stepMilliseconds = stepTimes.median() ?? settings().stepTimeBoundMilliseconds;
            return {
                state: state(),
                incarnation,
                running: admitted.size,
                limit: limit(),
                outstandingTokens,
                // Speed with all places taken, so that a warming upstream draws work in proportion to its limit.
                tokensPerSecond: limit() * 1_000 / Math.max(1, stepMilliseconds),
                takenAt: clock.now(),
            };
        },
    };
};
