/**
 * Detects that a lock-step group has stalled, and that it runs again.
 *
 * A rank that dies or is partitioned stalls its whole group, which then sends nothing for over a second. All streams of
 * the group go silent together, so an entry detects the stall within a few passes and sends no more requests there. It
 * then queries the group's engines, one at a time, until one reports that the group is open and making progress.
 */
import type { Clock } from "../../state/types.js";
import type { IngressLog } from "./ingressLog.js";

/** What an engine reports about its group. */
export type GroupProgress = { isOpen: boolean; epoch: number; step: number; };

export type GroupStallDetector = {
    /** Records an event of any stream of the group; a stalled group counts as running again. */
    recordEvent: () => void;
    /** Counts a stream whose first event has arrived, until `recordStreamEnd`. */
    recordStreamStart: () => void;
    recordStreamEnd: () => void;
    /** Reports an attempt without a usable response; the group counts as stalled if all its streams are silent too. */
    reportLoss: (reason: string) => void;
    /** Reports that the platform lists the group as broken; ignored if an engine has reported a later epoch as open. */
    reportListedBroken: (epoch: number) => void;
    isRunning: () => boolean;
};

export type GroupStallDetectorOptions = {
    group: string;
    /** Queries an engine of the group; undefined if it doesn't respond. */
    queryEngine: (signal: AbortSignal) => Promise<GroupProgress | undefined>;
    clock: Clock;
    log: IngressLog;
    signal: AbortSignal;
};

/** Four passes of a heavily loaded group. */
export const stallTimeoutMilliseconds = 420;
const queryIntervalMilliseconds = 250;
/**
 * A group that reports itself open for this long has no dead rank, even if it makes no progress as it is idle: a stall
 * ends within 1.5 s, and reports lag by 0.2 s.
 */
const openConfirmationMilliseconds = 1_800;

export const createGroupStallDetector = (
    { group, queryEngine, clock, log, signal }: GroupStallDetectorOptions,
): GroupStallDetector => {
    let activeStreams = 0;
    let lastEventAt = clock.now();
    let stalledSince: number | undefined;
    let lastOpenEpoch = -1;

    const markRunning = (reason: string): void => {
        if (stalledSince !== undefined) {
            log.stateChange("group recovered", { group, reason, stalledFor: Math.round(clock.now() - stalledSince) });
            stalledSince = undefined;
            // Restarts the timeout, so that streams which are still silent don't mark the group as stalled at once.
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
                    markRunning(`open in epoch ${progress.epoch} at step ${progress.step}`);
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
            markRunning("an event arrived");
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
                markStalled("the platform lists the group as broken");
            }
        },
        isRunning: () => {
            if (activeStreams > 0 && clock.now() - lastEventAt > stallTimeoutMilliseconds) {
                markStalled("all streams are silent");
            }
            return stalledSince === undefined;
        },
    };
};
