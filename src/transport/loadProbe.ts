/**
 * Asks agents for their load over HTTP, with a time limit short enough to tell a frozen agent from a busy one.
 */
import { err, ok } from "neverthrow";
import { Agent, request } from "undici";
import type { LoadProbe } from "../coordination/upstreamMonitor.js";
import { loadReportSchema, loadRoute } from "../protocol/attemptProtocol.js";
import { createTimeoutSignal } from "./timeoutSignal.js";

const timeoutMilliseconds = 500;
const okStatus = 200;

/** Builds the probe that presents `token` to each agent. */
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
                : err(`agent "${host}" answered status ${response.statusCode} without a load report`);
        }
        catch (error) {
            return err(`agent "${host}" gave no load report: ${(error as Error).message}`);
        }
        finally {
            timeout.dispose();
        }
    };
};
