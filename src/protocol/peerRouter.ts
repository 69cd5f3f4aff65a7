/**
 * The procedures that daemons offer to each other, as a tRPC router.
 *
 * Transport serves the router on the control address and checks the peers' token before any procedure runs.
 */
import { initTRPC } from "@trpc/server";
import { z } from "zod";
import { answerDigests } from "../coordination/relay.js";
import type { RelayTopic } from "../coordination/relay.js";

/** Largest answer of the relay: a whole tree of the size to come fits. */
export const maximumRelayAnswerBytes = 8 * 1_048_576;

export type PeerContext = { topics: readonly RelayTopic[]; };

const { router, procedure } = initTRPC.context<PeerContext>().create();

const relayMessage = z.record(z.string(), z.unknown());

export const peerRouter = router({
    /** Gives, topic by topic, what the calling peer's digests show that it lacks. */
    exchange: procedure
        .input(relayMessage)
        .output(relayMessage)
        .mutation(({ input, ctx }) => answerDigests(ctx.topics, input, maximumRelayAnswerBytes)),
});

export type PeerRouter = typeof peerRouter;
