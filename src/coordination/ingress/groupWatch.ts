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

export type GroupWatch = {
    /** An event of a stream arrived. */
    recordEvent: () => void;
    /** A stream that had begun is with the group; `ended` takes it off. */
    streamBegan: () => void;
    streamEnded: () => void;
    /** A sending got no answer, or the group's word that it can't run it. */
    suspect: (reason: string) => void;
    /** The platform's list says that the group is broken; older news than an engine's own are ignored. */
    listedBroken: (epoch: number) => void;
    isRunning: () => boolean;
};

export type GroupWatchOptions = {
    group: string;
    /** Asks an engine of the group; undefined if none answers. */
    ask: (signal: AbortSignal) => Promise<GroupProgress | undefined>;
    clock: Clock;
    log: IngressLog;
    signal: AbortSignal;
};

/** Silence of all streams after which a group counts as stalled: four passes of a heavily loaded group. */
export const stallMilliseconds = 420;
const askMilliseconds = 250;
/** A group that says for this long that it is open has no dead rank: stalls end within 1.5 s, and reports lag 0.2 s. */
const soundMilliseconds = 1_800;

export const createGroupWatch = ({ group, ask, clock, log, signal }: GroupWatchOptions): GroupWatch => {
    let streams = 0;
    let lastEventAt = clock.now();
    let stalledSince: number | undefined;
    let lastOpenEpoch = -1;

    const reopen = (reason: string): void => {
        if (stalledSince !== undefined) {
            log.belief("group runs again", { group, reason, stalledFor: Math.round(clock.now() - stalledSince) });
            stalledSince = undefined;
            // Streams that are still silent get a whole window before they count against the group again.
            lastEventAt = clock.now();
        }
    };

    const askUntilOpen = async (): Promise<void> => {
        let before: GroupProgress | undefined;
        let openSince: number | undefined;
        while (stalledSince !== undefined && !signal.aborted) {
            const progress = await ask(signal);
            if (progress !== undefined) {
                openSince = progress.isOpen ? openSince ?? clock.now() : undefined;
                const isMoving = before !== undefined
                    && (progress.step !== before.step || progress.epoch !== before.epoch);
                const isSound = openSince !== undefined && clock.now() - openSince > soundMilliseconds;
                if (progress.isOpen && (isMoving || isSound)) {
                    lastOpenEpoch = progress.epoch;
                    reopen(`open in epoch ${progress.epoch} at pass ${progress.step}`);
                    return;
                }
                before = progress;
            }
            await clock.sleep(askMilliseconds, signal);
        }
    };

    const stall = (reason: string): void => {
        if (stalledSince === undefined) {
            stalledSince = clock.now();
            log.belief("group stalled", { group, reason, streams, silentFor: Math.round(clock.now() - lastEventAt) });
            void askUntilOpen();
        }
    };

    return {
        recordEvent: () => {
            lastEventAt = clock.now();
            reopen("events arrive");
        },
        streamBegan: () => {
            streams += 1;
            lastEventAt = clock.now();
        },
        streamEnded: () => {
            streams -= 1;
        },
        suspect: reason => {
            if (clock.now() - lastEventAt > stallMilliseconds) {
                stall(reason);
            }
        },
        listedBroken: epoch => {
            if (epoch >= lastOpenEpoch) {
                stall("listed as broken");
            }
        },
        isRunning: () => {
            if (streams > 0 && clock.now() - lastEventAt > stallMilliseconds) {
                stall("no event of any stream");
            }
            return stalledSince === undefined;
        },
    };
};
