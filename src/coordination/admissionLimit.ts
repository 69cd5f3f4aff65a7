/**
 * How many requests one upstream is known to bear at once.
 *
 * The limit starts at the cold capacity and grows only on evidence: the first growth needs `warmUpTokens` of completed
 * work, then each completed request adds one place, as long as the present places are in use. It is halved when the step
 * time rises, and collapses to the cold capacity after a crash. A crash during growth shows that the evidence was too
 * thin, so the next growth needs twice as much.
 *
 * A broken connection may be a crash or just one cut stream: the limit is zero until a later report tells which, since
 * work sent to an upstream that is just restarting would be lost, too.
 */
import type { Clock } from "../state/types.js";

/** What the settings say about one upstream's admission. */
export type LimitSettings = {
    /** Requests that a warm upstream runs at once. */
    capacity: number;
    /** Requests that it bears while cold. */
    coldCapacity: number;
    /** Tokens of completed work that a cold upstream must show before its limit grows. */
    warmUpTokens?: number;
};

export type AdmissionLimit = {
    /** Requests that may run at once now. */
    current: () => number;
    stage: () => "cold" | "warming" | "warm";
    /** Grows with each collapse, so that work admitted before it is no evidence after it. */
    epoch: () => number;
    /** Takes `tokens` of completed work, done while `running` requests ran. */
    takeCompleted: (tokens: number, running: number) => void;
    /** Halves the limit, or what is in use of it. */
    halve: (running: number) => void;
    /** Falls to zero until `dismissSuspicion` or `takeCrash`. */
    suspectCrash: () => void;
    /** Takes the word that the upstream had not crashed by `takenAt`, in milliseconds since the epoch. */
    dismissSuspicion: (takenAt: number) => void;
    /** Takes the word that the upstream crashed. */
    takeCrash: () => void;
    /** Starts cold again, without blame for the evidence. */
    collapse: () => void;
};

const defaultWarmUpTokens = 2_000;
const largestEvidenceFactor = 64;

export const createAdmissionLimit = (clock: Pick<Clock, "now">, settings: () => LimitSettings): AdmissionLimit => {
    let epoch = 0;
    /** Places above the cold capacity that evidence has earned. */
    let earned = 0;
    let evidenceTokens = 0;
    let evidenceFactor = 1;
    /** Set while a broken connection may have been a crash; holds what had been earned until then. */
    let suspicion: { since: number; earned: number; } | undefined;

    const current = (): number => {
        if (suspicion !== undefined) {
            return 0;
        }
        const { capacity, coldCapacity } = settings();
        return Math.min(capacity, coldCapacity + earned);
    };

    const collapse = (): void => {
        epoch += 1;
        earned = 0;
        evidenceTokens = 0;
        suspicion = undefined;
    };

    return {
        current,
        stage: () => {
            if (current() >= settings().capacity) {
                return "warm";
            }
            return earned === 0 ? "cold" : "warming";
        },
        epoch: () => epoch,
        takeCompleted: (tokens, running) => {
            const { capacity, coldCapacity, warmUpTokens = defaultWarmUpTokens } = settings();
            evidenceTokens += tokens;
            // Work that leaves half of the places empty says nothing about a higher limit.
            const areInUse = running * 2 >= current();
            if (evidenceTokens >= warmUpTokens * evidenceFactor && areInUse) {
                earned = Math.min(earned + 1, Math.max(0, capacity - coldCapacity));
            }
        },
        halve: running => {
            const halved = Math.floor(Math.min(current(), running) / 2);
            earned = Math.max(0, halved - settings().coldCapacity);
            if (earned === 0) {
                collapse();
            }
        },
        suspectCrash: () => {
            suspicion ??= { since: clock.now(), earned };
            earned = 0;
        },
        dismissSuspicion: takenAt => {
            if (suspicion !== undefined && takenAt > suspicion.since) {
                earned = Math.max(earned, suspicion.earned);
                suspicion = undefined;
            }
        },
        takeCrash: () => {
            const { capacity, coldCapacity } = settings();
            const earnedBefore = Math.max(earned, suspicion?.earned ?? 0);
            const wasGrowing = earnedBefore > 0 && coldCapacity + earnedBefore < capacity;
            evidenceFactor = wasGrowing ? Math.min(largestEvidenceFactor, evidenceFactor * 2) : evidenceFactor;
            collapse();
        },
        collapse,
    };
};
