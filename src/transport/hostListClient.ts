/**
 * HTTP client for the platform's host list.
 *
 * Daemons poll with the entity tag of the version that they hold, so that an unchanged list is a response without a
 * body: with some thousand hosts the list far exceeds the bandwidth per second that a daemon may use for control
 * traffic.
 */
import { err, ok, type Result } from "neverthrow";
import { Agent } from "undici";
import type { HostList, HostListFailure } from "../coordination/hostListFollower.js";
import { describeDecodingError } from "../protocol/decoding.js";
import { decodeHostList } from "../protocol/hostListMessages.js";
import { requestWhole } from "./boundedBody.js";
import { pacedConnections } from "./pacedSocket.js";
import { createTimeoutSignal } from "./timeoutSignal.js";

const timeoutMilliseconds = 2_000;
const agent = new Agent(pacedConnections("store"));
const okStatus = 200;
const notModifiedStatus = 304;

const missingListFailure: HostListFailure = {
    kind: "unavailable",
    reason: "host list request returned no list",
};

/** Version number that no list has, for a reader that holds no list. */
const noVersion = -1;

/** Reads the host list of `platform` (`http://ip:port`); returns undefined if its version is `knownVersion`. */
export const readNewerHostList = async (
    platform: string,
    knownVersion: number,
    signal: AbortSignal,
): Promise<Result<HostList | undefined, HostListFailure>> => {
    const timeout = createTimeoutSignal(signal, timeoutMilliseconds);
    try {
        const headers = knownVersion === noVersion ? {} : { "if-none-match": `"${knownVersion}"` };
        const { status, body } = await requestWhole({
            dispatcher: agent,
            url: `${platform}/hosts`,
            kind: "store",
            method: "GET",
            headers,
            signal: timeout.signal,
        });
        if (status === notModifiedStatus) {
            return ok(undefined);
        }
        if (status !== okStatus) {
            return err({ kind: "unavailable", reason: `host list request failed with status ${status}` });
        }
        return decodeHostList(body.toString("utf8"))
            .mapErr(failure => ({ kind: "unavailable", reason: describeDecodingError(failure) }));
    }
    catch (error) {
        return err({ kind: "unavailable", reason: (error as Error).message });
    }
    finally {
        timeout.dispose();
    }
};

/** Reads the current host list. */
export const readHostList = async (
    platform: string,
    signal: AbortSignal,
): Promise<Result<HostList, HostListFailure>> =>
    (await readNewerHostList(platform, noVersion, signal)).andThen(list =>
        list === undefined ? err(missingListFailure) : ok(list)
    );
