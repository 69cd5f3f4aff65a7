/**
 * An entry's view of its deployment: the active configuration, evacuated zones and usable upstreams.
 *
 * A configuration is never replaced by one of a lower version. Upstreams whose records expired while the store was
 * unavailable, or are missing as it came back from an older copy, get a grace period after its return to register again
 * before they count as gone. An upstream that says in a response
 * that it is leaving gets nothing more until its next run, whatever the list says.
 */
import { isDeepStrictEqual } from "node:util";
import type { IngressConfiguration, Upstream } from "../../state/ingressTypes.js";
import type { Clock } from "../../state/types.js";
import type { FeedRecord, FeedSink } from "./deploymentFeed.js";
import type { IngressLog } from "./ingressLog.js";
import type { DeploymentTopic } from "./recordSource.js";
import { compileRouteTable, type RouteTable } from "./routeTable.js";

/** Within this time after the store's return, live upstreams have registered again. */
const relistGraceMilliseconds = 2_000;

/** Upstreams that are remembered as leaving. */
const maximumLeavingUpstreams = 1_000;

export type KnownUpstream = Upstream & {
    /** Set if its record is missing since an outage of the store: when it counts as gone unless it registers again. */
    goneAt: number | undefined;
};

export type DeploymentState = FeedSink & {
    /** Undefined until a configuration is known. */
    routeTable: () => RouteTable | undefined;
    /**
     * Activates a configuration from `source` unless one of a higher version, or the same one, is active; returns whether it
     * did.
     */
    acceptConfiguration: (configuration: IngressConfiguration, source: string) => boolean;
    /**
     * Records that the run of an upstream that began at `bornAt` is leaving, as `source` tells. Ignored if the upstream
     * is not listed or has started again since.
     */
    markLeaving: (id: string, bornAt: number, source: string) => void;
    /** Whether the upstream is draining, said that it leaves, or is no longer listed. */
    isLeaving: (id: string) => boolean;
    /** Leaving upstreams that the list does not show as draining yet, with the start times of those runs. */
    leavingToGossip: () => Record<string, number>;
    /** Upstreams of `service` that may receive new requests. */
    usable: (service: string) => KnownUpstream[];
    all: () => KnownUpstream[];
    evacuatedZones: () => string[];
};

export const createDeploymentState = (clock: Pick<Clock, "now">, log: IngressLog): DeploymentState => {
    let table: RouteTable | undefined;
    const evacuatedZones = new Set<string>();
    const upstreams = new Map<string, KnownUpstream>();
    /** Start time of the run that is leaving, by upstream id. */
    const leaving = new Map<string, number>();
    let graceUntil = 0;
    /** Whether the store answers no read of the list of upstreams. */
    let isListUnavailable = false;

    const acceptConfiguration = (configuration: IngressConfiguration, source: string): boolean => {
        const known = table?.configuration.version;
        if (known !== undefined && known > configuration.version) {
            return false;
        }
        // A version whose record the store lost may be written once more with other contents.
        if (known === configuration.version && isDeepStrictEqual(table?.configuration, configuration)) {
            return false;
        }
        table = compileRouteTable(configuration);
        log.stateChange("configuration in force", { version: configuration.version, previous: known, source });
        return true;
    };

    const upsertUpstream = (upstream: Upstream): void => {
        const known = upstreams.get(upstream.id);
        if (upstream.bornAt > (leaving.get(upstream.id) ?? Infinity)) {
            leaving.delete(upstream.id);
        }
        upstreams.set(upstream.id, { ...upstream, goneAt: undefined });
        if (known === undefined || known.isDraining !== upstream.isDraining || known.bornAt !== upstream.bornAt) {
            const { id, service, address, availabilityZone, isDraining, coldMilliseconds } = upstream;
            const group = upstream.group?.name;
            log.stateChange("upstream listed", {
                id,
                service,
                address,
                upstreamZone: availabilityZone,
                group,
                isDraining,
                coldMilliseconds,
            });
        }
    };

    const dropOldestLeaving = (): void => {
        const [oldest] = leaving.keys();
        if (leaving.size > maximumLeavingUpstreams && oldest !== undefined) {
            leaving.delete(oldest);
        }
    };

    const removeUpstream = (id: string, reason: string): void => {
        const known = upstreams.get(id);
        if (known === undefined) {
            return;
        }
        const isWithinGrace = isListUnavailable || clock.now() < graceUntil;
        if (isWithinGrace && !known.isDraining) {
            upstreams.set(id, { ...known, goneAt: graceUntil });
        }
        else {
            upstreams.delete(id);
        }
        log.stateChange("upstream unlisted", {
            id,
            service: known.service,
            reason,
            keptFor: isWithinGrace ? relistGraceMilliseconds : 0,
        });
    };

    const setZoneEvacuated = (availabilityZone: string, isEvacuated: boolean): void => {
        if (evacuatedZones.has(availabilityZone) !== isEvacuated) {
            if (isEvacuated) {
                evacuatedZones.add(availabilityZone);
            }
            else {
                evacuatedZones.delete(availabilityZone);
            }
            log.stateChange(isEvacuated ? "zone evacuated" : "zone returned", { zone: availabilityZone });
        }
    };

    const handlers: { [Kind in FeedRecord["kind"]]: (record: Extract<FeedRecord, { kind: Kind; }>) => void; } = {
        "configuration": ({ configuration }) => void acceptConfiguration(configuration, "store"),
        "zone-evacuated": ({ availabilityZone }) => setZoneEvacuated(availabilityZone, true),
        "zone-returned": ({ availabilityZone }) => setZoneEvacuated(availabilityZone, false),
        "upstream": ({ upstream }) => upsertUpstream(upstream),
        "upstream-gone": ({ id }) => removeUpstream(id, "its record was removed"),
        "unreadable": ({ key, reason }) => {
            log.stateChange("record ignored", { key, reason });
            removeUpstream(key, "its record can't be decoded");
        },
    };

    const apply = (records: FeedRecord[]): void => {
        for (const record of records) {
            (handlers[record.kind] as (record: FeedRecord) => void)(record);
        }
    };

    const removeUnlisted: Record<DeploymentTopic, (records: FeedRecord[]) => void> = {
        operator: records => {
            const listed = new Set(
                records.flatMap(record => record.kind === "zone-evacuated" ? record.availabilityZone : []),
            );
            [...evacuatedZones].filter(zone => !listed.has(zone)).forEach(zone => setZoneEvacuated(zone, false));
        },
        upstreams: records => {
            const listed = new Set(records.flatMap(record => record.kind === "upstream" ? record.upstream.id : []));
            [...upstreams.keys()].filter(id => !listed.has(id)).forEach(id => removeUpstream(id, "no longer listed"));
        },
    };

    /** Upstreams that the store has forgotten count as gone after a while unless they register again. */
    const keepUnlisted = (upstream: Upstream): void => {
        const goneAt = upstreams.get(upstream.id)?.goneAt ?? clock.now() + relistGraceMilliseconds;
        upsertUpstream(upstream);
        upstreams.set(upstream.id, { ...upstream, goneAt });
        log.stateChange("upstream unlisted", {
            id: upstream.id,
            service: upstream.service,
            reason: "the store came back from an older copy",
            keptFor: relistGraceMilliseconds,
        });
    };

    const applyUnlisted: Record<DeploymentTopic, (records: FeedRecord[]) => void> = {
        // They hold until the operator writes again.
        operator: apply,
        upstreams: records =>
            records.forEach(record => {
                if (record.kind === "upstream") {
                    keepUnlisted(record.upstream);
                }
            }),
    };

    const isUsable = ({ id, isDraining, goneAt, availabilityZone }: KnownUpstream): boolean =>
        !isDraining && !leaving.has(id) && !evacuatedZones.has(availabilityZone)
        && (goneAt === undefined || isListUnavailable || clock.now() < goneAt);

    return {
        replace: (topic, records, unlisted = []) => {
            removeUnlisted[topic]([...records, ...unlisted]);
            apply(records);
            applyUnlisted[topic](unlisted);
        },
        apply,
        markLeaving: (id, bornAt, source) => {
            const known = upstreams.get(id);
            if (known === undefined || known.bornAt !== bornAt || leaving.has(id)) {
                return;
            }
            leaving.set(id, bornAt);
            dropOldestLeaving();
            log.stateChange("upstream leaving", { id, service: known.service, source, isDraining: known.isDraining });
        },
        isLeaving: id => upstreams.get(id)?.isDraining !== false || leaving.has(id),
        leavingToGossip: () =>
            Object.fromEntries([...leaving].filter(([id]) => upstreams.get(id)?.isDraining === false)),
        markTopicUnavailable: topic => {
            isListUnavailable ||= topic === "upstreams";
        },
        markTopicAvailable: topic => {
            if (topic === "upstreams") {
                isListUnavailable = false;
                graceUntil = clock.now() + relistGraceMilliseconds;
            }
        },
        routeTable: () => table,
        acceptConfiguration,
        usable: service =>
            [...upstreams.values()].filter(upstream => upstream.service === service && isUsable(upstream)),
        all: () => [...upstreams.values()],
        evacuatedZones: () => [...evacuatedZones],
    };
};
