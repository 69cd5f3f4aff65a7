/**
 * The platform's host list over HTTP.
 *
 * Daemons poll it with the entity tag of the version that they hold, so that an unchanged list costs an answer without a
 * body: at some thousand hosts the list is far larger than what a daemon may spend on control in a second.
 */
import { err, ok, type Result } from "neverthrow";
import { request } from "undici";
import type { HostList, HostListFailure } from "../coordination/hostListFollower.js";
import { describeDecodingError } from "../protocol/decoding.js";
import { decodeHostList } from "../protocol/hostListMessages.js";
import { createTimeoutSignal } from "./timeoutSignal.js";

const timeoutMilliseconds = 2_000;
const okStatus = 200;
const notModifiedStatus = 304;

const missingListFailure: HostListFailure = {
    kind: "unavailable",
    reason: "the host list answered without a list",
};

/** A version that no list has, for a reader that holds none. */
const noVersion = -1;

/** Reads the list of the platform at `platform` (`http://ip:port`); gives undefined if it is at `knownVersion`. */
export const readNewerHostList = async (
    platform: string,
    knownVersion: number,
    signal: AbortSignal,
): Promise<Result<HostList | undefined, HostListFailure>> => {
    const timeout = createTimeoutSignal(signal, timeoutMilliseconds);
    try {
        const headers = knownVersion === noVersion ? {} : { "if-none-match": `"${knownVersion}"` };
        const response = await request(`${platform}/hosts`, { headers, signal: timeout.signal });
        const text = await response.body.text();
        if (response.statusCode === notModifiedStatus) {
            return ok(undefined);
        }
        if (response.statusCode !== okStatus) {
            return err({ kind: "unavailable", reason: `the host list answered status ${response.statusCode}` });
        }
        return decodeHostList(text)
            .mapErr(failure => ({ kind: "unavailable", reason: describeDecodingError(failure) }));
    }
    catch (error) {
        return err({ kind: "unavailable", reason: (error as Error).message });
    }
    finally {
        timeout.dispose();
    }
};

/** Reads the whole list. */
export const readHostList = async (
    platform: string,
    signal: AbortSignal,
): Promise<Result<HostList, HostListFailure>> =>
    (await readNewerHostList(platform, noVersion, signal)).andThen(list =>
        list === undefined ? err(missingListFailure) : ok(list)
    );
