/**
 * Settings file of an ingress daemon, JSON with comments; what the platform fills in reaches it under these names.
 */
import { z } from "zod";

const addressSchema = z.string().regex(/^[\d.]+:\d+$/, "expected an address ip:port");

const commonFields = {
    host: z.string().min(1),
    availabilityZone: z.string().min(1),
    ip: z.string().min(1),
    /** First and last port for traffic between daemons. */
    internalPorts: z.tuple([z.int(), z.int()]),
    /** Where metrics and state are served. */
    metrics: addressSchema,
    store: z.object({ address: addressSchema }),
    logLevel: z.enum(["error", "warn", "info", "debug"]).default("info"),
};

export const ingressConfigSchema = z.object({
    ...commonFields,
    /** Where callers connect. */
    callers: addressSchema,
    /** Where the platform asks whether the daemon takes new connections. */
    readiness: addressSchema,
    /** Seconds from SIGTERM to SIGKILL. */
    graceSeconds: z.number().positive(),
    /** Retries allowed for each request, over all entries. */
    retryRatio: z.number().min(0),
    /** Retries allowed beside the ratio in one window, over all entries. */
    retrySlack: z.number().min(0),
    retryWindowSeconds: z.number().positive(),
});

export type IngressConfig = z.infer<typeof ingressConfigSchema>;

/** Settings file of the agent beside one rank of a group. */
export const rankConfigSchema = z.object({
    ...commonFields,
    /** The engine of the rank. */
    engine: addressSchema,
    service: z.string().min(1),
});

export type RankConfig = z.infer<typeof rankConfigSchema>;
