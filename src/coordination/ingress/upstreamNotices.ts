/**
 * What upstreams say about themselves in their responses: that they are leaving, that they want a pause, and how many
 * requests a second they take.
 */
import type { Clock } from "../../state/types.js";
import type { DeploymentState } from "./deploymentState.js";
import type { StatedLimits } from "./statedLimits.js";
import type { SendToUpstream } from "./upstreamAttempt.js";
import type { UpstreamPauses } from "./upstreamPauses.js";

const misdirectedStatus = 421;
const unavailableStatus = 503;

/** Where notices are recorded. */
export type NoticeRecorders = {
    state: Pick<DeploymentState, "markLeaving">;
    pauses: Pick<UpstreamPauses, "record">;
    limits: Pick<StatedLimits, "record" | "recordNone">;
};

/** Sends as `send` does, and records the notices in each response before its caller sees it. */
export const withNotices = (
    send: SendToUpstream,
    { state, pauses, limits }: NoticeRecorders,
    clock: Pick<Clock, "now">,
): SendToUpstream =>
async (upstream, ...rest) => {
    const sentAt = clock.now();
    const sent = await send(upstream, ...rest);
    sent.map(({ status, metadata }) => {
        // A misdirected request was answered by another server at the same address.
        if (status === misdirectedStatus) {
            return;
        }
        if (metadata.isLeaving) {
            state.markLeaving(upstream.id, upstream.bornAt, "its response");
        }
        if (metadata.retryAfter !== undefined && status === unavailableStatus) {
            pauses.record(upstream, metadata.retryAfter);
        }
        if (metadata.requestsPerSecond !== undefined) {
            limits.record(upstream, metadata.requestsPerSecond);
        }
        else if (metadata.isSealed) {
            limits.recordNone(upstream, sentAt);
        }
    });
    return sent;
};
