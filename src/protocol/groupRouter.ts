/**
 * The procedures that agents of one group offer to each other, as a tRPC router.
 */
import { initTRPC } from "@trpc/server";
import { z } from "zod";
import type { ExpertLoadReport } from "../coordination/expertLoad.js";
import type { MapSwitch } from "../coordination/mapSwitch.js";
import { expertLoadReportSchema, peerReportSchema, prepareOrderSchema } from "./groupRecords.js";

export type GroupContext = {
    /** Undefined while the agent does not know its group's settings. */
    mapSwitch: () => MapSwitch | undefined;
    expertLoad: (signal: AbortSignal) => Promise<ExpertLoadReport | undefined>;
    signal: AbortSignal;
};

const { router, procedure } = initTRPC.context<GroupContext>().create();

export const groupRouter = router({
    /** Takes the calling agent's news and gives this agent's, if it switches expert maps. */
    exchange: procedure
        .input(peerReportSchema)
        .output(peerReportSchema.optional())
        .mutation(({ input, ctx }) => ctx.mapSwitch()?.handleExchange(input)),
    /** Has this agent's rank load a planned map; answers with the reason if it was refused. */
    prepare: procedure
        .input(z.object({ fence: z.int(), order: prepareOrderSchema }))
        .output(z.object({ refused: z.string().optional() }))
        .mutation(async ({ input, ctx }) => {
            const prepared = await ctx.mapSwitch()?.prepare(input.fence, input.order, ctx.signal);
            return prepared === undefined
                ? { refused: "the agent does not switch expert maps" }
                : prepared.match(() => ({}), ({ reason }) => ({ refused: reason }));
        }),
    /** Gives the rank's last load report, if its engine has one. */
    expertLoad: procedure
        .output(expertLoadReportSchema.optional())
        .query(({ ctx }) => ctx.expertLoad(ctx.signal)),
});

export type GroupRouter = typeof groupRouter;
