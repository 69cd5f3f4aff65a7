/**
 * An entry's view of its deployment: the active configuration, evacuated zones and usable upstreams.
 *
 * A configuration is never replaced by an older one. Upstreams whose records expired while the store was unavailable
 * get a grace period after its return to register again before they count as gone.
 */
import type { IngressConfiguration, Upstream } from "../../state/ingressTypes.js";
import type { Clock } from "../../state/types.js";
import type { FeedRecord, FeedSink, FeedTopic } from "./deploymentFeed.js";
import type { IngressLog } from "./ingressLog.js";
import { compileRouteTable, type RouteTable } from "./routeTable.js";

/** Within this time after the store's return, live upstreams have registered again. */
const relistGraceMilliseconds = 2_000;

export type KnownUpstream = Upstream & {
    /** Set if its record is missing since an outage of the store: when it counts as gone unless it registers again. */
    goneAt: number | undefined;
};

export type DeploymentState = FeedSink & {
    /** Undefined until a configuration is known. */
    routeTable: () => RouteTable | undefined;
    /** Activates a configuration from `source` unless an equally new or newer one is active; returns whether it did. */
    acceptConfiguration: (configuration: IngressConfiguration, source: string) => boolean;
    /** Upstreams of `service` that may receive new requests. */
    usable: (service: string) => KnownUpstream[];
    all: () => KnownUpstream[];
    evacuatedZones: () => string[];
};

export const createDeploymentState = (clock: Pick<Clock, "now">, log: IngressLog): DeploymentState => {
    let table: RouteTable | undefined;
    const evacuatedZones = new Set<string>();
    const upstreams = new Map<string, KnownUpstream>();
    let graceUntil = 0;
    let isStoreUnavailable = false;

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

    const removeUpstream = (id: string, reason: string): void => {
        const known = upstreams.get(id);
        if (known === undefined) {
            return;
        }
        const isWithinGrace = isStoreUnavailable || clock.now() < graceUntil;
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

    const removeUnlisted: Record<FeedTopic, (records: FeedRecord[]) => void> = {
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

    const isUsable = ({ isDraining, goneAt, availabilityZone }: KnownUpstream): boolean =>
        !isDraining && !evacuatedZones.has(availabilityZone)
        && (goneAt === undefined || isStoreUnavailable || clock.now() < goneAt);

    return {
        replace: (topic, records) => {
            removeUnlisted[topic](records);
            apply(records);
        },
        apply,
        markStoreUnavailable: () => {
            isStoreUnavailable = true;
        },
        markStoreAvailable: () => {
            isStoreUnavailable = false;
            graceUntil = clock.now() + relistGraceMilliseconds;
        },
        routeTable: () => table,
        acceptConfiguration,
        usable: service =>
            [...upstreams.values()].filter(upstream => upstream.service === service && isUsable(upstream)),
        all: () => [...upstreams.values()],
        evacuatedZones: () => [...evacuatedZones],
    };
};
