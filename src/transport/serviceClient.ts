/**
 * HTTP client of an agent for its plain service.
 *
 * A service that dies closes its connections like one that has finished, so an answer whose end only its connection marks is
 * whole if the service still accepts connections just after.
 */
import { err, ok } from "neverthrow";
import type { Dispatcher } from "undici";
import type { ServiceClient } from "../coordination/upstreamClients.js";
import { requestWhole, type WholeResponse } from "./boundedBody.js";
import { classifyUpstreamError } from "./engineClient.js";
import { isPortOpen } from "./ingress/portCheck.js";
import { createStreamDispatcher } from "./upstreamConnections.js";

const bodilessStatuses = new Set([204, 304]);

/** Whether only the end of its connection marks the end of the response to `method`. */
const endsWithConnection = ({ status, headers }: WholeResponse, method: string): boolean =>
    headers["content-length"] === undefined && headers["transfer-encoding"] === undefined
    && method !== "HEAD" && !bodilessStatuses.has(status);

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
                if (endsWithConnection(response, attempt.method) && !await isPortOpen(address, signal)) {
                    return err({ kind: "crashed", reason: "the service closed its port with its answer" });
                }
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
