/**
 * A single HTTP request with a JSON body and a timeout, on a connection pool shared by all callers.
 */
import { err, ok, type Result } from "neverthrow";
import { Agent } from "undici";
import { reasonOf } from "../state/errors.js";
import { createTimeoutSignal } from "./timeoutSignal.js";

const agent = new Agent();

/** Sends `body` with POST, or GET if undefined; the error is the reason why no complete response was received. */
export const requestWithTimeout = async (
    url: string,
    body: object | undefined,
    timeoutMilliseconds: number,
    signal: AbortSignal,
): Promise<Result<{ status: number; text: string; }, string>> => {
    const timeout = createTimeoutSignal(signal, timeoutMilliseconds);
    try {
        const { origin, pathname, search } = new URL(url);
        const response = await agent.request({
            origin,
            path: `${pathname}${search}`,
            method: body === undefined ? "GET" : "POST",
            headers: { "content-type": "application/json" },
            ...(body === undefined ? {} : { body: JSON.stringify(body) }),
            signal: timeout.signal,
        });
        return ok({ status: response.statusCode, text: await response.body.text() });
    }
    catch (error) {
        return err(reasonOf(error));
    }
    finally {
        timeout.dispose();
    }
};
