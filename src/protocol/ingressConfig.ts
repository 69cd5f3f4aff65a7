/**
 * Schemas of the JSONC configuration files of the ingress and rank daemons, which the platform generates from
 * templates.
 */
import { z } from "zod";

const addressSchema = z.string().regex(/^[\d.]+:\d+$/, "expected an address ip:port");

const commonFields = {
    host: z.string().min(1),
    availabilityZone: z.string().min(1),
    ip: z.string().min(1),
    /** First and last port of the range for traffic between daemons. */
    internalPorts: z.tuple([z.int(), z.int()]),
    /** Listen address for metrics and the state dump. */
    metrics: addressSchema,
    store: z.object({ address: addressSchema }),
    logLevel: z.enum(["error", "warn", "info", "debug"]).default("info"),
};

export const ingressConfigSchema = z.object({
    ...commonFields,
    /** Listen address for callers. */
    callers: addressSchema,
    /** Listen address for the platform's readiness probe. */
    readiness: addressSchema,
    /** Time from SIGTERM to SIGKILL. */
    graceSeconds: z.number().positive(),
    /** Retries allowed per request, over all entries. */
    retryRatio: z.number().min(0),
    /** Retries allowed per window in addition to the ratio, over all entries. */
    retrySlack: z.number().min(0),
    retryWindowSeconds: z.number().positive(),
    /** Memory at which the platform ends the process, in megabytes; undefined if there is no limit. */
    memoryMegabytes: z.number().positive().optional(),
    /** Descriptors that the platform allows the process; undefined if they aren't stated. */
    maximumDescriptors: z.int().positive().optional(),
    /** The platform's own names of the conditions in force; read by the platform's adapter only. */
    platformContracts: z.array(z.string()).default([]),
    /** Lets streams on their second attempt wait for a stalled group to recover, instead of refusing them at once. */
    waitForRecovery: z.boolean().default(false),
    /** Places requests by their expected cost at services where costs vary enough. */
    costRouting: z.object({
        /** Least coefficient of variation of the answers' lengths of a service. */
        minimumVariation: z.number().nonnegative(),
    }).optional(),
});

export type IngressConfig = z.infer<typeof ingressConfigSchema>;

/** Configuration of the agent that runs beside one rank of a group. */
export const rankConfigSchema = z.object({
    ...commonFields,
    /** Address of the rank's engine. */
    engine: addressSchema,
    service: z.string().min(1),
});

export type RankConfig = z.infer<typeof rankConfigSchema>;
