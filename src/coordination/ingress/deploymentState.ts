/**
 * An entry's view of its deployment: the active configuration, evacuated zones and usable upstreams.
 *
 * A configuration is never replaced by an older one. Upstreams whose records expired while the store was unavailable
 * get a grace period after its return to register again before they count as gone. An upstream that says in a response
 * that it is leaving gets nothing more until its next run, whatever the list says.
 */
import type { IngressConfiguration, Upstream } from "../../state/ingressTypes.js";
import type { Clock } from "../../state/types.js";
import type { FeedRecord, FeedSink } from "./deploymentFeed.js";
import type { IngressLog } from "./ingressLog.js";
import type { DeploymentTopic } from "./recordSource.js";
import { compileRouteTable, type RouteTable } from "./routeTable.js";

/** Within this time after the store's return, live upstreams have registered again. */
const relistGraceMilliseconds = 2_000;

/** Upstreams that are remembered after their removal, and as leaving. */
const maximumRememberedUpstreams = 1_000;

export type KnownUpstream = Upstream & {
    /** Set if its record is missing since an outage of the store: when it counts as gone unless it registers again. */
    goneAt: number | undefined;
};

export type DeploymentState = FeedSink & {
    /** Undefined until a configuration is known. */
    routeTable: () => RouteTable | undefined;
    /** Activates a configuration from `source` unless an equally new or newer one is active; returns whether it did. */
    acceptConfiguration: (configuration: IngressConfiguration, source: string) => boolean;
    /**
     * Records that the run of an upstream that began at `bornAt` is leaving, as `source` tells. Ignored if the upstream
     * is not listed or has started again since.
     */
    markLeaving: (id: string, bornAt: number, source: string) => void;
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
    /** The latest known record of each upstream that was removed; a store that came back may list it once more. */
    const removed = new Map<string, Upstream>();
    /** Start time of the run that is leaving, by upstream id. */
    const leaving = new Map<string, number>();
    let graceUntil = 0;
    /** Whether the store answers no read of the list of upstreams. */
    let isListUnavailable = false;

    const acceptConfiguration = (configuration: IngressConfiguration, source: string): boolean => {
        const known = table?.configuration.version;
        if (known !== undefined && known >= configuration.version) {
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
        removed.delete(upstream.id);
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

    const dropOldest = (remembered: Map<string, unknown>): void => {
        const [oldest] = remembered.keys();
        if (remembered.size > maximumRememberedUpstreams && oldest !== undefined) {
            remembered.delete(oldest);
        }
    };

    const remember = (upstream: Upstream): void => {
        removed.set(upstream.id, upstream);
        dropOldest(removed);
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
            remember(known);
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

    /** Whether a record was written before what is known of its upstream. */
    const isOutdated = ({ id, bornAt, revision }: Upstream): boolean => {
        const known = upstreams.get(id) ?? removed.get(id);
        return known !== undefined
            && (bornAt < known.bornAt || bornAt === known.bornAt && revision < known.revision
                || bornAt === known.bornAt && revision === known.revision && !upstreams.has(id));
    };

    const restoreTopic: Record<DeploymentTopic, (records: FeedRecord[]) => void> = {
        // Zones that are known to be evacuated stay so, and those known to be in use, until the operator writes again.
        operator: records =>
            apply(records.filter(record => record.kind !== "zone-evacuated" && record.kind !== "zone-returned")),
        upstreams: records => {
            apply(records.filter(record => record.kind !== "upstream" || !isOutdated(record.upstream)));
            const listed = new Set(records.flatMap(record => record.kind === "upstream" ? record.upstream.id : []));
            const goneAt = clock.now() + relistGraceMilliseconds;
            [...upstreams.values()].filter(({ id }) => !listed.has(id)).forEach(upstream => {
                upstreams.set(upstream.id, { ...upstream, goneAt: upstream.goneAt ?? goneAt });
                log.stateChange("upstream unlisted", {
                    id: upstream.id,
                    service: upstream.service,
                    reason: "the store came back from an older copy",
                    keptFor: relistGraceMilliseconds,
                });
            });
        },
    };

    const isUsable = ({ id, isDraining, goneAt, availabilityZone }: KnownUpstream): boolean =>
        !isDraining && !leaving.has(id) && !evacuatedZones.has(availabilityZone)
        && (goneAt === undefined || isListUnavailable || clock.now() < goneAt);

    return {
        replace: (topic, records) => {
            removeUnlisted[topic](records);
            apply(records);
        },
        restore: (topic, records) => restoreTopic[topic](records),
        apply,
        markLeaving: (id, bornAt, source) => {
            const known = upstreams.get(id);
            if (known === undefined || known.bornAt !== bornAt || leaving.has(id)) {
                return;
            }
            leaving.set(id, bornAt);
            dropOldest(leaving);
            log.stateChange("upstream leaving", { id, service: known.service, source, isDraining: known.isDraining });
        },
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
