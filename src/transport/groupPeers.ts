/**
 * Communication between the agents of one group: serves the group's tRPC router and calls the routers of the other
 * ranks.
 */
import { createTRPCClient, httpLink, type TRPCClient } from "@trpc/client";
import { fetchRequestHandler } from "@trpc/server/adapters/fetch";
import type { Hono } from "hono";
import { err, ok, type Result } from "neverthrow";
import type { ExpertLoadReport } from "../coordination/expertLoad.js";
import type { PeerFailure, RankPeers } from "../coordination/mapSwitchInterfaces.js";
import { groupEndpoint } from "../protocol/controlPaths.js";
import { type GroupContext, type GroupRouter, groupRouter } from "../protocol/groupRouter.js";
import { reasonOf } from "../state/errors.js";
import type { HostRecord } from "../state/types.js";
import { withBoundedBody } from "./boundedRequest.js";
import type { NodeBindings } from "./httpServer.js";
import { requireToken } from "./operatorRoutes.js";
import { peerFetch } from "./peerFetch.js";
import { createTimeoutSignal } from "./timeoutSignal.js";

const timeoutMilliseconds = 1_000;
const prepareTimeoutMilliseconds = 300_000;

/** Adds the procedures for agents of the group. A request without `peerToken` gets status 401. */
export const addGroupRoutes = (application: Hono<NodeBindings>, context: GroupContext, peerToken: string): void => {
    application.use(`${groupEndpoint}/*`, requireToken(peerToken));
    application.all(`${groupEndpoint}/*`, route =>
        withBoundedBody(route, req =>
            fetchRequestHandler({
                endpoint: groupEndpoint,
                req,
                router: groupRouter,
                createContext: () => context,
            })));
};

export type GroupPeers = RankPeers & {
    /** Load report of the rank's engine, or undefined if it is unavailable. */
    expertLoad: (rank: number, signal: AbortSignal) => Promise<ExpertLoadReport | undefined>;
};

/** Creates a client for the agents of `group`, whose addresses are taken from the host list. */
export const createGroupPeers = (group: string, hosts: () => HostRecord[], peerToken: string): GroupPeers => {
    const addressOf = (rank: number): string | undefined =>
        hosts().find(({ serves }) => serves?.kind === "group" && serves.group === group && serves.rank === rank)
            ?.address;

    const call = async <Value>(
        rank: number,
        timeout: number,
        signal: AbortSignal,
        action: (client: TRPCClient<GroupRouter>, signal: AbortSignal) => Promise<Value>,
    ): Promise<Result<Value, PeerFailure>> => {
        const address = addressOf(rank);
        if (address === undefined) {
            return err({ kind: "unreachable", reason: `rank ${rank} of group "${group}" is not in the host list` });
        }
        const url = `http://${address}${groupEndpoint}`;
        const headers = { authorization: `Bearer ${peerToken}` };
        const bounded = createTimeoutSignal(signal, timeout);
        try {
            const client = createTRPCClient<GroupRouter>({ links: [httpLink({ url, headers, fetch: peerFetch })] });
            return ok(await action(client, bounded.signal));
        }
        catch (error) {
            return err({ kind: "unreachable", reason: `rank ${rank} at "${address}": ${reasonOf(error)}` });
        }
        finally {
            bounded.dispose();
        }
    };

    return {
        exchange: async (rank, ownReport, signal) => {
            const response = await call(
                rank,
                timeoutMilliseconds,
                signal,
                (client, timeoutSignal) => client.exchange.mutate(ownReport, { signal: timeoutSignal }),
            );
            return response.andThen(peerReport =>
                peerReport === undefined
                    ? err({ kind: "refused" as const, reason: `rank ${rank} does not switch expert maps` })
                    : ok(peerReport)
            );
        },
        prepare: async (rank, fence, order, signal) => {
            const prepared = await call(
                rank,
                prepareTimeoutMilliseconds,
                signal,
                (client, timeoutSignal) => client.prepare.mutate({ fence, order }, { signal: timeoutSignal }),
            );
            return prepared.andThen(({ refused }) =>
                refused === undefined ? ok() : err({ kind: "refused" as const, reason: refused })
            );
        },
        expertLoad: async (rank, signal) => {
            const load = await call(
                rank,
                timeoutMilliseconds,
                signal,
                (client, timeoutSignal) => client.expertLoad.query(undefined, { signal: timeoutSignal }),
            );
            return load.unwrapOr(undefined);
        },
    };
};
