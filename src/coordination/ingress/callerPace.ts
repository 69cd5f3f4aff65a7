/**
 * Holds a stream back for a caller that reads slowly, so that its server is read only as fast as the caller reads.
 *
 * Until the stream has caught up with its server, the times of its events are the caller's doing: they are kept from the
 * group's concurrency limit and stall detector, and from the move of silent streams.
 */
import type { Clock } from "../../state/types.js";
import type { ResponseSink } from "./requestContext.js";
import type { StreamReservation } from "./streamScheduler.js";

export type CallerPace = {
    /** Called when a chunk has arrived, and when its events have been written. */
    beginChunk: () => void;
    endChunk: () => void;
    /** Whether the events of this chunk may have waited for the caller. */
    isBehind: () => boolean;
    /** Whether the stream was ever held back; a cut by its server may be noticed long after it. */
    wasHeldBack: () => boolean;
    /** Resolves when the caller has read enough; undefined if the stream may go on at once. */
    waitForCaller: () => Promise<void> | undefined;
};

/** What has waited in a connection's buffers arrives within this time; a group takes longer for one pass. */
const caughtUpAfterMilliseconds = 20;

export const createCallerPace = (
    sink: ResponseSink,
    reservation: Pick<StreamReservation, "setHeldBack">,
    /** Until when the stream was held back; infinite while it is. */
    progress: { heldBackUntil: number; },
    clock: Pick<Clock, "now">,
    signal: AbortSignal,
): CallerPace => {
    let isBehind = false;
    let hasCaughtUp = false;
    let wasHeldBack = false;
    let askedAt = clock.now();

    const hold = async (writable: Promise<void>): Promise<void> => {
        isBehind = true;
        wasHeldBack = true;
        hasCaughtUp = false;
        progress.heldBackUntil = Infinity;
        reservation.setHeldBack(true);
        await writable;
        progress.heldBackUntil = clock.now();
    };

    return {
        beginChunk: () => {
            hasCaughtUp = isBehind && clock.now() - askedAt >= caughtUpAfterMilliseconds;
        },
        endChunk: () => {
            askedAt = clock.now();
            if (hasCaughtUp) {
                isBehind = false;
                hasCaughtUp = false;
                reservation.setHeldBack(false);
            }
        },
        isBehind: () => isBehind,
        wasHeldBack: () => wasHeldBack,
        waitForCaller: () => {
            const writable = sink.whenWritable?.(signal);
            return writable === undefined ? undefined : hold(writable);
        },
    };
};
