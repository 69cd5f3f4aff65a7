/**
 * Calls the plain service beside an agent.
 */
import { err, ok } from "neverthrow";
import { type Dispatcher, request } from "undici";
import type { ServiceClient } from "../coordination/upstreamClients.js";
import { upstreamFailure } from "./engineClient.js";
import { createStreamDispatcher } from "./upstreamConnections.js";

const bodilessMethods = new Set(["GET", "HEAD"]);

/** Builds the client of the service at `address` (`ip:port`). */
export const createServiceClient = (address: string): ServiceClient => {
    const dispatcher = createStreamDispatcher();
    return {
        call: async (attempt, signal) => {
            try {
                const answer = await request(`http://${address}${attempt.path}`, {
                    method: attempt.method as Dispatcher.HttpMethod,
                    dispatcher,
                    signal,
                    headers: {
                        "x-request-id": attempt.requestId,
                        ...(attempt.contentType === undefined ? {} : { "content-type": attempt.contentType }),
                        ...(attempt.idempotencyKey === undefined ? {} : { "idempotency-key": attempt.idempotencyKey }),
                    },
                    ...(bodilessMethods.has(attempt.method) ? {} : { body: attempt.body }),
                });
                const contentType = answer.headers["content-type"];
                return ok({
                    status: answer.statusCode,
                    body: await answer.body.text(),
                    ...(contentType === undefined ? {} : { contentType: String(contentType) }),
                });
            }
            catch (error) {
                return err(upstreamFailure(error, signal));
            }
        },
    };
};
