/**
 * Assembles what keeps an entry's requests within the limits that upstreams state: what is known of the limits, who
 * decides on each upstream, and the calls to the other entries that decide.
 */
import { createEntryRoster } from "../../coordination/ingress/entryRoster.js";
import type { PeerEntry } from "../../coordination/ingress/gossipSchedule.js";
import type { IngressLog } from "../../coordination/ingress/ingressLog.js";
import type { EntryStatus } from "../../coordination/ingress/peerStatusTable.js";
import { createStatedLimits, type StatedLimits } from "../../coordination/ingress/statedLimits.js";
import {
    createUpstreamLimits,
    type LimitedUpstream,
    type UpstreamLimits,
} from "../../coordination/ingress/upstreamLimits.js";
import type { Metrics } from "../../coordination/metrics.js";
import type { Clock } from "../../state/types.js";
import { createPermitClient } from "./requestPermitClient.js";

export type UpstreamRateLimiter = UpstreamLimits & {
    stated: StatedLimits;
    /** Takes in the statuses that were received from other entries. */
    recordStatuses: (statuses: EntryStatus[]) => void;
};

export type UpstreamRateLimiterOptions = {
    host: string;
    availabilityZone: string;
    /** All other known entries by host name. */
    knownEntries: ReadonlyMap<string, PeerEntry>;
    /** The upstreams in use. */
    upstreams: () => LimitedUpstream[];
    clock: Pick<Clock, "now">;
    log: IngressLog;
    metrics: Metrics;
};

export const createUpstreamRateLimiter = (options: UpstreamRateLimiterOptions): UpstreamRateLimiter => {
    const { knownEntries, clock, log } = options;
    const stated = createStatedLimits(clock, log);
    const roster = createEntryRoster(options);
    const askForPermit = createPermitClient();
    const limits = createUpstreamLimits({
        ...options,
        stated,
        roster,
        ask: (owner, question, signal) => askForPermit(knownEntries.get(owner)?.address ?? "", question, signal),
    });
    return {
        ...limits,
        stated,
        recordStatuses: statuses => {
            roster.recordHeard(statuses);
            statuses.forEach(({ statedLimits }) => stated.merge(statedLimits));
        },
    };
};
