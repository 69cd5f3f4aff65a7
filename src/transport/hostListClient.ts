/**
 * The platform's host list over HTTP.
 */
import { err, type Result } from "neverthrow";
import { request } from "undici";
import type { HostList, HostListFailure } from "../coordination/hostListFollower.js";
import { describeDecodingError } from "../protocol/decoding.js";
import { decodeHostList } from "../protocol/hostListMessages.js";
import { boundSignal } from "./boundedSignal.js";

const timeoutMilliseconds = 2_000;
const okStatus = 200;

/** Reads the list of the platform at `platform` (`http://ip:port`). */
export const readHostList = async (
    platform: string,
    signal: AbortSignal,
): Promise<Result<HostList, HostListFailure>> => {
    const bounded = boundSignal(signal, timeoutMilliseconds);
    try {
        const answer = await request(`${platform}/hosts`, { signal: bounded.signal });
        const text = await answer.body.text();
        if (answer.statusCode !== okStatus) {
            return err({ kind: "unavailable", reason: `the host list answered status ${answer.statusCode}` });
        }
        return decodeHostList(text).mapErr(failure => ({
            kind: "unavailable",
            reason: describeDecodingError(failure),
        }));
    }
    catch (error) {
        return err({ kind: "unavailable", reason: (error as Error).message });
    }
    finally {
        bounded.release();
    }
};
