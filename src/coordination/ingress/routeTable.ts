/**
 * The active configuration, indexed for lookups: routes by host and longest path prefix, accounts by API key.
 */
import type { Envelope, IngressAccount, IngressConfiguration, IngressRoute } from "../../state/ingressTypes.js";

export type RouteTable = {
    configuration: IngressConfiguration;
    findRoute: (host: string, path: string) => IngressRoute | undefined;
    findAccount: (apiKey: string) => IngressAccount | undefined;
    /**
     * Rank of a stream among those of its service, 0 for the most urgent; undefined if the service's streaming routes
     * don't differ in priority. The account's priority decides first, then the route's.
     */
    urgencyOf: (service: string, route: IngressRoute, account: IngressAccount | undefined) => number | undefined;
};

const ascending = (values: Set<number>): number[] => [...values].sort((left, right) => left - right);

type Priorities = {
    /** Distinct priorities of the routes, highest first. */
    routes: number[];
    /** Distinct priorities of accounts, highest first. */
    accounts: number[];
};

/** For each service whose streaming routes differ in priority. */
const prioritiesByService = ({ routes, accounts }: IngressConfiguration): Map<string, Priorities> => {
    const routePriorities = new Map<string, Set<number>>();
    for (const { services, priority } of routes.filter(({ kind }) => kind === "streaming")) {
        for (const { service } of services) {
            routePriorities.set(service, (routePriorities.get(service) ?? new Set()).add(priority));
        }
    }
    return new Map(
        [...routePriorities].filter(([, distinct]) => distinct.size > 1).map(([service, distinct]) => [service, {
            routes: ascending(distinct),
            // A route's own priority counts for callers without an account and for accounts without a priority.
            accounts: ascending(new Set([...distinct, ...(accounts ?? []).flatMap(({ priority }) => priority ?? [])])),
        }]),
    );
};

export const compileRouteTable = (configuration: IngressConfiguration): RouteTable => {
    const byHost = new Map<string, Map<string, IngressRoute>>();
    for (const route of configuration.routes) {
        const routes = byHost.get(route.host) ?? new Map<string, IngressRoute>();
        routes.set(route.pathPrefix, route);
        byHost.set(route.host, routes);
    }
    const accounts = new Map(
        (configuration.accounts ?? []).flatMap(account => account.keys.map(key => [key, account] as const)),
    );

    const findRoute = (host: string, path: string): IngressRoute | undefined => {
        const routes = byHost.get(host);
        if (routes === undefined) {
            return undefined;
        }
        // Prefixes end with a slash, so only the parts of the path up to a slash can match; the longest is tried first.
        for (let end = path.lastIndexOf("/"); end >= 0; end = end === 0 ? -1 : path.lastIndexOf("/", end - 1)) {
            const route = routes.get(path.slice(0, end + 1));
            if (route !== undefined) {
                return route;
            }
        }
        return undefined;
    };

    const priorities = prioritiesByService(configuration);

    return {
        configuration,
        findRoute,
        findAccount: apiKey => accounts.get(apiKey),
        urgencyOf: (service, route, account) => {
            const distinct = priorities.get(service);
            return distinct === undefined
                ? undefined
                : distinct.accounts.indexOf(account?.priority ?? route.priority) * distinct.routes.length
                    + distinct.routes.indexOf(route.priority);
        },
    };
};

export type AuthorizationResult =
    | { kind: "allowed"; route: IngressRoute; account: IngressAccount | undefined; priority: number; }
    | { kind: "unknown-route"; }
    | { kind: "unauthenticated"; };

/** Finds the route and the account of a request; API keys are checked if the configuration lists accounts, even none. */
export const authorize = (table: RouteTable, { host, path, apiKey }: Envelope): AuthorizationResult => {
    const route = table.findRoute(host, path);
    if (route === undefined) {
        return { kind: "unknown-route" };
    }
    const account = apiKey === undefined ? undefined : table.findAccount(apiKey);
    if (account === undefined && !route.isPublic && table.configuration.accounts !== undefined) {
        return { kind: "unauthenticated" };
    }
    return { kind: "allowed", route, account, priority: account?.priority ?? route.priority };
};

/** Selects one of the route's services in proportion to their weights; `sample` is uniform in [0, 1). */
export const chooseService = ({ services }: IngressRoute, sample: number): string | undefined => {
    const total = services.reduce((sum, { weight }) => sum + weight, 0);
    let remaining = sample * total;
    return services.find(({ weight }) => {
        remaining -= weight;
        return remaining < 0;
    })?.service ?? services.at(-1)?.service;
};
