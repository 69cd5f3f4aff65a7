/**
 * Hands requests on with a body that was read through the rule for clients.
 */
import type { Context } from "hono";
import type { NodeBindings } from "./httpServer.js";
import type { BodyRefusal } from "./processClients.js";
import { readRequestBody } from "./requestBody.js";

/** Of requests between daemons: maps and reports of all ranks of a group are the largest. */
export const maximumPeerRequestBytes = 16_777_216;
const refusalStatus: Record<BodyRefusal, number> = { "too-large": 413, "no-room": 503 };

/** Reads the body of a request; resolves with the request that has it, or at once with the reason why it is refused. */
const readBoundedRequest = (
    { req, env }: Context<NodeBindings>,
    maximumBytes: number,
): Promise<Request | BodyRefusal> =>
    req.method === "GET" || req.method === "HEAD" ? Promise.resolve(req.raw) : new Promise((resolve, reject) => {
        const { incoming: message, outgoing: response } = env;
        const { signal, headers } = req.raw;
        const { method, url } = req;
        readRequestBody({ message, response, maximumBytes, onRefused: resolve })
            .then(body =>
                body === undefined
                    ? undefined
                    : resolve(new Request(url, { method, headers, body: new Uint8Array(body), signal }))
            )
            .catch(reject);
    });

/** Calls `handle` with the request and its whole body; refuses it and closes the connection if it exceeds a bound. */
export const withBoundedBody = async (
    context: Context<NodeBindings>,
    handle: (request: Request) => Promise<Response>,
): Promise<Response> => {
    const request = await readBoundedRequest(context, maximumPeerRequestBytes);
    return typeof request === "string"
        ? new Response(`request body refused: ${request}`, {
            status: refusalStatus[request],
            headers: { connection: "close" },
        })
        : handle(request);
};

/** Replaces the request of `context` by one with its whole body; resolves with the reason if that is refused. */
export const boundBody = async (
    context: Context<NodeBindings>,
    maximumBytes = maximumPeerRequestBytes,
): Promise<BodyRefusal | undefined> => {
    const request = await readBoundedRequest(context, maximumBytes);
    if (typeof request === "string") {
        return request;
    }
    context.req.raw = request;
    return undefined;
};
