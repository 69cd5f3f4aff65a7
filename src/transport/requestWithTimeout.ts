/**
 * A single HTTP request with a JSON body and a timeout, on a connection pool shared by all callers.
 */
import { err, ok, type Result } from "neverthrow";
import { Agent } from "undici";
import { reasonOf } from "../state/errors.js";
import { requestWhole } from "./boundedBody.js";
import { pacedConnections } from "./pacedSocket.js";
import { createTimeoutSignal } from "./timeoutSignal.js";

const agent = new Agent(pacedConnections("report"));

/** Sends `body` with POST, or GET if undefined; the error is the reason why no complete response was received. */
export const requestWithTimeout = async (
    url: string,
    body: object | undefined,
    timeoutMilliseconds: number,
    signal: AbortSignal,
): Promise<Result<{ status: number; text: string; }, string>> => {
    const timeout = createTimeoutSignal(signal, timeoutMilliseconds);
    try {
        const response = await requestWhole({
            dispatcher: agent,
            url,
            kind: "report",
            method: body === undefined ? "GET" : "POST",
            headers: { "content-type": "application/json" },
            ...(body === undefined ? {} : { body: JSON.stringify(body) }),
            signal: timeout.signal,
        });
        return ok({ status: response.status, text: response.body.toString("utf8") });
    }
    catch (error) {
        return err(reasonOf(error));
    }
    finally {
        timeout.dispose();
    }
};
