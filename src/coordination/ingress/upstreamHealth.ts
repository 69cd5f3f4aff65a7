/**
 * Passive health tracking and outlier ejection of upstreams, based on this entry's own requests.
 *
 * The platform's health checks can give false results either way, so only responses count. An upstream that is
 * unreachable or fails twice in a row is ejected for a time that doubles with each further ejection; a usable response
 * resets it.
 */
import type { Clock } from "../../state/types.js";
import type { IngressLog } from "./ingressLog.js";

const initialEjectionMilliseconds = 600;
const maximumEjectionMilliseconds = 5_000;
/** A single failure is probably due to the request; two in a row are rare from a healthy upstream: 2% at 14% errors. */
const consecutiveFailuresUntilEjection = 2;

type HealthRecord = {
    failures: number;
    ejectedUntil: number;
    nextEjectionMilliseconds: number;
};

export type UpstreamHealth = {
    recordSuccess: (id: string) => void;
    /** `isUnreachable`: the upstream can't be reached at all, so that one failure is enough for an ejection. */
    recordFailure: (id: string, isUnreachable: boolean, reason: string) => void;
    isEjected: (id: string) => boolean;
};

export const createUpstreamHealth = (clock: Pick<Clock, "now">, log: IngressLog): UpstreamHealth => {
    const records = new Map<string, HealthRecord>();

    const recordOf = (id: string): HealthRecord => {
        const known = records.get(id)
            ?? {
                failures: 0,
                ejectedUntil: 0,
                nextEjectionMilliseconds: initialEjectionMilliseconds,
            };
        records.set(id, known);
        return known;
    };

    return {
        recordSuccess: id => {
            const record = recordOf(id);
            record.failures = 0;
            record.ejectedUntil = 0;
            record.nextEjectionMilliseconds = initialEjectionMilliseconds;
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
    };
};
