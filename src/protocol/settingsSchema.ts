/**
 * The settings that this version understands: their names, units, defaults and the nodes that may set them.
 *
 * Durations are milliseconds unless the name says otherwise. The effective values of a node are its own over its
 * parents' over the defaults here. The accessors give the typed effective values or the problems that keep them from
 * being read; the caller then stays with the last good ones.
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
// The longest delay that a timer of the runtime can hold.
const maximumTimerMilliseconds = 2 ** 31 - 1;
const millisecondsSchema = z.int().min(1).max(maximumTimerMilliseconds);

const sharedFields = {
    /** Retries as a share of requests. */
    retryBudgetRatio: z.number().min(0).max(1).default(0.1),
    requestTimeoutMilliseconds: millisecondsSchema.default(60_000),
    maximumBodyBytes: positiveCountSchema.default(1_048_576),
    /** Requests that may wait for one target at one entry. */
    queueLimit: countSchema.default(256),
    /** Retries of one request. */
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
        /** Running requests a rank. */
        capacity: positiveCountSchema.default(64),
        /** Running requests a rank that has just started. */
        coldCapacity: positiveCountSchema.default(4),
        /** Tokens of completed work that a rank that has just started must show before it is given more. */
        warmUpTokens: countSchema.default(2_000),
        stepTimeBoundMilliseconds: z.number().positive().default(75),
        /** Weights of one expert of one layer. */
        expertBytes: positiveCountSchema.default(1_048_576),
        /** Whether the engines switch expert maps by promises; without, the system leaves their maps alone. */
        expertMaps: z.boolean().default(false),
        /** Rate at which the weight store serves the whole group. */
        weightStoreBytesPerSecond: rateSchema.default(2e9),
    },
    service: {
        ...sharedFields,
        /** Running requests an upstream. */
        capacity: positiveCountSchema.default(32),
        timeoutMilliseconds: millisecondsSchema.optional(),
        /** The first route whose method and prefix match decides. */
        routes: z.array(routeSchema).default([]),
    },
    clientAccount: {
        /** SHA-256 digests of the API keys, in hexadecimal; never inherited. */
        apiKeyDigests: z.array(z.string().regex(/^[0-9a-f]{64}$/, "a SHA-256 digest in hexadecimal")).default([]),
        requestsPerSecond: rateSchema.optional(),
        tokensPerSecond: rateSchema.optional(),
        priority: z.enum(["interactive", "standard", "batch"]).default("standard"),
        /** The models that the account may call; all when absent. */
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

/** What kind of node stands at `path`; undefined when the tree has no place for it. */
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

/** Schema of the overrides that one node of `kind` may hold: each field optional, none unknown. */
export const nodeSchemas: Record<SettingsKind, z.ZodType<Record<string, unknown>>> = {
    root: z.strictObject(withoutDefaults(fieldsByKind.root)),
    group: z.strictObject(withoutDefaults(fieldsByKind.group)),
    service: z.strictObject(withoutDefaults(fieldsByKind.service)),
    clientAccount: z.strictObject(withoutDefaults(fieldsByKind.clientAccount)),
    availabilityZone: z.strictObject(withoutDefaults(fieldsByKind.availabilityZone)),
};

/** Names of the settings that a node of `kind` may hold, for messages. */
export const fieldNames = (kind: SettingsKind): string[] => Object.keys(fieldsByKind[kind]);

/** Why the settings at `path` can't be used. */
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

/** Settings of the group named `group`. */
export const groupSettings = (state: SettingsState, group: string): Result<GroupSettings, SettingsFailure> =>
    readSettings(schemas.group, state, `groups/${group}`);

/** Settings of the plain service named `service`. */
export const serviceSettings = (state: SettingsState, service: string): Result<ServiceSettings, SettingsFailure> =>
    readSettings(schemas.service, state, `services/${service}`);

/** Settings of a client account; a deeper account is named by its segments, `clerks/fes`. */
export const clientAccountSettings = (
    state: SettingsState,
    clientAccount: string,
): Result<ClientAccountSettings, SettingsFailure> =>
    readSettings(schemas.clientAccount, state, `clientAccounts/${clientAccount}`);

/** Settings of an availability zone; one without a node of its own is in service. */
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

/** Names of all client accounts that have a node, the deeper ones with their segments joined by "/". */
export const clientAccountNames = childNames("clientAccounts");

const idempotentMethods = new Set(["GET", "HEAD", "PUT", "DELETE"]);

/** Whether `method path` of a service may be repeated: by its first matching route, else by the method. */
export const isIdempotentRoute = (settings: ServiceSettings, method: string, path: string): boolean => {
    const route = settings.routes.find(({ method: routeMethod, pathPrefix }) =>
        routeMethod === method && path.startsWith(pathPrefix)
    );
    return route?.idempotent ?? idempotentMethods.has(method);
};
