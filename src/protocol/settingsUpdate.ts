/**
 * Decodes what the relay's settings topic carries between daemons.
 */
import { z } from "zod";
import type { SettingsUpdateDecoder } from "../coordination/settingsTopic.js";
import type { SettingsRecord } from "../state/types.js";
import { decodeValue } from "./decoding.js";

const offset = z.int().min(-1);

const treeNode = z.object({
    value: z.record(z.string(), z.unknown()).optional(),
    offset,
    removedAt: offset.optional(),
});

// The bodies of records stay as they are: the fold alone decides what a body means.
const updateSchema = z.discriminatedUnion("kind", [
    z.object({
        kind: z.literal("records"),
        records: z.array(z.object({ offset, appendedAt: z.number(), body: z.custom<SettingsRecord>(() => true) })),
    }),
    z.object({
        kind: z.literal("state"),
        state: z.object({ offset, nodes: z.record(z.string(), treeNode) }),
    }),
]);

export const decodeSettingsUpdate: SettingsUpdateDecoder = update =>
    decodeValue(updateSchema, update).match(decoded => decoded, () => undefined);
