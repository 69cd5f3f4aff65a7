/**
 * The procedures that daemons offer to each other, as a tRPC router.
 *
 * Transport serves the router on the control address and checks the peers' token before any procedure runs.
 */
import { initTRPC } from "@trpc/server";
import { z } from "zod";
import { answerPeer } from "../coordination/relay.js";
import type { RelayTopic } from "../coordination/relay.js";

export type PeerContext = { topics: readonly RelayTopic[]; };

const { router, procedure } = initTRPC.context<PeerContext>().create();

const relayMessage = z.record(z.string(), z.unknown());
const relayExchange = z.object({ digests: relayMessage, updates: relayMessage });

export const peerRouter = router({
    /** Takes in what the caller found lacking here, and gives what the caller's digests show that it lacks. */
    exchange: procedure
        .input(relayExchange)
        .output(relayExchange)
        .mutation(({ input, ctx }) => answerPeer(ctx.topics, input)),
});

export type PeerRouter = typeof peerRouter;
