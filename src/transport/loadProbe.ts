/**
 * Polls the load of agents over HTTP, with a timeout short enough to detect a frozen agent.
 */
import { err, ok } from "neverthrow";
import { Agent, request } from "undici";
import type { LoadProbe } from "../coordination/upstreamMonitor.js";
import { loadReportSchema, loadRoute } from "../protocol/attemptProtocol.js";
import { createTimeoutSignal } from "./timeoutSignal.js";

const timeoutMilliseconds = 500;
const okStatus = 200;

/** Creates a probe that authenticates to agents with `token`. */
export const createLoadProbe = (token: string): LoadProbe => {
    const dispatcher = new Agent({ connect: { timeout: timeoutMilliseconds }, pipelining: 1 });
    const headers = { authorization: `Bearer ${token}` };
    return async ({ host, address }, signal) => {
        const timeout = createTimeoutSignal(signal, timeoutMilliseconds);
        try {
            const response = await request(`http://${address}${loadRoute}`, {
                dispatcher,
                headers,
                signal: timeout.signal,
            });
            const parsed = loadReportSchema.safeParse(await response.body.json());
            return response.statusCode === okStatus && parsed.success
                ? ok(parsed.data)
                : err(`agent "${host}" responded with status ${response.statusCode} without a valid load report`);
        }
        catch (error) {
            return err(`load probe of agent "${host}" failed: ${(error as Error).message}`);
        }
        finally {
            timeout.dispose();
        }
    };
};
