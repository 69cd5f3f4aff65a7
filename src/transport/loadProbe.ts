/**
 * Polls the load of agents over HTTP, with a timeout short enough to detect a frozen agent.
 */
import { err, ok } from "neverthrow";
import { Agent } from "undici";
import type { LoadProbe } from "../coordination/upstreamMonitor.js";
import { loadReportSchema, loadRoute } from "../protocol/attemptProtocol.js";
import { requestWhole } from "./boundedBody.js";
import { pacedConnections } from "./pacedSocket.js";
import { createTimeoutSignal } from "./timeoutSignal.js";

const timeoutMilliseconds = 500;
const okStatus = 200;

/** Creates a probe that authenticates to agents with `token`. */
export const createLoadProbe = (token: string): LoadProbe => {
    const dispatcher = new Agent(pacedConnections("report", timeoutMilliseconds));
    const headers = { authorization: `Bearer ${token}` };
    return async ({ host, address }, signal) => {
        const timeout = createTimeoutSignal(signal, timeoutMilliseconds);
        try {
            const { status, body } = await requestWhole({
                dispatcher,
                url: `http://${address}${loadRoute}`,
                kind: "report",
                method: "GET",
                headers,
                signal: timeout.signal,
            });
            const parsed = loadReportSchema.safeParse(JSON.parse(body.toString("utf8")));
            return status === okStatus && parsed.success
                ? ok(parsed.data)
                : err(`agent "${host}" responded with status ${status} without a valid load report`);
        }
        catch (error) {
            return err(`load probe of agent "${host}" failed: ${(error as Error).message}`);
        }
        finally {
            timeout.dispose();
        }
    };
};
