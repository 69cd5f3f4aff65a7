/**
 * Decodes the gossip updates of the settings topic and of the zone orders topic.
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

// Record bodies are not validated here: only the settings state machine interprets them.
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

/** Decodes the zone orders of a peer; empty if they are malformed. */
export const decodeZoneOrders = (update: unknown): ZoneOrder[] =>
    decodeValue(zoneOrdersSchema, update).match(orders => orders, () => []);
