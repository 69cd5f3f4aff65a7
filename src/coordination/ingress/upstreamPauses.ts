/**
 * Pauses that upstreams ask for: one that turns a request away may state for how long it wants nothing more from this
 * entry.
 *
 * A pause holds for the entry that was told and for the run of the upstream that told it, so it is neither passed on to
 * other entries nor kept for the upstream's next run. A later, shorter pause does not end an earlier one.
 */
import { err, ok, type Result } from "neverthrow";
import type { Clock } from "../../state/types.js";
import type { IngressLog } from "./ingressLog.js";
import { keyOfRun, type UpstreamRun } from "./upstreamRun.js";

export type UpstreamPauses = {
    /** Records the pause that an upstream asked for, in seconds as it stated them. */
    record: (upstream: UpstreamRun, statedSeconds: string) => void;
    isPaused: (upstream: UpstreamRun) => boolean;
    /** Time until the first of these upstreams takes work again; undefined if there are none or one takes work now. */
    millisecondsUntilFirst: (upstreams: UpstreamRun[]) => number | undefined;
};

/** A longer pause is cut to this, so that a server's mistake does not take it out of use for good. */
const maximumPauseMilliseconds = 3_600_000;
const millisecondsPerSecond = 1_000;

/** Milliseconds of a stated number of seconds, which may have a fraction. */
const parsePause = (statedSeconds: string): Result<number, string> => {
    const seconds = Number(statedSeconds);
    return statedSeconds.trim() === "" || !Number.isFinite(seconds) || seconds < 0
        ? err(`"${statedSeconds}" is not a number of seconds`)
        : ok(Math.min(maximumPauseMilliseconds, seconds * millisecondsPerSecond));
};

export const createUpstreamPauses = (clock: Pick<Clock, "now">, log: IngressLog): UpstreamPauses => {
    const pausedUntil = new Map<string, number>();

    const remaining = (upstream: UpstreamRun): number =>
        (pausedUntil.get(keyOfRun(upstream)) ?? -Infinity) - clock.now();

    const forgetPast = (): void => {
        [...pausedUntil].filter(([, until]) => until <= clock.now()).forEach(([key]) => pausedUntil.delete(key));
    };

    return {
        record: (upstream, statedSeconds) =>
            parsePause(statedSeconds).match(
                milliseconds => {
                    forgetPast();
                    if (milliseconds > Math.max(0, remaining(upstream))) {
                        pausedUntil.set(keyOfRun(upstream), clock.now() + milliseconds);
                        log.stateChange("upstream asks for a pause", { id: upstream.id, milliseconds });
                    }
                },
                reason => log.stateChange("pause ignored", { id: upstream.id, reason }),
            ),
        isPaused: upstream => remaining(upstream) > 0,
        millisecondsUntilFirst: upstreams => {
            const first = Math.min(...upstreams.map(remaining));
            return upstreams.length > 0 && first > 0 ? first : undefined;
        },
    };
};
