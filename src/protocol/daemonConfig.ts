/**
 * Schemas of a daemon's local configuration: a JSONC file with its addresses, availability zone, host and platform.
 *
 * Everything that operators change at run time is in the settings tree instead. Unknown and invalid fields are reported
 * with their line, and a daemon with an invalid file exits before it listens. Tokens are read from the environment and
 * are never part of the file.
 */
import { z } from "zod";

const addressSchema = z.string().regex(
    /^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/,
    "expected an IPv4 address and port, 127.0.0.1:8080",
);
const urlSchema = z.string().regex(/^http:\/\//, "expected a URL that starts with http://");

const commonFields = {
    host: z.string().min(1),
    availabilityZone: z.string().min(1),
    platform: urlSchema,
    /** Addresses of daemons to contact while the platform is unreachable. */
    seeds: z.array(addressSchema).default([]),
    /** Retention period of records in the platform's log. */
    logRetentionMinutes: z.number().positive().default(1_440),
    logLevel: z.enum(["error", "warn", "info", "debug"]).default("info"),
};

export const entryConfigSchema = z.strictObject({ ...commonFields, listen: addressSchema, control: addressSchema });

export const agentConfigSchema = z.strictObject({
    ...commonFields,
    listen: addressSchema,
    upstream: z.discriminatedUnion("kind", [
        z.strictObject({
            kind: z.literal("group"),
            group: z.string(),
            rank: z.int().nonnegative(),
            address: addressSchema,
        }),
        z.strictObject({ kind: z.literal("service"), service: z.string(), address: addressSchema }),
    ]),
});

/** The configuration fields common to all daemons. */
export type DaemonConfig = Pick<EntryConfig & AgentConfig, keyof typeof commonFields>;
export type EntryConfig = z.infer<typeof entryConfigSchema>;
export type AgentConfig = z.infer<typeof agentConfigSchema>;
