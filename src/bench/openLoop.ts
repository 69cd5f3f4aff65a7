/**
 * Open-loop load generator: requests start as planned whether or not earlier ones have ended, so that a slow system
 * does not reduce its own load. Latencies count from the planned start, which avoids coordinated omission.
 */
import { performance } from "node:perf_hooks";
import type { Clock } from "../state/types.js";

/** Calls `startRequest` at each planned time, in milliseconds from now, and resolves when all requests have ended. */
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
