/**
 * Adaptive concurrency limit of one upstream: how many requests it can run at once.
 *
 * The limit starts at the cold capacity and grows only on evidence from completed requests. The first increase requires
 * `warmUpTokens` of completed work; after that, each completed request raises the limit by one, as long as at least
 * half of it is in use. The limit is halved when the step time rises, and falls back to the cold capacity after a
 * crash. A crash while the limit was growing shows that the evidence was insufficient, so the next warm-up requires
 * twice as much.
 *
 * A broken connection may mean a crash or a single interrupted stream. The limit is zero until a later report tells
 * which, because requests sent to an upstream that is restarting would be lost as well.
 */
import type { Clock } from "../state/types.js";

export type ConcurrencyLimitSettings = {
    /** Maximum number of concurrent requests of a warm upstream. */
    capacity: number;
    /** Maximum number of concurrent requests of a cold upstream. */
    coldCapacity: number;
    /** Tokens of completed work that are required before the limit of a cold upstream grows. */
    warmUpTokens?: number;
};

export type ConcurrencyLimit = {
    /** Maximum number of concurrent requests now. */
    current: () => number;
    stage: () => "cold" | "warming" | "warm";
    /** Increases with each reset, so that requests admitted before it do not count as evidence after it. */
    epoch: () => number;
    /** Records `tokens` of completed work, done while `running` requests ran. */
    recordCompleted: (tokens: number, running: number) => void;
    /** Halves the limit, or the number of running requests if that is lower. */
    halve: (running: number) => void;
    /** Sets the limit to zero until the suspicion is cleared or the limit is reset. */
    suspectCrash: () => void;
    /**
     * Restores the limit if the suspicion is older than `takenAt`, the time of a report that shows no crash, in
     * milliseconds by the clock.
     */
    clearCrashSuspicion: (takenAt: number) => void;
    /** Resets to cold after a crash; if the limit was growing, doubles the evidence that the next warm-up requires. */
    recordCrash: () => void;
    /** Resets to cold and leaves the required evidence unchanged. */
    resetToCold: () => void;
};

const defaultWarmUpTokens = 2_000;
const maximumWarmUpFactor = 64;

export const createConcurrencyLimit = (
    clock: Pick<Clock, "now">,
    settings: () => ConcurrencyLimitSettings,
): ConcurrencyLimit => {
    let epoch = 0;
    /** Capacity above the cold capacity, earned by completed work. */
    let extraCapacity = 0;
    let completedTokens = 0;
    let warmUpFactor = 1;
    /** Set while a broken connection may have been a crash; keeps the extra capacity to restore. */
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
            // Completions at less than half utilization are no evidence for a higher limit.
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
        resetToCold,
    };
};
