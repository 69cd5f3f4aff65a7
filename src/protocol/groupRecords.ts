/**
 * Schemas of the records in a group's log stream and of the messages between the agents of the group.
 */
import { z } from "zod";
import type { GroupRecord } from "../state/groupState.js";

/** Name of the log stream of `group`. */
export const groupStreamName = (group: string): string => `groups/${group}`;

const slotSchema = z.object({ expert: z.int().min(0), share: z.number().min(0).max(1) });

export const expertMapSchema = z.object({
    experts: z.int().min(1),
    slotsPerRank: z.int().min(1),
    layers: z.array(z.array(z.array(slotSchema))),
});

const coordinatorSchema = z.object({ rank: z.int().min(0), incarnation: z.string(), fence: z.int() });

const mapCommitSchema = z.object({ commit: z.int(), plan: z.string(), map: expertMapSchema });

const groupRecordSchema = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("coordinate"), rank: z.int().min(0), incarnation: z.string() }),
    z.object({ kind: z.literal("commit"), fence: z.int(), plan: z.string(), map: expertMapSchema }),
    z.object({
        kind: z.literal("snapshot"),
        state: z.object({
            offset: z.int(),
            coordinator: coordinatorSchema.optional(),
            commit: mapCommitSchema.optional(),
        }),
    }),
]);

/** Decodes the body of a record; undefined if it is not a valid group record. */
export const decodeGroupRecord = (body: unknown): GroupRecord | undefined =>
    groupRecordSchema.safeParse(body).data as GroupRecord | undefined;

const mapPromiseSchema = z.object({
    rank: z.int().min(0),
    commit: z.int(),
    formation: z.int(),
    last: z.int(),
    previous: z.int(),
});

/** Response of a rank's engine to a query for its expert map status. */
export const rankMapStatusSchema = z.object({
    rank: z.int().min(0),
    formation: z.int(),
    step: z.int(),
    released: z.int(),
    promises: z.array(mapPromiseSchema),
    loaded: z.array(z.string()),
    fence: z.int(),
});

export const peerReportSchema = z.object({
    rank: z.int().min(0),
    incarnation: z.string(),
    formation: z.int(),
    released: z.int(),
    promises: z.array(mapPromiseSchema),
    newestCommit: z.int(),
    commit: mapCommitSchema.optional(),
});

export const prepareOrderSchema = z.object({ plan: z.string(), map: expertMapSchema });

export const expertLoadReportSchema = z.object({
    rank: z.int().min(0),
    interval: z.int(),
    counts: z.array(z.array(z.number().min(0))),
    processedTokens: z.number().min(0),
    busyMilliseconds: z.number().min(0),
});
