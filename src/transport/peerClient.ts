/**
 * tRPC client for the gossip exchange with other daemons.
 */
import { createTRPCClient, httpLink } from "@trpc/client";
import { err, ok } from "neverthrow";
import type { PeerExchange } from "../coordination/gossip.js";
import { peerEndpoint } from "../protocol/controlPaths.js";
import type { PeerRouter } from "../protocol/peerRouter.js";
import { reasonOf } from "../state/errors.js";
import { peerFetch } from "./peerFetch.js";
import { createTimeoutSignal } from "./timeoutSignal.js";

const timeoutMilliseconds = 2_000;

/** Creates the exchange function that authenticates to peers with `token`. */
export const createPeerExchange = (token: string): PeerExchange => async (address, message, signal) => {
    const client = createTRPCClient<PeerRouter>({
        links: [
            httpLink({
                url: `http://${address}${peerEndpoint}`,
                headers: { authorization: `Bearer ${token}` },
                fetch: peerFetch,
            }),
        ],
    });
    const timeout = createTimeoutSignal(signal, timeoutMilliseconds);
    try {
        return ok(await client.exchange.mutate(message, { signal: timeout.signal }));
    }
    catch (error) {
        return err({ kind: "unreachable", reason: `peer "${address}": ${reasonOf(error)}` });
    }
    finally {
        timeout.dispose();
    }
};
