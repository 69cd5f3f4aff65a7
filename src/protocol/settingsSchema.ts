/**
 * Schema of the settings tree: names, units and defaults of the settings, and the kinds of node that may set them.
 *
 * Durations are in milliseconds unless the name says otherwise. The effective value of a setting is the node's own,
 * else that of the nearest ancestor, else the default here. The accessors return the typed effective values, or the
 * problems that make them invalid; the caller then continues with the last valid ones.
 */
import { err } from "neverthrow";
import type { Result } from "neverthrow";
import { z } from "zod";
import { childPaths, effectiveValues, nodeAt } from "../state/settingsTree.js";
import type { SettingsState } from "../state/settingsTree.js";
import type { SettingsPath } from "../state/types.js";
import { decodeValue } from "./decoding.js";
import type { DecodingError } from "./decoding.js";

const countSchema = z.int().min(0);
const positiveCountSchema = z.int().min(1);
const rateSchema = z.number().positive();
// The longest delay that `setTimeout` supports.
const maximumTimerMilliseconds = 2 ** 31 - 1;
const millisecondsSchema = z.int().min(1).max(maximumTimerMilliseconds);

const sharedFields = {
    /** Maximum ratio of retries to requests. */
    retryBudgetRatio: z.number().min(0).max(1).default(0.1),
    requestTimeoutMilliseconds: millisecondsSchema.default(60_000),
    maximumBodyBytes: positiveCountSchema.default(1_048_576),
    /** Maximum number of requests queued for one target at one entry. */
    queueLimit: countSchema.default(256),
    /** Maximum number of retries per request. */
    maximumRetries: countSchema.default(2),
};

const routeSchema = z.strictObject({
    method: z.string().regex(/^[A-Z]+$/, "a method in capital letters"),
    pathPrefix: z.string().startsWith("/"),
    idempotent: z.boolean(),
});

const fieldsByKind = {
    root: sharedFields,
    group: {
        ...sharedFields,
        model: z.string().min(1),
        ranks: positiveCountSchema,
        layers: positiveCountSchema.default(1),
        expertsPerLayer: positiveCountSchema.default(16),
        slotsPerRank: positiveCountSchema.default(5),
        /** Maximum number of running requests per rank. */
        capacity: positiveCountSchema.default(64),
        /** Maximum number of running requests on a rank that has just started. */
        coldCapacity: positiveCountSchema.default(4),
        /**
         * Tokens of completed requests that a rank must reach after its start before its limit rises above
         * `coldCapacity`.
         */
        warmUpTokens: countSchema.default(2_000),
        stepTimeBoundMilliseconds: z.number().positive().default(75),
        /** Size of the weights of one expert of one layer. */
        expertBytes: positiveCountSchema.default(1_048_576),
        /** Whether the engines support switching expert maps by promises; if not, their maps are never changed. */
        expertMaps: z.boolean().default(false),
        /** Bandwidth of the weight store for the whole group. */
        weightStoreBytesPerSecond: rateSchema.default(2e9),
    },
    service: {
        ...sharedFields,
        /** Maximum number of running requests per upstream. */
        capacity: positiveCountSchema.default(32),
        timeoutMilliseconds: millisecondsSchema.optional(),
        /** The first route that matches method and path prefix applies. */
        routes: z.array(routeSchema).default([]),
    },
    clientAccount: {
        /** SHA-256 digests of the API keys, in hexadecimal; never inherited. */
        apiKeyDigests: z.array(z.string().regex(/^[0-9a-f]{64}$/, "a SHA-256 digest in hexadecimal")).default([]),
        requestsPerSecond: rateSchema.optional(),
        tokensPerSecond: rateSchema.optional(),
        priority: z.enum(["interactive", "standard", "batch"]).default("standard"),
        /** Models that the account may call; all if absent. */
        models: z.array(z.string().min(1)).optional(),
    },
    availabilityZone: {
        state: z.enum(["in", "out"]).default("in"),
    },
};

export type SettingsKind = keyof typeof fieldsByKind;

const schemas = {
    root: z.object(fieldsByKind.root),
    group: z.object(fieldsByKind.group),
    service: z.object(fieldsByKind.service),
    clientAccount: z.object(fieldsByKind.clientAccount),
    availabilityZone: z.object(fieldsByKind.availabilityZone),
} satisfies Record<SettingsKind, z.ZodType>;

export type RootSettings = z.infer<typeof schemas.root>;
export type GroupSettings = z.infer<typeof schemas.group>;
export type ServiceSettings = z.infer<typeof schemas.service>;
export type ClientAccountSettings = z.infer<typeof schemas.clientAccount>;
export type AvailabilityZoneSettings = z.infer<typeof schemas.availabilityZone>;
export type ServiceRoute = z.infer<typeof routeSchema>;

const kindByFirstSegment: Record<string, SettingsKind> = {
    groups: "group",
    services: "service",
    clientAccounts: "clientAccount",
    availabilityZones: "availabilityZone",
};

/** Kind of the node at `path`; undefined if the tree allows no node there. */
export const kindOfPath = (path: SettingsPath): SettingsKind | undefined => {
    const segment = path.split("/")[0] ?? "";
    return segment === ""
        ? "root"
        : Object.hasOwn(kindByFirstSegment, segment)
        ? kindByFirstSegment[segment]
        : undefined;
};

const withoutDefaults = (fields: Record<string, z.ZodType>): Record<string, z.ZodType> =>
    Object.fromEntries(
        Object.entries(fields).map(([name, field]) => {
            const inner = field instanceof z.ZodDefault ? field.unwrap() as z.ZodType : field;
            return [name, inner.optional()];
        }),
    );

/** Schemas of the values that a node may set itself: all fields optional, unknown fields rejected. */
export const nodeSchemas: Record<SettingsKind, z.ZodType<Record<string, unknown>>> = {
    root: z.strictObject(withoutDefaults(fieldsByKind.root)),
    group: z.strictObject(withoutDefaults(fieldsByKind.group)),
    service: z.strictObject(withoutDefaults(fieldsByKind.service)),
    clientAccount: z.strictObject(withoutDefaults(fieldsByKind.clientAccount)),
    availabilityZone: z.strictObject(withoutDefaults(fieldsByKind.availabilityZone)),
};

/** Names of the settings that a node of `kind` may set, for messages. */
export const fieldNames = (kind: SettingsKind): string[] => Object.keys(fieldsByKind[kind]);

/** Why the settings at `path` are unavailable. */
export type SettingsFailure = { path: SettingsPath; } & ({ kind: "absent"; } | { kind: "unreadable"; } & DecodingError);

const readSettings = <Value>(
    schema: z.ZodType<Value>,
    state: SettingsState,
    path: SettingsPath,
): Result<Value, SettingsFailure> => {
    if (path !== "" && nodeAt(state, path) === undefined) {
        return err({ path, kind: "absent" });
    }
    return decodeValue(schema, effectiveValues(state, path))
        .mapErr(({ problems }) => ({ path, kind: "unreadable" as const, problems }));
};

export const rootSettings = (state: SettingsState): Result<RootSettings, SettingsFailure> =>
    readSettings(schemas.root, state, "");

export const groupSettings = (state: SettingsState, group: string): Result<GroupSettings, SettingsFailure> =>
    readSettings(schemas.group, state, `groups/${group}`);

export const serviceSettings = (state: SettingsState, service: string): Result<ServiceSettings, SettingsFailure> =>
    readSettings(schemas.service, state, `services/${service}`);

/** Settings of a client account; a nested account is named by its path, such as `clerks/fes`. */
export const clientAccountSettings = (
    state: SettingsState,
    clientAccount: string,
): Result<ClientAccountSettings, SettingsFailure> =>
    readSettings(schemas.clientAccount, state, `clientAccounts/${clientAccount}`);

/** Settings of an availability zone; a zone without a node is in service. */
export const availabilityZoneSettings = (
    state: SettingsState,
    availabilityZone: string,
): Result<AvailabilityZoneSettings, SettingsFailure> => {
    const path = `availabilityZones/${availabilityZone}`;
    return decodeValue(schemas.availabilityZone, effectiveValues(state, path))
        .mapErr(({ problems }) => ({ path, kind: "unreadable" as const, problems }));
};

const childNames = (parent: SettingsPath) => (state: SettingsState): string[] =>
    childPaths(state, parent).map(path => path.slice(parent.length + 1));

/** Names of all groups that have a node. */
export const groupNames = childNames("groups");

/** Names of all plain services that have a node. */
export const serviceNames = childNames("services");

/** Names of all client accounts that have a node; nested accounts are named by their path, joined with "/". */
export const clientAccountNames = childNames("clientAccounts");

const idempotentMethods = new Set(["GET", "HEAD", "PUT", "DELETE"]);

/** Whether a call of `method path` may be retried, by the first matching route, or else by the HTTP method. */
export const isIdempotentRoute = (settings: ServiceSettings, method: string, path: string): boolean => {
    const route = settings.routes.find(({ method: routeMethod, pathPrefix }) =>
        routeMethod === method && path.startsWith(pathPrefix)
    );
    return route?.idempotent ?? idempotentMethods.has(method);
};
