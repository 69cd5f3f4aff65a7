/**
 * Finishes the requests of a listener for callers before the process stops.
 */
import type { PlannedStop } from "../../coordination/ingress/plannedStop.js";
import type { Clock } from "../../state/types.js";
import type { CallerServer } from "./callerServer.js";

/**
 * The platform's load balancer removes a daemon after two failed readiness checks, one a second; connections that are
 * being established then may still arrive.
 */
const idleCloseDelayMilliseconds = 2_600;
const drainCheckMilliseconds = 50;

/** Closes the listener once its requests are finished or the grace period ends. */
export const drainCallers = async (
    callers: CallerServer,
    stop: PlannedStop,
    clock: Clock,
    signal: AbortSignal,
): Promise<void> => {
    callers.startDraining();
    await clock.sleep(idleCloseDelayMilliseconds, signal);
    const isBusy = (): boolean => {
        callers.closeIdle();
        return callers.isBusy();
    };
    await stop.waitForRequests(isBusy, drainCheckMilliseconds, signal);
    callers.close();
};
