/**
 * One HTTP call with a JSON body and a time limit, on undici's shared connections.
 */
import { err, ok, type Result } from "neverthrow";
import { request } from "undici";
import { reasonOf } from "../state/errors.js";
import { boundSignal } from "./boundedSignal.js";

/** Posts `body`, or gets where there is none; an error is the reason why no whole answer came. */
export const callWithin = async (
    url: string,
    body: object | undefined,
    milliseconds: number,
    signal: AbortSignal,
): Promise<Result<{ status: number; text: string; }, string>> => {
    const bounded = boundSignal(signal, milliseconds);
    try {
        const answer = await request(url, {
            method: body === undefined ? "GET" : "POST",
            headers: { "content-type": "application/json" },
            ...(body === undefined ? {} : { body: JSON.stringify(body) }),
            signal: bounded.signal,
        });
        return ok({ status: answer.statusCode, text: await answer.body.text() });
    }
    catch (error) {
        return err(reasonOf(error));
    }
    finally {
        bounded.release();
    }
};
