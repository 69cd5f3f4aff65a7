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
export type ConcurrencyLimitSettings = {
    /** Requests that a warm upstream runs at once. */
    capacity: number;
    /** Requests that it bears while cold. */
    coldCapacity: number;
    /** Tokens of completed work that a cold upstream must show before its limit grows. */
    warmUpTokens?: number;
};

export type ConcurrencyLimit = {
    /** Requests that may run at once now. */
    current: () => number;
    stage: () => "cold" | "warming" | "warm";
    /** Grows with each collapse, so that work admitted before it is no evidence after it. */
    epoch: () => number;
    /** Takes `tokens` of completed work, done while `running` requests ran. */
    recordCompleted: (tokens: number, running: number) => void;
    /** Halves the limit, or what is in use of it. */
    halve: (running: number) => void;
    /** Falls to zero until `dismissSuspicion` or `takeCrash`. */
    suspectCrash: () => void;
    /** Takes the word that the upstream had not crashed by `takenAt`, in milliseconds since the epoch. */
    clearCrashSuspicion: (takenAt: number) => void;
    /** Takes the word that the upstream crashed. */
    recordCrash: () => void;
    /** Starts cold again, without blame for the evidence. */
    resetToCold: () => void;
};

const defaultWarmUpTokens = 2_000;
const maximumWarmUpFactor = 64;

export const createConcurrencyLimit = (
    clock: Pick<Clock, "now">,
    settings: () => ConcurrencyLimitSettings,
): ConcurrencyLimit => {
    let epoch = 0;
    /** Places above the cold capacity that evidence has earned. */
    let extraCapacity = 0;
    let completedTokens = 0;
    let warmUpFactor = 1;
    /** Set while a broken connection may have been a crash; holds what had been earned until then. */
    let suspectedCrash: { since: number; extraCapacityBefore: number; } | undefined;

    const current = (): number => {
        if (suspectedCrash !== undefined) {
            return 0;
        }
        const { capacity, coldCapacity } = settings();
        return Math.min(capacity, coldCapacity + extraCapacity);
    };

    const resetToCold = (): void => {
        epoch += 1;
        extraCapacity = 0;
        completedTokens = 0;
        suspectedCrash = undefined;
    };

    return {
        current,
        stage: () => {
            if (current() >= settings().capacity) {
                return "warm";
            }
            return extraCapacity === 0 ? "cold" : "warming";
        },
        epoch: () => epoch,
        recordCompleted: (tokens, running) => {
            const { capacity, coldCapacity, warmUpTokens = defaultWarmUpTokens } = settings();
            completedTokens += tokens;
            // Work that leaves half of the places empty says nothing about a higher limit.
            const isLimitUtilized = running * 2 >= current();
            if (completedTokens >= warmUpTokens * warmUpFactor && isLimitUtilized) {
                extraCapacity = Math.min(extraCapacity + 1, Math.max(0, capacity - coldCapacity));
            }
        },
        halve: running => {
            const halved = Math.floor(Math.min(current(), running) / 2);
            extraCapacity = Math.max(0, halved - settings().coldCapacity);
            if (extraCapacity === 0) {
                resetToCold();
            }
        },
        suspectCrash: () => {
            suspectedCrash ??= { since: clock.now(), extraCapacityBefore: extraCapacity };
            extraCapacity = 0;
        },
        clearCrashSuspicion: takenAt => {
            if (suspectedCrash !== undefined && takenAt > suspectedCrash.since) {
                extraCapacity = Math.max(extraCapacity, suspectedCrash.extraCapacityBefore);
                suspectedCrash = undefined;
            }
        },
        recordCrash: () => {
            const { capacity, coldCapacity } = settings();
            const extraCapacityAtCrash = Math.max(extraCapacity, suspectedCrash?.extraCapacityBefore ?? 0);
            const wasWarmingUp = extraCapacityAtCrash > 0 && coldCapacity + extraCapacityAtCrash < capacity;
            warmUpFactor = wasWarmingUp ? Math.min(maximumWarmUpFactor, warmUpFactor * 2) : warmUpFactor;
            resetToCold();
        },
        resetToCold: resetToCold,
    };
};
