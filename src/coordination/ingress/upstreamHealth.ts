/**
 * How each upstream did lately, seen from this entry's own requests.
 *
 * Health checks of the platform can be wrong either way, so only answers count. An upstream that can't be reached, or
 * that fails twice in a row, is passed over for a while that doubles with each further failure; then one request tries
 * it again. The answers' times give the measure by which plain upstreams are compared.
 */
import type { Clock } from "../../state/types.js";
import type { IngressLog } from "./ingressLog.js";

const initialEjectionMilliseconds = 600;
const maximumEjectionMilliseconds = 5_000;
/** One failure is likely an error of the request; two in a row are rare from a sound upstream, at 14% errors 2%. */
const consecutiveFailuresUntilEjection = 2;
/** Weight of the newest answer time: the last ten answers make up two thirds of the average. */
const smoothingFactor = 0.1;

type HealthRecord = {
    failures: number;
    ejectedUntil: number;
    nextEjectionMilliseconds: number;
    averageResponseMilliseconds: number | undefined;
};

export type UpstreamHealth = {
    recordSuccess: (id: string, milliseconds: number) => void;
    /** `isCertain`: the upstream can't be reached at all, so one failure is enough. */
    recordFailure: (id: string, isUnreachable: boolean, reason: string) => void;
    isPaused: (id: string) => boolean;
    /** Average time to an answer in milliseconds; undefined before the first. */
    answerMilliseconds: (id: string) => number | undefined;
};

export const createUpstreamHealth = (clock: Pick<Clock, "now">, log: IngressLog): UpstreamHealth => {
    const records = new Map<string, HealthRecord>();

    const recordOf = (id: string): HealthRecord => {
        const known = records.get(id)
            ?? {
                failures: 0,
                ejectedUntil: 0,
                nextEjectionMilliseconds: initialEjectionMilliseconds,
                averageResponseMilliseconds: undefined,
            };
        records.set(id, known);
        return known;
    };

    return {
        recordSuccess: (id, milliseconds) => {
            const record = recordOf(id);
            record.failures = 0;
            record.ejectedUntil = 0;
            record.nextEjectionMilliseconds = initialEjectionMilliseconds;
            record.averageResponseMilliseconds = record.averageResponseMilliseconds === undefined
                ? milliseconds
                : record.averageResponseMilliseconds
                    + (milliseconds - record.averageResponseMilliseconds) * smoothingFactor;
        },
        recordFailure: (id, isUnreachable, reason) => {
            const record = recordOf(id);
            record.failures += 1;
            const now = clock.now();
            if ((isUnreachable || record.failures >= consecutiveFailuresUntilEjection) && record.ejectedUntil <= now) {
                record.ejectedUntil = now + record.nextEjectionMilliseconds;
                log.stateChange("upstream passed over", {
                    id,
                    reason,
                    failures: record.failures,
                    forMilliseconds: record.nextEjectionMilliseconds,
                });
                record.nextEjectionMilliseconds = Math.min(
                    maximumEjectionMilliseconds,
                    record.nextEjectionMilliseconds * 2,
                );
            }
        },
        isPaused: id => (records.get(id)?.ejectedUntil ?? 0) > clock.now(),
        answerMilliseconds: id => records.get(id)?.averageResponseMilliseconds,
    };
};
