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
import { createAdmissionLimit, type LimitSettings } from "./admissionLimit.js";
import { createStepTimeWatch } from "./stepTimeWatch.js";

/** What the settings say about one upstream's admission. */
export type GateSettings = LimitSettings & {
    /** Longest step of an engine that is within its means. */
    stepTimeBoundMilliseconds: number;
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
    /** Takes `tokens` newly generated tokens. */
    progress: (tokens: number) => void;
    /** Gives the place back; further calls have no effect. */
    finish: (evidence: Evidence) => void;
};

export type AdmissionGate = {
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

type Admitted = {
    id: number;
    epoch: number;
    movable: boolean;
    admittedAt: number;
    outstandingTokens: number;
    move: AbortController;
};

const stepsBetweenReductions = 8;

/** Running requests that give no token for so long are stuck, in milliseconds; a single long step is shorter. */
const stallMilliseconds = 5_000;

/** Load reports come late and may still name an incarnation that is gone. */
const incarnationsRemembered = 16;
const defaultRequest: AdmissionRequest = { tokens: 1, movable: true };

export const createAdmissionGate = ({ clock, settings, incarnation: firstIncarnation = "unknown" }: {
    clock: Pick<Clock, "now">;
    settings: () => GateSettings;
    incarnation?: string;
}): AdmissionGate => {
    const limit = createAdmissionLimit(clock, settings);
    const stepTimes = createStepTimeWatch(clock);
    const admitted = new Map<number, Admitted>();
    let nextId = 1;
    let incarnation = firstIncarnation;
    let pastIncarnations: string[] = [];
    let isStopping = false;
    let wasWithdrawn = false;
    /** Set while the upstream is unreachable or stuck; only a report taken after `since` ends it. */
    let down: { since: number; } | undefined;
    let stepsSinceReduction = stepsBetweenReductions;
    let outstandingTokens = 0;

    const moveExcess = (): void => {
        const staying = [...admitted.values()].filter(entry => !entry.move.signal.aborted);
        const excess = Math.max(0, staying.length - limit.current());
        const movable = staying.filter(entry => entry.movable);
        movable.slice(Math.max(0, movable.length - excess)).forEach(entry => entry.move.abort());
    };

    // The streams of an engine that is gone or stuck may never end by themselves.
    const moveAll = (): void => admitted.forEach(entry => entry.move.abort());

    const startCold = (): void => {
        limit.collapse();
        stepTimes.reset();
        moveExcess();
    };

    const takeIncarnation = (next: string): void => {
        if (next === incarnation || pastIncarnations.includes(next)) {
            return;
        }
        const isRestart = incarnation !== "unknown";
        pastIncarnations = [...pastIncarnations, incarnation].slice(-incarnationsRemembered);
        incarnation = next;
        if (isRestart) {
            limit.takeCrash();
            stepTimes.reset();
            moveAll();
        }
    };

    const takeDown = (since: number): void => {
        down ??= { since };
        startCold();
        moveAll();
    };

    const takeStep = (): void => {
        stepsSinceReduction += 1;
        const verdict = stepTimes.verdict(settings().stepTimeBoundMilliseconds);
        if (verdict === "within-bound" || stepsSinceReduction <= stepsBetweenReductions) {
            return;
        }
        stepsSinceReduction = 0;
        limit.halve(admitted.size);
        if (verdict === "far-risen") {
            moveExcess();
        }
    };

    const takeEvidence = (evidence: Evidence, runningBefore: number): void => {
        if (evidence.result === "crashed") {
            limit.suspectCrash();
        }
        const isWithinBound = stepTimes.verdict(settings().stepTimeBoundMilliseconds) === "within-bound";
        if (evidence.result === "completed" && isWithinBound) {
            limit.takeCompleted(evidence.tokens, runningBefore);
        }
    };

    const finish = (entry: Admitted, evidence: Evidence): void => {
        const runningBefore = admitted.size;
        if (!admitted.delete(entry.id)) {
            return;
        }
        outstandingTokens -= entry.outstandingTokens;
        invariant(outstandingTokens >= 0, `admission gate of incarnation "${incarnation}" counts tokens below zero`);
        stepTimes.endStream(entry.id);
        if (entry.epoch === limit.epoch()) {
            takeEvidence(evidence, runningBefore);
        }
    };

    const progress = (entry: Admitted, tokens: number): void => {
        if (!admitted.has(entry.id)) {
            return;
        }
        const counted = Math.min(tokens, entry.outstandingTokens);
        entry.outstandingTokens -= counted;
        outstandingTokens -= counted;
        if (stepTimes.takeToken(entry.id)) {
            takeStep();
        }
    };

    const isDraining = (): boolean => {
        const isWithdrawn = settings().withdrawn === true;
        const isBack = wasWithdrawn && !isWithdrawn;
        wasWithdrawn = isWithdrawn;
        if (isBack) {
            startCold();
        }
        return isStopping || isWithdrawn;
    };

    const state = (): UpstreamState => {
        if (isDraining()) {
            return "draining";
        }
        return down === undefined ? limit.stage() : "down";
    };

    const addPermit = (request: AdmissionRequest): Permit => {
        const entry: Admitted = {
            id: nextId,
            epoch: limit.epoch(),
            movable: request.movable,
            admittedAt: clock.now(),
            outstandingTokens: request.tokens,
            move: new AbortController(),
        };
        nextId += 1;
        admitted.set(entry.id, entry);
        outstandingTokens += request.tokens;
        return {
            id: entry.id,
            moved: entry.move.signal,
            progress: tokens => progress(entry, tokens),
            finish: evidence => finish(entry, evidence),
        };
    };

    return {
        admit: (request = defaultRequest) => {
            if (isDraining()) {
                return err("draining");
            }
            if (down !== undefined) {
                return err("down");
            }
            return admitted.size >= limit.current() ? err("full") : ok(addPermit(request));
        },
        observeIncarnation: takeIncarnation,
        observeUnreachable: () => {
            if (down === undefined) {
                takeDown(-Infinity);
            }
        },
        observeReachable: (reported, takenAt) => {
            takeIncarnation(reported);
            if (down !== undefined && takenAt > down.since) {
                down = undefined;
            }
            if (reported === incarnation) {
                limit.dismissSuspicion(takenAt);
            }
        },
        checkStall: () => {
            const oldest = admitted.values().next().value;
            const lastSign = Math.max(oldest?.admittedAt ?? Infinity, stepTimes.lastTokenAt());
            if (down === undefined && oldest?.movable === true && clock.now() - lastSign >= stallMilliseconds) {
                takeDown(clock.now());
            }
        },
        drain: () => {
            isStopping = true;
        },
        load: () => {
            const stepMilliseconds = stepTimes.mean() ?? settings().stepTimeBoundMilliseconds;
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
