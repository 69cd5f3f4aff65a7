/**
 * Orders that take an availability zone out or in without the log, for a part of the deployment that the log can't
 * reach.
 *
 * An order is given to any daemon and travels with the relay. It holds until a change of the zone's settings that is
 * newer than those it was given over has been accepted; since settings never revert, an order that was superseded once
 * never comes back.
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
    /** Takes an order from an operator. */
    order: (availabilityZone: string, state: ZoneState) => ZoneOrder;
    /** The state that an order in force gives the zone; undefined where the settings decide. */
    orderedState: (availabilityZone: string) => ZoneState | undefined;
    /** The orders in force, for the dump. */
    inForce: () => ZoneOrder[];
    topic: GossipTopic;
};

export type ZoneOrdersOptions = {
    settings: () => SettingsState;
    clock: Pick<Clock, "now">;
    /** Reads the orders that a peer sent; malformed ones are left out. Protocol provides it. */
    decode: (update: unknown) => ZoneOrder[];
};

const zonePath = (availabilityZone: string): string => `availabilityZones/${availabilityZone}`;

// Of two orders given at one moment every daemon must keep the same one; leaving a zone out is the safe one.
const isNewer = (order: ZoneOrder, than: ZoneOrder | undefined): boolean =>
    than === undefined || order.givenAt > than.givenAt
    || order.givenAt === than.givenAt && order.state === "out" && than.state === "in";

/** Starts with no orders. */
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
        const given: ZoneOrder = { availabilityZone, state, revision, givenAt: clock.now() };
        applyOrder(given);
        return given;
    };

    const topic: GossipTopic = {
        name: "zoneOrders",
        digest: () => Object.fromEntries(inForce().map(({ availabilityZone, givenAt }) => [availabilityZone, givenAt])),
        newerThan: digest => {
            const held = new Map(Object.entries(digest ?? {}));
            const newer = inForce().filter(({ availabilityZone, givenAt }) => held.get(availabilityZone) !== givenAt);
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
