/**
 * Which requests an entry still takes once it has been told to stop, and when it answers those that are unfinished.
 *
 * Callers don't learn at once that an entry leaves, so it takes what they send in the first seconds. Later it takes only
 * what is due before its end, and refuses the rest at once: a server's work on it could be cut off. What is unfinished
 * shortly before the end gets a final answer instead of a closed connection.
 */
import { setMaxListeners } from "node:events";
import type { Clock } from "../../state/types.js";
import type { IngressLog } from "./ingressLog.js";

/** Time within which callers learn that the entry leaves: two readiness checks a second apart, and a connection on its way. */
const noticeMilliseconds = 3_000;
/** Reserved at the end of the grace period to close connections before the process is killed. */
const shutdownMarginMilliseconds = 300;
/** Time to send the answers of unfinished requests. */
const finalAnswersMilliseconds = 200;

/** Why the requests that were unfinished at the end of the stop were aborted. */
export const stopReason = new Error("the entry has stopped");

export type PlannedStop = {
    begin: () => void;
    hasBegun: () => boolean;
    /** Aborts when unfinished requests are to be answered. */
    lastCall: AbortSignal;
    /** When connections have to be closed; Infinity before the stop has begun. */
    endsAt: () => number;
    /**
     * Whether a request may be taken whose answer is due at `dueAt`. `isBehindOthers`: its answer can't be sent before
     * others on its connection, so it is taken only if it is due in time.
     */
    admits: (dueAt: number, isBehindOthers: boolean) => boolean;
    /** Counts a request that is in progress; `abort` is called at the end of the stop. Returns what ends it. */
    track: (abort: (reason: Error) => void) => (hasFailed: boolean) => void;
    /** Waits for the time to answer unfinished requests, unless `isBusy` returns false before. */
    waitForRequests: (isBusy: () => boolean, checkMilliseconds: number, signal: AbortSignal) => Promise<void>;
};

export const createPlannedStop = (graceMilliseconds: number, clock: Clock, log: IngressLog): PlannedStop => {
    let begunAt: number | undefined;
    const lastCall = new AbortController();
    setMaxListeners(0, lastCall.signal);
    const running = new Set<(reason: Error) => void>();
    const counts = { finished: 0, failed: 0, refused: 0, cut: 0 };
    const endsAt = (): number => (begunAt ?? Infinity) + graceMilliseconds - shutdownMarginMilliseconds;
    const lastCallAt = (): number => endsAt() - finalAnswersMilliseconds;

    return {
        begin: () => {
            begunAt ??= clock.now();
        },
        hasBegun: () => begunAt !== undefined,
        lastCall: lastCall.signal,
        endsAt,
        admits: (dueAt, isBehindOthers) => {
            const isNoticed = begunAt !== undefined && (isBehindOthers || clock.now() - begunAt > noticeMilliseconds);
            const isAdmitted = !lastCall.signal.aborted && (!isNoticed || dueAt <= lastCallAt());
            counts.refused += isAdmitted ? 0 : 1;
            return isAdmitted;
        },
        track: abort => {
            running.add(abort);
            return hasFailed => {
                if (running.delete(abort) && begunAt !== undefined) {
                    counts[hasFailed ? "failed" : "finished"] += 1;
                }
            };
        },
        waitForRequests: async (isBusy, checkMilliseconds, signal) => {
            while (isBusy() && clock.now() < lastCallAt() && !signal.aborted) {
                await clock.sleep(checkMilliseconds, signal);
            }
            counts.cut = running.size;
            running.forEach(abort => abort(stopReason));
            running.clear();
            lastCall.abort(stopReason);
            while (isBusy() && clock.now() < endsAt() && !signal.aborted) {
                await clock.sleep(checkMilliseconds, signal);
            }
            log.stateChange("requests of the stop", { ...counts });
        },
    };
};
