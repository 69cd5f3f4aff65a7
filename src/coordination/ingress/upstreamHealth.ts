/**
 * How each upstream did lately, seen from this entry's own requests.
 *
 * Health checks of the platform can be wrong either way, so only answers count. An upstream that can't be reached, or
 * that fails twice in a row, is passed over for a while that doubles with each further failure; then one request tries
 * it again. The answers' times give the measure by which plain upstreams are compared.
 */
import type { Clock } from "../../state/types.js";
import type { IngressLog } from "./ingressLog.js";

const firstPauseMilliseconds = 600;
const longestPauseMilliseconds = 5_000;
/** One failure is likely an error of the request; two in a row are rare from a sound upstream, at 14% errors 2%. */
const failuresUntilPause = 2;
/** Weight of the newest answer time: the last ten answers make up two thirds of the average. */
const newestWeight = 0.1;

type Record = { failures: number; pausedUntil: number; pause: number; answerMilliseconds: number | undefined; };

export type UpstreamHealth = {
    recordAnswer: (id: string, milliseconds: number) => void;
    /** `isCertain`: the upstream can't be reached at all, so one failure is enough. */
    recordFailure: (id: string, isCertain: boolean, reason: string) => void;
    isPaused: (id: string) => boolean;
    /** Average time to an answer in milliseconds; undefined before the first. */
    answerMilliseconds: (id: string) => number | undefined;
};

export const createUpstreamHealth = (clock: Pick<Clock, "now">, log: IngressLog): UpstreamHealth => {
    const records = new Map<string, Record>();

    const recordOf = (id: string): Record => {
        const known = records.get(id)
            ?? { failures: 0, pausedUntil: 0, pause: firstPauseMilliseconds, answerMilliseconds: undefined };
        records.set(id, known);
        return known;
    };

    return {
        recordAnswer: (id, milliseconds) => {
            const record = recordOf(id);
            record.failures = 0;
            record.pausedUntil = 0;
            record.pause = firstPauseMilliseconds;
            record.answerMilliseconds = record.answerMilliseconds === undefined
                ? milliseconds
                : record.answerMilliseconds + (milliseconds - record.answerMilliseconds) * newestWeight;
        },
        recordFailure: (id, isCertain, reason) => {
            const record = recordOf(id);
            record.failures += 1;
            const now = clock.now();
            if ((isCertain || record.failures >= failuresUntilPause) && record.pausedUntil <= now) {
                record.pausedUntil = now + record.pause;
                log.belief("upstream passed over", {
                    id,
                    reason,
                    failures: record.failures,
                    forMilliseconds: record.pause,
                });
                record.pause = Math.min(longestPauseMilliseconds, record.pause * 2);
            }
        },
        isPaused: id => (records.get(id)?.pausedUntil ?? 0) > clock.now(),
        answerMilliseconds: id => records.get(id)?.answerMilliseconds,
    };
};
