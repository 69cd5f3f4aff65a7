/**
 * tRPC router by which the coordinator of a group gives an agent the map that the engine beside it is to prepare, and the
 * encoding of maps: deflated JSON, a fifth of its size.
 */
import { initTRPC } from "@trpc/server";
import { err, ok, type Result } from "neverthrow";
import { deflateRawSync } from "node:zlib";
import { z } from "zod";
import type { ExpertPlacement, OrderOutcome } from "../coordination/experts/rankEngine.js";
import { inflateBounded } from "./boundedInflate.js";
import { decodeJsonAs, describeDecodingError } from "./decoding.js";

export const mapRelayEndpoint = "/maps";

const placementSchema = z.array(z.array(z.array(z.int())));
const answerSchema = z.union([
    z.object({ outcome: z.enum(["done", "refused"]) }),
    z.object({ failure: z.string() }),
]);

export type MapRelayAnswer = z.infer<typeof answerSchema>;

/** Encoded maps, as one goes to each rank of a group. */
const encodedMaps = new WeakMap<ExpertPlacement, string>();

export const encodeMap = (map: ExpertPlacement): string => {
    const known = encodedMaps.get(map);
    if (known !== undefined) {
        return known;
    }
    const encoded = deflateRawSync(JSON.stringify(map)).toString("base64");
    encodedMaps.set(map, encoded);
    return encoded;
};

export const decodeMap = (encoded: string): Result<ExpertPlacement, string> =>
    inflateBounded(Buffer.from(encoded, "base64")).andThen(text =>
        decodeJsonAs(placementSchema, text.toString("utf8")).mapErr(describeDecodingError)
    );

export type MapRelayContext = {
    /** Gives the order to the engine beside this agent. */
    prepare: (epoch: number, version: number, map: ExpertPlacement) => Promise<Result<OrderOutcome, string>>;
};

const { router, procedure } = initTRPC.context<MapRelayContext>().create();

export const mapRelayRouter = router({
    prepare: procedure
        .input(z.object({ epoch: z.int(), version: z.int(), map: z.string() }))
        .output(answerSchema)
        .mutation(async ({ input: { epoch, version, map }, ctx }): Promise<MapRelayAnswer> => {
            const decoded = decodeMap(map);
            const answer = decoded.isErr()
                ? err<OrderOutcome, string>(decoded.error)
                : await ctx.prepare(epoch, version, decoded.value);
            return answer.match<MapRelayAnswer>(outcome => ({ outcome }), failure => ({ failure }));
        }),
});

export type MapRelayRouter = typeof mapRelayRouter;

export const toOrderOutcome = (answer: MapRelayAnswer): Result<OrderOutcome, string> =>
    "failure" in answer ? err(answer.failure) : ok(answer.outcome);
