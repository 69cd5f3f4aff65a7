/**
 * Decodes the host list from the platform's response and from gossip updates.
 */
import type { Result } from "neverthrow";
import { z } from "zod";
import type { HostList } from "../coordination/hostListFollower.js";
import type { HostRecord } from "../state/types.js";
import { decodeJsonAs, decodeValue, type DecodingError } from "./decoding.js";

const hostSchema: z.ZodType<HostRecord> = z.object({
    host: z.string(),
    availabilityZone: z.string(),
    role: z.enum(["entry", "upstream"]),
    state: z.enum(["live", "leaving"]),
    address: z.string(),
    serves: z.discriminatedUnion("kind", [
        z.object({ kind: z.literal("group"), group: z.string(), rank: z.int() }),
        z.object({ kind: z.literal("service"), service: z.string() }),
    ]).optional(),
});

const hostListSchema: z.ZodType<HostList> = z.object({ version: z.int(), hosts: z.array(hostSchema) });

export const decodeHostList = (text: string): Result<HostList, DecodingError> => decodeJsonAs(hostListSchema, text);

export const decodeHostListUpdate = (update: unknown): HostList | undefined =>
    decodeValue(hostListSchema, update).unwrapOr(undefined);
