/**
 * How far a caller's stream has come, over all of its attempts.
 */
import type { StreamEvent } from "./eventSplitter.js";

export type StreamProgress = {
    lastEventId: string | undefined;
    events: number;
    firstEventAt: number | undefined;
    lastEventAt: number | undefined;
    /** Includes pauses between two attempts, while the stream was resumed. */
    longestPauseMilliseconds: number;
    /** Until when it was last held back for its caller; infinite while it is. */
    heldBackUntil: number;
};

/** Whether the event follows the last one that the caller has received; ids are increasing integers. */
export const isNewer = ({ id }: StreamEvent, { lastEventId }: StreamProgress): boolean =>
    lastEventId === undefined || id === undefined || Number(id) > Number(lastEventId);
