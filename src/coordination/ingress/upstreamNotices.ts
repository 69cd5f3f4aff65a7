/**
 * What upstreams say about themselves in their responses: that they are leaving, and that they want a pause.
 */
import type { DeploymentState } from "./deploymentState.js";
import type { SendToUpstream } from "./upstreamAttempt.js";
import type { UpstreamPauses } from "./upstreamPauses.js";

const misdirectedStatus = 421;
const unavailableStatus = 503;

/** Sends as `send` does, and records the notices in each response before its caller sees it. */
export const withNotices = (
    send: SendToUpstream,
    state: Pick<DeploymentState, "markLeaving">,
    pauses: Pick<UpstreamPauses, "record">,
): SendToUpstream =>
async (upstream, ...rest) => {
    const sent = await send(upstream, ...rest);
    sent.map(({ status, metadata }) => {
        // A misdirected request was answered by another server at the same address.
        if (metadata.isLeaving && status !== misdirectedStatus) {
            state.markLeaving(upstream.id, upstream.bornAt, "its response");
        }
        if (metadata.retryAfter !== undefined && status === unavailableStatus) {
            pauses.record(upstream, metadata.retryAfter);
        }
    });
    return sent;
};
