/**
 * Lets streams wait while no group of their service is running.
 *
 * Answers a zone that is cut off or a rank that dies, after which a group serves nothing for 5 to 8 seconds. A caller
 * retries once, within a third of the time it has left, so it is refused at once on its first attempt, with the longest
 * useful retry time. On its second attempt another refusal would be final: it waits for as long as it would accept the
 * first event, and is served late if a group recovers by then.
 */
import type { Clock, RandomNumber } from "../../state/types.js";
import type { RequestContext } from "./requestContext.js";

export type RecoveryWait = {
    /**
     * Resolves to true once a group of the service runs, or to false if the stream shouldn't wait any longer, or not at
     * all.
     */
    untilRecovered: (context: RecoveryRequest) => Promise<boolean>;
    /** Streams that wait now. */
    waiting: () => number;
};

export type RecoveryRequest = Pick<
    RequestContext,
    "service" | "route" | "arrivedAt" | "callerDeadlineAt" | "responseDueAt" | "signal"
>;

export type RecoveryWaitOptions = {
    clock: Clock;
    random: RandomNumber;
    /** Whether all groups of the service are stalled; the service is served again once one of them recovers. */
    isRecovering: (service: string) => boolean;
};

/**
 * A caller that has been refused before has less time left than its route allows; one that waited for the shortest
 * retry time has lost a tenth of it.
 */
const returnedPatienceShare = 0.9;
/** Callers disconnect after so long without an event, or some multiples of their objectives if these are longer. */
const callerSilenceMilliseconds = 2_000;
const callerSilenceObjectives = 4;
const callerSilenceGapTargets = 8;
/** Connecting, reading the prompt, and the first pass of a group that many streams start on at once. */
const firstEventMilliseconds = 400;
/** A fraction of the time that it takes to notice that a group runs again. */
const checkMilliseconds = 50;
/** Entries see a recovery at about the same time, and their counts of each other are some tenths of a second old. */
const startSpreadMilliseconds = 250;

/** The latest time at which a stream may start so that its first event finds the caller still there. */
const latestStart = ({ route, arrivedAt, responseDueAt }: RecoveryRequest): number => {
    const silenceMilliseconds = Math.max(
        callerSilenceMilliseconds,
        callerSilenceObjectives * route.objectiveMilliseconds,
        callerSilenceGapTargets * route.gapTargetMilliseconds,
    );
    return Math.min(arrivedAt + silenceMilliseconds, responseDueAt) - firstEventMilliseconds;
};

const hasReturned = ({ route, arrivedAt, callerDeadlineAt }: RecoveryRequest): boolean =>
    callerDeadlineAt - arrivedAt < route.timeoutMilliseconds * returnedPatienceShare;

export const createRecoveryWait = ({ clock, random, isRecovering }: RecoveryWaitOptions): RecoveryWait => {
    let waiting = 0;
    return {
        untilRecovered: async context => {
            const { service, signal } = context;
            if (!hasReturned(context)) {
                return false;
            }
            const spreadMilliseconds = random() * startSpreadMilliseconds;
            const waitUntil = latestStart(context) - spreadMilliseconds;
            waiting += 1;
            while (isRecovering(service) && clock.now() < waitUntil && !signal.aborted) {
                await clock.sleep(checkMilliseconds, signal);
            }
            const hasRecovered = !isRecovering(service);
            if (hasRecovered) {
                await clock.sleep(spreadMilliseconds, signal);
            }
            waiting -= 1;
            return hasRecovered && !signal.aborted;
        },
        waiting: () => waiting,
    };
};
