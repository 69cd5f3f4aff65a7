/**
 * Carries new expert maps from the agent that coordinates a group to the agents of the other ranks, on the port of their
 * datagrams.
 */
import { createTRPCClient, httpLink } from "@trpc/client";
import { err } from "neverthrow";
import type { RelayPrepare } from "../../coordination/experts/relayedMaps.js";
import {
    encodeMap,
    type MapRelayContext,
    mapRelayEndpoint,
    type MapRelayRouter,
    mapRelayRouter,
    toOrderOutcome,
} from "../../protocol/mapRelayRouter.js";
import { reasonOf } from "../../state/errors.js";
import { splitAddress } from "../address.js";
import { withBoundedBody } from "../boundedRequest.js";
import { type Listener, listenLazily, type NodeBindings } from "../httpServer.js";
import { peerFetch } from "../peerFetch.js";
import { createTimeoutSignal } from "../timeoutSignal.js";

/** A map for each of a hundred ranks takes most of a second on the link of one machine. */
const answerTimeoutMilliseconds = 2_500;

/** Serves the agents that coordinate on `address` (`ip:port`). */
export const serveMapRelay = (address: string, context: MapRelayContext): Promise<Listener> =>
    listenLazily(async () => {
        const [{ Hono }, { fetchRequestHandler }] = await Promise.all([
            import("hono"),
            import("@trpc/server/adapters/fetch"),
        ]);
        const application = new Hono<NodeBindings>();
        application.all(`${mapRelayEndpoint}/*`, route =>
            withBoundedBody(route, req =>
                fetchRequestHandler({
                    endpoint: mapRelayEndpoint,
                    req,
                    router: mapRelayRouter,
                    createContext: () => context,
                })));
        return application;
    }, address);

const createClient = (address: string) =>
    createTRPCClient<MapRelayRouter>({
        links: [httpLink({ url: `http://${address}${mapRelayEndpoint}`, fetch: peerFetch })],
    });

/** Reaches the agent of an engine at the engine's host and the agents' common `port`. */
export const createMapRelay = (port: number): RelayPrepare => {
    const clients = new Map<string, ReturnType<typeof createClient>>();

    const clientFor = (engine: string): ReturnType<typeof createClient> => {
        const address = `${splitAddress(engine).host}:${port}`;
        const client = clients.get(address) ?? createClient(address);
        clients.set(address, client);
        return client;
    };

    return async (engine, epoch, { version, map }, signal) => {
        const bounded = createTimeoutSignal(signal, answerTimeoutMilliseconds);
        try {
            const input = { epoch, version, map: encodeMap(map) };
            return toOrderOutcome(await clientFor(engine).prepare.mutate(input, { signal: bounded.signal }));
        }
        catch (error) {
            return err(reasonOf(error));
        }
        finally {
            bounded.dispose();
        }
    };
};
