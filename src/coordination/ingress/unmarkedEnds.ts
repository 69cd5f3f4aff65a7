/**
 * Decides whether an answer is whole whose end is marked by nothing but the end of its connection.
 *
 * A server that dies closes its connections like one that has finished. But then its port is closed too, unless it is
 * known to be leaving: such a server may stop listening before its last answers.
 */
import { ok } from "neverthrow";
import type { Upstream } from "../../state/ingressTypes.js";
import type { SendToUpstream, UpstreamResponse } from "./upstreamAttempt.js";

export type EndChecks = {
    /** Whether connections to the upstream's address are refused. */
    isPortClosed: (address: string, signal: AbortSignal) => Promise<boolean>;
    isLeaving: (upstreamId: string) => boolean;
};

const checkEnd = (
    response: UpstreamResponse,
    { id, address }: Upstream,
    { isPortClosed, isLeaving }: EndChecks,
    signal: AbortSignal,
): UpstreamResponse => {
    let isMarked = false;
    async function* readBody(): AsyncGenerator<Buffer> {
        yield* response.body;
        isMarked = response.ending().end === "closed" && (isLeaving(id) || !await isPortClosed(address, signal));
    }
    return {
        ...response,
        body: readBody(),
        ending: () => isMarked ? { ...response.ending(), end: "marked" } : response.ending(),
    };
};

/** Sends as `send` does, and checks the ends that only the connection marks. */
export const withCheckedEnds =
    (send: SendToUpstream, checks: EndChecks): SendToUpstream => async (upstream, metadata, timeouts, signal) =>
        (await send(upstream, metadata, timeouts, signal)).andThen(response =>
            ok(response.ending().framing === "connection" ? checkEnd(response, upstream, checks, signal) : response)
        );
