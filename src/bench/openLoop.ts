/**
 * Open-loop load: requests start by plan whether or not earlier ones have ended, so that a slow system can't slow its
 * own load down. Latencies count from the planned start.
 */
import { performance } from "node:perf_hooks";
import type { Clock } from "../state/types.js";

/** Starts `run` for each planned time, in milliseconds from now, and resolves when all have ended. */
export const runOpenLoop = async (
    arrivals: readonly number[],
    startRequest: (plannedAt: number, index: number) => Promise<void>,
    clock: Clock,
    signal: AbortSignal,
): Promise<void> => {
    const startedAt = performance.now();
    const requests: Promise<void>[] = [];
    for (const [index, arrival] of arrivals.entries()) {
        const plannedAt = startedAt + arrival;
        const delayMilliseconds = plannedAt - performance.now();
        if (delayMilliseconds > 0) {
            await clock.sleep(delayMilliseconds, signal);
        }
        if (signal.aborted) {
            break;
        }
        requests.push(startRequest(plannedAt, index));
    }
    await Promise.all(requests);
};
