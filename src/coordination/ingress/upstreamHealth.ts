/**
 * Passive health tracking and outlier ejection of upstreams, based on this entry's own requests.
 *
 * The platform's health checks can give false results either way, so only responses count. An upstream that is
 * unreachable or fails twice in a row is ejected for a time that doubles with each further ejection; a usable response
 * resets it. The average response time also serves to select among the upstreams of unary requests.
 */
import type { Clock } from "../../state/types.js";
import type { IngressLog } from "./ingressLog.js";

const initialEjectionMilliseconds = 600;
const maximumEjectionMilliseconds = 5_000;
/** A single failure is probably due to the request; two in a row are rare from a healthy upstream: 2% at 14% errors. */
const consecutiveFailuresUntilEjection = 2;
/** Weight of the newest response time; the last ten responses make up two thirds of the average. */
const smoothingFactor = 0.1;

type HealthRecord = {
    failures: number;
    ejectedUntil: number;
    nextEjectionMilliseconds: number;
    averageResponseMilliseconds: number | undefined;
};

export type UpstreamHealth = {
    recordSuccess: (id: string, milliseconds: number) => void;
    /** `isUnreachable`: the upstream can't be reached at all, so that one failure is enough for an ejection. */
    recordFailure: (id: string, isUnreachable: boolean, reason: string) => void;
    isEjected: (id: string) => boolean;
    /** Moving average of the response time; undefined before the first response. */
    averageResponseMilliseconds: (id: string) => number | undefined;
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
                log.stateChange("upstream ejected", {
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
        isEjected: id => (records.get(id)?.ejectedUntil ?? 0) > clock.now(),
        averageResponseMilliseconds: id => records.get(id)?.averageResponseMilliseconds,
    };
};
