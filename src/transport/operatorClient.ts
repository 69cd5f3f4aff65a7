/**
 * Calls from the operator command line to the control address of a daemon.
 */
import { createTRPCClient, httpLink } from "@trpc/client";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import { Agent } from "undici";
import type { ZoneOrder, ZoneState } from "../coordination/zoneOrders.js";
import { operatorEndpoint } from "../protocol/controlPaths.js";
import type { OperatorRouter } from "../protocol/operatorRouter.js";
import { reasonOf } from "../state/errors.js";
import { requestWhole } from "./boundedBody.js";
import { pacedConnections } from "./pacedSocket.js";
import { peerFetch } from "./peerFetch.js";
import { createTimeoutSignal } from "./timeoutSignal.js";

const timeoutMilliseconds = 5_000;
const agent = new Agent(pacedConnections("entry"));

const callWithTimeout = async <Value>(
    signal: AbortSignal,
    call: (timeoutSignal: AbortSignal) => Promise<Result<Value, string>>,
): Promise<Result<Value, string>> => {
    const { signal: timeoutSignal, dispose } = createTimeoutSignal(signal, timeoutMilliseconds);
    try {
        return await call(timeoutSignal);
    }
    catch (error) {
        return err(reasonOf(error));
    }
    finally {
        dispose();
    }
};

/** Orders the daemon at `address` to take an availability zone into or out of service; the error is a message. */
export const orderZone = (
    address: string,
    token: string,
    availabilityZone: string,
    state: ZoneState,
    signal: AbortSignal,
): Promise<Result<ZoneOrder, string>> => {
    const headers = { authorization: `Bearer ${token}` };
    const client = createTRPCClient<OperatorRouter>({
        links: [httpLink({ url: `http://${address}${operatorEndpoint}`, headers, fetch: peerFetch })],
    });
    return callWithTimeout(
        signal,
        async timeoutSignal =>
            ok(await client.orderZone.mutate({ availabilityZone, state }, { signal: timeoutSignal })),
    );
};

/** Fetches the state dump of the daemon at `address` as JSON text; the error is a message. */
export const fetchDump = (address: string, token: string, signal: AbortSignal): Promise<Result<string, string>> =>
    callWithTimeout(signal, async timeoutSignal => {
        const { status, body } = await requestWhole({
            dispatcher: agent,
            url: `http://${address}/state`,
            kind: "entry",
            method: "GET",
            headers: { authorization: `Bearer ${token}` },
            signal: timeoutSignal,
        });
        const text = body.toString("utf8");
        return status === 200 ? ok(text) : err(`status ${status}: ${text.slice(0, 200)}`);
    });
