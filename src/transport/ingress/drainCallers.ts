/**
 * Finishes the requests of a listener for callers before the process stops.
 */
import type { Clock } from "../../state/types.js";
import type { CallerServer } from "./callerServer.js";

/**
 * The platform's load balancer removes a daemon after two failed readiness checks, one a second; connections that are
 * being established then may still arrive.
 */
const idleCloseDelayMilliseconds = 2_600;
/** Reserved at the end of the grace period to close connections before the process is killed. */
const shutdownMarginMilliseconds = 300;
const drainCheckMilliseconds = 50;

/** Closes the listener once its requests are finished or the grace period ends. */
export const drainCallers = async (
    callers: CallerServer,
    gracePeriodMilliseconds: number,
    clock: Clock,
    signal: AbortSignal,
): Promise<void> => {
    callers.startDraining();
    const startedAt = clock.now();
    await clock.sleep(idleCloseDelayMilliseconds, signal);
    do {
        callers.closeIdle();
        await clock.sleep(drainCheckMilliseconds, signal);
    }
    while (callers.isBusy() && clock.now() - startedAt < gracePeriodMilliseconds - shutdownMarginMilliseconds);
    callers.close();
};
