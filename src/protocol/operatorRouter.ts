/**
 * tRPC router with the procedures of a daemon for operators.
 *
 * The transport layer serves it on the control address and checks the operator token before any procedure runs.
 */
import { initTRPC } from "@trpc/server";
import { z } from "zod";
import type { ZoneOrders } from "../coordination/zoneOrders.js";

export type OperatorContext = { zoneOrders: ZoneOrders; };

const { router, procedure } = initTRPC.context<OperatorContext>().create();

export const operatorRouter = router({
    /** Takes an availability zone out of or into service at once, until the next accepted change of its settings. */
    orderZone: procedure
        .input(z.object({ availabilityZone: z.string().min(1), state: z.enum(["in", "out"]) }))
        .mutation(({ input, ctx }) => ctx.zoneOrders.order(input.availabilityZone, input.state)),
});

export type OperatorRouter = typeof operatorRouter;
