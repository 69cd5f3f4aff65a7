/**
 * Hands requests of other entries and agents on with a body that was read through the process's rule.
 */
import type { Context } from "hono";
import { ResultAsync } from "neverthrow";
import { reasonOf } from "../state/errors.js";
import { readWholeBody } from "./boundedBody.js";
import type { NodeBindings } from "./httpServer.js";
import { processReads } from "./processReads.js";

const tooLargeStatus = 413;

/** Calls `handle` with the request and its whole body; answers 413 and closes the connection if it exceeds a bound. */
export const withBoundedBody = async (
    { req, env }: Context<NodeBindings>,
    handle: (request: Request) => Promise<Response>,
): Promise<Response> => {
    if (req.method === "GET" || req.method === "HEAD") {
        return handle(req.raw);
    }
    const read = processReads.open("entry");
    try {
        const body = await ResultAsync.fromPromise(readWholeBody(env.incoming, read), reasonOf);
        if (body.isErr()) {
            return new Response(body.error, { status: tooLargeStatus, headers: { connection: "close" } });
        }
        const { signal, headers } = req.raw;
        const { method, url } = req;
        return await handle(new Request(url, { method, headers, body: new Uint8Array(body.value), signal }));
    }
    finally {
        read.close();
    }
};
