/**
 * How far a caller's stream has come, over all of its attempts.
 */
import type { IngressRoute } from "../../state/ingressTypes.js";
import type { StreamEvent, UnfinishedEvent } from "./eventSplitter.js";
import { type BodyEnding, isWholeBody } from "./upstreamAttempt.js";

export type StreamProgress = {
    lastEventId: string | undefined;
    events: number;
    firstEventAt: number | undefined;
    lastEventAt: number | undefined;
    /** Includes pauses between two attempts, while the stream was resumed. */
    longestPauseMilliseconds: number;
    /** Until when it was last held back for its caller; infinite while it is. */
    heldBackUntil: number;
    /** Part of an event with which the last attempt ended. */
    unfinished: Buffer | undefined;
};

/** Whether the event follows the last one that the caller has received; ids are increasing integers. */
export const isNewer = ({ id }: StreamEvent, { lastEventId }: StreamProgress): boolean =>
    lastEventId === undefined || id === undefined || Number(id) > Number(lastEventId);

/**
 * Whether a stream is whole that ended so, with `unfinished` behind its last event. Servers may leave out the empty line behind
 * it, or the line's end; but an end inside a line, or one that only the connection marks, may also be a cut. Then another
 * attempt tells, if there may be one: what ends the same way twice is the server's answer.
 */
export const isWholeStream = (
    ending: BodyEnding,
    unfinished: UnfinishedEvent | undefined,
    eventsInAttempt: number,
    route: Pick<IngressRoute, "isResumable">,
    progress: StreamProgress,
): boolean => {
    if (!isWholeBody(ending) || unfinished?.isWellFormed === false) {
        return false;
    }
    if (unfinished === undefined || unfinished.endsWithLine && ending.framing !== "connection") {
        return true;
    }
    const isConfirmed = eventsInAttempt === 0 && progress.unfinished?.equals(unfinished.bytes) === true;
    progress.unfinished = unfinished.bytes;
    return isConfirmed || !route.isResumable && ending.framing !== "connection";
};
