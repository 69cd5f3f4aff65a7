/**
 * The last gate before one upstream: admits no more requests at once than the upstream is known to bear.
 *
 * The limit starts at the cold capacity. It grows only on evidence: work that was admitted after the last collapse,
 * completed, and left the step time within its bound. The first growth needs `warmUpTokens` of such work, and then each
 * completed request adds one place, as long as the present places are in use. It is halved when the step time rises,
 * again and again while it stays up, and collapses to the cold capacity when the engine's incarnation changes. A crash
 * during growth shows that the evidence was too thin, so the next growth needs twice as much. A broken connection may
 * be a crash or just one cut stream: the limit falls at once, and comes back when a report taken later names the same
 * incarnation.
 *
 * An upstream that was withdrawn starts cold when it returns, since nothing vouches for it after its absence.
 *
 * An engine whose step time has risen far may have turned cold under its load, and falls over if the load stays. The
 * work above the halved limit must then leave it: the gate aborts `permit.moved` of the newest movable requests, whose
 * holder cancels them here and lets the entry resume them elsewhere. A permit counts as running until its holder calls
 * `finish`.
 */
import { err, ok, type Result } from "neverthrow";
import { invariant } from "../state/invariant.js";
import type { Clock, LoadReport, UpstreamState } from "../state/types.js";
import { createStepTimeWatch, type StepTimeVerdict } from "./stepTimeWatch.js";

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
    /** Whether operators or the platform have taken the upstream out of service, so that it drains. */
    withdrawn?: boolean;
};

export type AdmissionRequest = {
    /** Most tokens that the request can generate; 1 for a call to a plain service. */
    tokens: number;
    /** Whether the request may be cancelled here and resumed on another upstream. */
    movable: boolean;
};

/** How one admitted request ended, as evidence about the upstream; `crashed` tells that its connection broke. */
export type Evidence = { result: "completed" | "failed" | "cancelled" | "crashed"; tokens: number; };

export type AdmissionRefusal = "full" | "draining" | "down";

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
    /** Takes the engine's incarnation; one not seen before means that the engine started anew and is cold. */
    observeIncarnation: (incarnation: string) => void;
    /** Takes the time between two tokens of one stream, or the step time that the engine reports. */
    observeStepTime: (milliseconds: number) => void;
    /** Takes the word that the upstream can't be reached; nothing is admitted until `observeReachable`. */
    observeUnreachable: () => void;
    /** Takes a report that the upstream itself gave: its incarnation at `takenAt`, in milliseconds since the epoch. */
    observeReachable: (incarnation: string, takenAt: number) => void;
    /** Admits nothing more; running requests finish. */
    drain: () => void;
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
const largestEvidenceFactor = 64;

/** Load reports come late and may still name an incarnation that is gone. */
const incarnationsRemembered = 16;
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
    let down = false;
    let wasWithdrawn = false;
    let pastIncarnations: string[] = [];
    /** Grows with each collapse, so that work admitted before it is no evidence after it. */
    let epoch = 0;
    /** Places above the cold capacity that evidence has earned. */
    let earned = 0;
    let evidenceTokens = 0;
    let evidenceFactor = 1;
    /** Set while a broken connection may have been a crash; holds what evidence had earned until then. */
    let suspicion: { since: number; earned: number; } | undefined;
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
        suspicion = undefined;
        stepTimes.reset();
        moveExcess();
    };

    // The engine that ran these requests is gone, so their streams may never end by themselves.
    const moveAll = (): void => {
        for (const entry of admitted.values()) {
            entry.move.abort();
        }
    };

    const suspectCrash = (): void => {
        suspicion ??= { since: clock.now(), earned };
        earned = 0;
    };

    const dismissSuspicion = (): void => {
        earned = Math.max(earned, suspicion?.earned ?? 0);
        suspicion = undefined;
    };

    const takeCrash = (): void => {
        const earnedBefore = Math.max(earned, suspicion?.earned ?? 0);
        const wasGrowing = earnedBefore > 0 && settings().coldCapacity + earnedBefore < settings().capacity;
        evidenceFactor = wasGrowing ? Math.min(largestEvidenceFactor, evidenceFactor * 2) : evidenceFactor;
        moveAll();
        collapse();
    };

    const takeIncarnation = (next: string): void => {
        if (next === incarnation || pastIncarnations.includes(next)) {
            return;
        }
        const known = incarnation !== "unknown";
        pastIncarnations = [...pastIncarnations, incarnation].slice(-incarnationsRemembered);
        incarnation = next;
        if (known) {
            takeCrash();
        }
    };

    const reduce = (verdict: StepTimeVerdict): void => {
        stepsSinceReduction = 0;
        const { coldCapacity } = settings();
        const halved = Math.floor(Math.min(limit(), admitted.size) / 2);
        earned = Math.max(0, halved - coldCapacity);
        if (earned === 0) {
            epoch += 1;
            evidenceTokens = 0;
        }
        if (verdict === "far-risen") {
            moveExcess();
        }
    };

    const takeEvidence = (entry: Admitted, evidence: Evidence, runningBefore: number): void => {
        if (entry.epoch !== epoch) {
            return;
        }
        if (evidence.result === "crashed") {
            suspectCrash();
            return;
        }
        if (evidence.result !== "completed") {
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

    const isDraining = (): boolean => {
        const withdrawn = settings().withdrawn === true;
        if (wasWithdrawn && !withdrawn) {
            collapse();
        }
        wasWithdrawn = withdrawn;
        return draining || withdrawn;
    };

    const state = (): UpstreamState => {
        if (isDraining()) {
            return "draining";
        }
        if (down) {
            return "down";
        }
        if (limit() >= settings().capacity) {
            return "warm";
        }
        return earned === 0 ? "cold" : "warming";
    };

    return {
        admit: (request = defaultRequest) => {
            if (isDraining()) {
                return err("draining");
            }
            if (down) {
                return err("down");
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
        observeIncarnation: takeIncarnation,
        observeStepTime: milliseconds => {
            if (!stepTimes.observe(milliseconds)) {
                return;
            }
            stepsSinceReduction += 1;
            const verdict = stepTimes.verdict(settings().stepTimeBoundMilliseconds);
            if (verdict !== "within-bound" && stepsSinceReduction > stepsBetweenReductions) {
                reduce(verdict);
            }
        },
        observeUnreachable: () => {
            if (!down) {
                down = true;
                moveAll();
                collapse();
            }
        },
        observeReachable: (reported, takenAt) => {
            down = false;
            takeIncarnation(reported);
            if (suspicion !== undefined && reported === incarnation && takenAt > suspicion.since) {
                dismissSuspicion();
            }
        },
        drain: () => {
            draining = true;
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
