/**
 * Sends requests to upstreams, checks the ends of their responses and records the notices in them.
 */
import type { IncomingMessage } from "node:http";
import type { DeploymentState } from "../../coordination/ingress/deploymentState.js";
import type { HeaderAdapter } from "../../coordination/ingress/headerAdapter.js";
import type { IngressLog } from "../../coordination/ingress/ingressLog.js";
import { withCheckedEnds } from "../../coordination/ingress/unmarkedEnds.js";
import type { SendToUpstream } from "../../coordination/ingress/upstreamAttempt.js";
import { type NoticeRecorders, withNotices } from "../../coordination/ingress/upstreamNotices.js";
import type { Metrics } from "../../coordination/metrics.js";
import type { Clock } from "../../state/types.js";
import { processReads } from "../processReads.js";
import { isPortOpen } from "./portCheck.js";
import type { RequestBuffers } from "./requestBuffers.js";
import { createUpstreamReads } from "./upstreamReads.js";
import { createSender } from "./upstreamSender.js";

export type CheckedSender = (message: IncomingMessage, body: Buffer, buffers?: RequestBuffers) => SendToUpstream;

export const createCheckedSender = (
    headerAdapter: HeaderAdapter,
    { log, metrics }: { log: IngressLog; metrics: Metrics; },
    notices: NoticeRecorders & { state: Pick<DeploymentState, "isLeaving">; },
    clock: Pick<Clock, "now">,
): CheckedSender => {
    const reads = createUpstreamReads(processReads, { log, metrics });
    const checks = { isPortOpen, isLeaving: notices.state.isLeaving };
    return (message, body, buffers) =>
        withNotices(
            withCheckedEnds(createSender(headerAdapter, reads, message, body, buffers), checks),
            notices,
            clock,
        );
};
