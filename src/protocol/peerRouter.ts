/**
 * tRPC router with the procedures that daemons call on each other.
 *
 * The transport layer serves it on the control address and checks the peer token before any procedure runs.
 */
import { initTRPC } from "@trpc/server";
import { z } from "zod";
import { answerPeerExchange } from "../coordination/gossip.js";
import type { GossipTopic } from "../coordination/gossip.js";

export type PeerContext = { topics: readonly GossipTopic[]; };

const { router, procedure } = initTRPC.context<PeerContext>().create();

const topicPayloadsSchema = z.record(z.string(), z.unknown());
const gossipExchangeSchema = z.object({ digests: topicPayloadsSchema, updates: topicPayloadsSchema });

export const peerRouter = router({
    /** Applies the caller's updates and returns the updates that the caller is missing according to its digests. */
    exchange: procedure
        .input(gossipExchangeSchema)
        .output(gossipExchangeSchema)
        .mutation(({ input, ctx }) => answerPeerExchange(ctx.topics, input)),
});

export type PeerRouter = typeof peerRouter;
