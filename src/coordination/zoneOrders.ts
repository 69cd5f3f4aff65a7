/**
 * Orders that take an availability zone out of service or back in without the log, for a part of the deployment that
 * cannot reach the log.
 *
 * An order is given to any daemon and spreads by gossip. It stays in effect until a change of the zone's settings is
 * accepted that is newer than the settings on which the order was based. Since settings never revert, a superseded
 * order never comes back into effect.
 */
import { lastTouchedOffset } from "../state/settingsStateMachine.js";
import type { SettingsState } from "../state/settingsTree.js";
import type { Clock } from "../state/types.js";
import type { GossipTopic } from "./gossip.js";

export type ZoneState = "in" | "out";

export type ZoneOrder = {
    availabilityZone: string;
    state: ZoneState;
    /** Offset of the last change that had touched the zone's settings when the order was given, or -1. */
    revision: number;
    givenAt: number;
};

export type ZoneOrders = {
    /** Accepts an order from an operator. */
    order: (availabilityZone: string, state: ZoneState) => ZoneOrder;
    /** The zone state set by an order in effect; undefined if the settings decide. */
    orderedState: (availabilityZone: string) => ZoneState | undefined;
    /** The orders in effect, for the state dump. */
    inForce: () => ZoneOrder[];
    topic: GossipTopic;
};

export type ZoneOrdersOptions = {
    settings: () => SettingsState;
    clock: Pick<Clock, "now">;
    /** Decodes the orders from a peer and omits malformed ones; provided by `protocol`. */
    decode: (update: unknown) => ZoneOrder[];
};

const zonePath = (availabilityZone: string): string => `availabilityZones/${availabilityZone}`;

// All daemons must prefer the same one of two orders given at the same time; taking the zone out is the safe choice.
const isNewer = (order: ZoneOrder, than: ZoneOrder | undefined): boolean =>
    than === undefined || order.givenAt > than.givenAt
    || order.givenAt === than.givenAt && order.state === "out" && than.state === "in";

/** Starts without orders. */
export const createZoneOrders = ({ settings, clock, decode }: ZoneOrdersOptions): ZoneOrders => {
    const orders = new Map<string, ZoneOrder>();
    const listeners = new Set<() => void>();

    const isInForce = ({ availabilityZone, revision }: ZoneOrder): boolean =>
        lastTouchedOffset(settings(), zonePath(availabilityZone), false) <= revision;

    const inForce = (): ZoneOrder[] => {
        for (const [zone, order] of orders) {
            if (!isInForce(order)) {
                orders.delete(zone);
            }
        }
        return [...orders.values()];
    };

    const applyOrder = (order: ZoneOrder): void => {
        if (isInForce(order) && isNewer(order, orders.get(order.availabilityZone))) {
            orders.set(order.availabilityZone, order);
            listeners.forEach(listener => listener());
        }
    };

    const order = (availabilityZone: string, state: ZoneState): ZoneOrder => {
        const revision = lastTouchedOffset(settings(), zonePath(availabilityZone), false);
        const newOrder: ZoneOrder = { availabilityZone, state, revision, givenAt: clock.now() };
        applyOrder(newOrder);
        return newOrder;
    };

    const topic: GossipTopic = {
        name: "zoneOrders",
        digest: () => Object.fromEntries(inForce().map(({ availabilityZone, givenAt }) => [availabilityZone, givenAt])),
        newerThan: digest => {
            const peerGivenAt = new Map(Object.entries(digest ?? {}));
            const newer = inForce().filter(({ availabilityZone, givenAt }) =>
                peerGivenAt.get(availabilityZone) !== givenAt
            );
            return newer.length > 0 ? newer : undefined;
        },
        accept: update => decode(update).forEach(applyOrder),
        subscribe: (listener, signal) => {
            listeners.add(listener);
            signal.addEventListener("abort", () => listeners.delete(listener), { once: true });
        },
    };

    const orderedState = (availabilityZone: string): ZoneState | undefined => {
        const given = orders.get(availabilityZone);
        return given !== undefined && isInForce(given) ? given.state : undefined;
    };

    return { order, orderedState, inForce, topic };
};
