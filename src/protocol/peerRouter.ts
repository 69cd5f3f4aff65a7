/**
 * The procedures that daemons offer to each other, as a tRPC router.
 *
 * Transport serves the router on the control address and checks the peers' token before any procedure runs.
 */
import { initTRPC } from "@trpc/server";
import { z } from "zod";
import { answerPeerExchange } from "../coordination/gossip.js";
import type { GossipTopic } from "../coordination/gossip.js";

export type PeerContext = { topics: readonly GossipTopic[]; };

const { router, procedure } = initTRPC.context<PeerContext>().create();

const topicPayloadsSchema = z.record(z.string(), z.unknown());
const relayExchangeSchema = z.object({ digests: topicPayloadsSchema, updates: topicPayloadsSchema });

export const peerRouter = router({
    /** Takes in what the caller found lacking here, and gives what the caller's digests show that it lacks. */
    exchange: procedure
        .input(relayExchangeSchema)
        .output(relayExchangeSchema)
        .mutation(({ input, ctx }) => answerPeerExchange(ctx.topics, input)),
});

export type PeerRouter = typeof peerRouter;
