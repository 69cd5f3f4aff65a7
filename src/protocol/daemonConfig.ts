/**
 * A daemon's own settings: a JSON-with-comments file that names its addresses, availability zone, host and platform.
 *
 * Everything that operators change at run time lives in the settings tree instead. An unknown or wrong field is named
 * with its line, so that a daemon with a wrong file stops before it listens. Tokens come from the environment and never
 * stand in the file.
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
    /** Addresses of daemons to ask while the platform can't be reached. */
    seeds: z.array(addressSchema).default([]),
    /** How long the platform's log keeps a record. */
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

/** The part of the settings that every daemon has. */
export type DaemonConfig = Pick<EntryConfig & AgentConfig, keyof typeof commonFields>;
export type EntryConfig = z.infer<typeof entryConfigSchema>;
export type AgentConfig = z.infer<typeof agentConfigSchema>;
