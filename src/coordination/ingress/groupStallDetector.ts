/**
 * Whether a lock-step group runs, as this entry sees it.
 *
 * A rank that dies or is cut off stalls its whole group, which then answers nothing for over a second. All streams of the
 * group fall silent together, so the entry notices within a few passes and stops sending there. From then on it asks
 * the group's engines, one at a time, and sends again once one says that the group is open and its passes go on.
 */
import type { Clock } from "../../state/types.js";
import type { IngressLog } from "./ingressLog.js";

/** What an engine says of its group. */
export type GroupProgress = { isOpen: boolean; epoch: number; step: number; };

export type GroupStallDetector = {
    /** An event of a stream arrived. */
    recordEvent: () => void;
    /** A stream that had begun is with the group; `ended` takes it off. */
    recordStreamStart: () => void;
    recordStreamEnd: () => void;
    /** A sending got no answer, or the group's word that it can't run it. */
    reportLoss: (reason: string) => void;
    /** The platform's list says that the group is broken; older news than an engine's own are ignored. */
    reportListedBroken: (epoch: number) => void;
    isRunning: () => boolean;
};

export type GroupStallDetectorOptions = {
    group: string;
    /** Asks an engine of the group; undefined if none answers. */
    queryEngine: (signal: AbortSignal) => Promise<GroupProgress | undefined>;
    clock: Clock;
    log: IngressLog;
    signal: AbortSignal;
};

/** Silence of all streams after which a group counts as stalled: four passes of a heavily loaded group. */
export const stallTimeoutMilliseconds = 420;
const queryIntervalMilliseconds = 250;
/** A group that says for this long that it is open has no dead rank: stalls end within 1.5 s, and reports lag 0.2 s. */
const openConfirmationMilliseconds = 1_800;

export const createGroupStallDetector = (
    { group, queryEngine: queryEngine, clock, log, signal }: GroupStallDetectorOptions,
): GroupStallDetector => {
    let activeStreams = 0;
    let lastEventAt = clock.now();
    let stalledSince: number | undefined;
    let lastOpenEpoch = -1;

    const markRunning = (reason: string): void => {
        if (stalledSince !== undefined) {
            log.stateChange("group runs again", { group, reason, stalledFor: Math.round(clock.now() - stalledSince) });
            stalledSince = undefined;
            // Streams that are still silent get a whole window before they count against the group again.
            lastEventAt = clock.now();
        }
    };

    const pollUntilOpen = async (): Promise<void> => {
        let previousProgress: GroupProgress | undefined;
        let openSince: number | undefined;
        while (stalledSince !== undefined && !signal.aborted) {
            const progress = await queryEngine(signal);
            if (progress !== undefined) {
                openSince = progress.isOpen ? openSince ?? clock.now() : undefined;
                const isProgressing = previousProgress !== undefined
                    && (progress.step !== previousProgress.step || progress.epoch !== previousProgress.epoch);
                const isConfirmedOpen = openSince !== undefined
                    && clock.now() - openSince > openConfirmationMilliseconds;
                if (progress.isOpen && (isProgressing || isConfirmedOpen)) {
                    lastOpenEpoch = progress.epoch;
                    markRunning(`open in epoch ${progress.epoch} at pass ${progress.step}`);
                    return;
                }
                previousProgress = progress;
            }
            await clock.sleep(queryIntervalMilliseconds, signal);
        }
    };

    const markStalled = (reason: string): void => {
        if (stalledSince === undefined) {
            stalledSince = clock.now();
            log.stateChange("group stalled", {
                group,
                reason,
                streams: activeStreams,
                silentFor: Math.round(clock.now() - lastEventAt),
            });
            void pollUntilOpen();
        }
    };

    return {
        recordEvent: () => {
            lastEventAt = clock.now();
            markRunning("events arrive");
        },
        recordStreamStart: () => {
            activeStreams += 1;
            lastEventAt = clock.now();
        },
        recordStreamEnd: () => {
            activeStreams -= 1;
        },
        reportLoss: reason => {
            if (clock.now() - lastEventAt > stallTimeoutMilliseconds) {
                markStalled(reason);
            }
        },
        reportListedBroken: epoch => {
            if (epoch >= lastOpenEpoch) {
                markStalled("listed as broken");
            }
        },
        isRunning: () => {
            if (activeStreams > 0 && clock.now() - lastEventAt > stallTimeoutMilliseconds) {
                markStalled("no event of any stream");
            }
            return stalledSince === undefined;
        },
    };
};
