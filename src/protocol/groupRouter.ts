/**
 * tRPC router with the procedures that the agents of a group call on each other.
 */
import { initTRPC } from "@trpc/server";
import { z } from "zod";
import type { ExpertLoadReport } from "../coordination/expertLoad.js";
import type { MapSwitch } from "../coordination/mapSwitch.js";
import { expertLoadReportSchema, peerReportSchema, prepareOrderSchema } from "./groupRecords.js";

export type GroupContext = {
    /** Returns undefined until the agent has read the settings of its group. */
    mapSwitch: () => MapSwitch | undefined;
    expertLoad: (signal: AbortSignal) => Promise<ExpertLoadReport | undefined>;
    signal: AbortSignal;
};

const { router, procedure } = initTRPC.context<GroupContext>().create();

export const groupRouter = router({
    /** Accepts the report of the calling agent and returns this agent's report, if it manages expert maps. */
    exchange: procedure
        .input(peerReportSchema)
        .output(peerReportSchema.optional())
        .mutation(({ input, ctx }) => ctx.mapSwitch()?.handleExchange(input)),
    /** Makes this agent's rank load a planned map; returns the reason if that is refused. */
    prepare: procedure
        .input(z.object({ fence: z.int(), order: prepareOrderSchema }))
        .output(z.object({ refused: z.string().optional() }))
        .mutation(async ({ input, ctx }) => {
            const prepared = await ctx.mapSwitch()?.prepare(input.fence, input.order, ctx.signal);
            return prepared === undefined
                ? { refused: "the agent does not switch expert maps" }
                : prepared.match(() => ({}), ({ reason }) => ({ refused: reason }));
        }),
    /** Returns the last expert load report of the rank, if its engine has one. */
    expertLoad: procedure
        .output(expertLoadReportSchema.optional())
        .query(({ ctx }) => ctx.expertLoad(ctx.signal)),
});

export type GroupRouter = typeof groupRouter;
