/**
 * HTTP client of an agent for its plain service.
 */
import { err, ok } from "neverthrow";
import type { Dispatcher } from "undici";
import type { ServiceClient } from "../coordination/upstreamClients.js";
import { requestWhole } from "./boundedBody.js";
import { classifyUpstreamError } from "./engineClient.js";
import { createStreamDispatcher } from "./upstreamConnections.js";

const bodilessMethods = new Set(["GET", "HEAD"]);

/** Creates the client of the service at `address` (`ip:port`). */
export const createServiceClient = (address: string): ServiceClient => {
    const dispatcher = createStreamDispatcher();
    return {
        call: async (attempt, signal) => {
            try {
                const response = await requestWhole({
                    dispatcher,
                    url: `http://${address}${attempt.path}`,
                    kind: "answer",
                    method: attempt.method as Dispatcher.HttpMethod,
                    signal,
                    headers: {
                        "x-request-id": attempt.requestId,
                        ...(attempt.contentType === undefined ? {} : { "content-type": attempt.contentType }),
                        ...(attempt.idempotencyKey === undefined ? {} : { "idempotency-key": attempt.idempotencyKey }),
                    },
                    ...(bodilessMethods.has(attempt.method) ? {} : { body: attempt.body }),
                });
                const contentType = response.headers["content-type"];
                return ok({
                    status: response.status,
                    body: response.body.toString("utf8"),
                    ...(contentType === undefined ? {} : { contentType: String(contentType) }),
                });
            }
            catch (error) {
                return err(classifyUpstreamError(error, signal));
            }
        },
    };
};
