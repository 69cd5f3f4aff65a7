/**
 * Decodes what the relay's topics for settings and for orders to availability zones carry between daemons.
 */
import { z } from "zod";
import type { SettingsUpdateDecoder } from "../coordination/settingsTopic.js";
import type { ZoneOrder } from "../coordination/zoneOrders.js";
import type { SettingsRecord } from "../state/types.js";
import { decodeValue } from "./decoding.js";

const offsetSchema = z.int().min(-1);

const treeNodeSchema = z.object({
    value: z.record(z.string(), z.unknown()).optional(),
    offset: offsetSchema,
    removedAt: offsetSchema.optional(),
});

// The bodies of records stay as they are: the fold alone decides what a body means.
const settingsUpdateSchema = z.discriminatedUnion("kind", [
    z.object({
        kind: z.literal("records"),
        records: z.array(
            z.object({ offset: offsetSchema, appendedAt: z.number(), body: z.custom<SettingsRecord>(() => true) }),
        ),
    }),
    z.object({
        kind: z.literal("snapshot"),
        upToOffset: offsetSchema,
        nodes: z.record(z.string(), treeNodeSchema),
    }),
]);

export const decodeSettingsUpdate: SettingsUpdateDecoder = update =>
    decodeValue(settingsUpdateSchema, update).match(decoded => decoded, () => undefined);

const zoneOrdersSchema = z.array(z.object({
    availabilityZone: z.string().min(1),
    state: z.enum(["in", "out"]),
    revision: offsetSchema,
    givenAt: z.number(),
}));

/** Reads the orders for availability zones that a peer sent; none when they are malformed. */
export const decodeZoneOrders = (update: unknown): ZoneOrder[] =>
    decodeValue(zoneOrdersSchema, update).match(orders => orders, () => []);
