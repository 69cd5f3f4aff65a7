/**
 * Asks agents for their load over HTTP, with a time limit short enough to tell a frozen agent from a busy one.
 */
import { err, ok } from "neverthrow";
import { Agent, request } from "undici";
import type { LoadProbe } from "../coordination/upstreamWatch.js";
import { loadReportSchema, loadRoute } from "../protocol/attemptProtocol.js";
import { boundSignal } from "./boundedSignal.js";

const timeoutMilliseconds = 500;
const okStatus = 200;

/** Builds the probe that presents `token` to each agent. */
export const createLoadProbe = (token: string): LoadProbe => {
    const dispatcher = new Agent({ connect: { timeout: timeoutMilliseconds }, pipelining: 1 });
    const headers = { authorization: `Bearer ${token}` };
    return async ({ host, address }, signal) => {
        const bounded = boundSignal(signal, timeoutMilliseconds);
        try {
            const answer = await request(`http://${address}${loadRoute}`, {
                dispatcher,
                headers,
                signal: bounded.signal,
            });
            const checked = loadReportSchema.safeParse(await answer.body.json());
            return answer.statusCode === okStatus && checked.success
                ? ok(checked.data)
                : err(`agent "${host}" answered status ${answer.statusCode} without a load report`);
        }
        catch (error) {
            return err(`agent "${host}" gave no load report: ${(error as Error).message}`);
        }
        finally {
            bounded.release();
        }
    };
};
