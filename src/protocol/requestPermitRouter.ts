/**
 * tRPC router by which an entry asks another for a permit to send a request to an upstream that states a limit.
 */
import { initTRPC } from "@trpc/server";
import { z } from "zod";
import type { PermitDecision } from "../coordination/ingress/requestPermits.js";
import type { PermitQuestion } from "../coordination/ingress/upstreamLimits.js";
import { limitStatementSchema } from "./entryGossipMessages.js";

export const requestPermitEndpoint = "/permits";

const questionSchema = z.object({
    id: z.string(),
    bornAt: z.number(),
    availabilityZone: z.string(),
    statement: limitStatementSchema,
});
const decisionSchema = z.object({ isGranted: z.boolean(), closedForMilliseconds: z.number().nonnegative() });

export type RequestPermitContext = { answer: (question: PermitQuestion) => PermitDecision; };

const { router, procedure } = initTRPC.context<RequestPermitContext>().create();

export const requestPermitRouter = router({
    take: procedure.input(questionSchema).output(decisionSchema).mutation(({ input, ctx }) => ctx.answer(input)),
});

export type RequestPermitRouter = typeof requestPermitRouter;
