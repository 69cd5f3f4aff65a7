/**
 * What an entry reads from its upstreams, by the rule of peer reads, with a log line and metrics for those that send too
 * much or too fast.
 */
import type { IngressLog } from "../../coordination/ingress/ingressLog.js";
import type { Metrics } from "../../coordination/metrics.js";
import type { PeerReads } from "../../coordination/peerReads.js";

/** How a response was read, once it has been. */
export type FinishedRead = {
    requestId: string;
    upstreamId: string;
    /** All that arrived on the connection. */
    readBytes: number;
    /** For how long the connection was not read as it sent too fast. */
    slowedMilliseconds: number;
    /** The bound that it exceeded, for which it was ended. */
    exceeded: string | undefined;
};

export type UpstreamReads = PeerReads & { onFinished: (read: FinishedRead) => void; };

/** A sound answer that arrives at once may wait for some tenths of a second. */
const loggedSlowedMilliseconds = 1_000;

export const createUpstreamReads = (
    peerReads: PeerReads,
    { log, metrics }: { log: IngressLog; metrics: Metrics; },
): UpstreamReads => ({
    ...peerReads,
    onFinished: ({ requestId, upstreamId, readBytes, slowedMilliseconds, exceeded }) => {
        if (exceeded !== undefined) {
            metrics.count(`ingress_upstream_reads_total{bound="size"}`);
        }
        else if (slowedMilliseconds >= loggedSlowedMilliseconds) {
            metrics.count(`ingress_upstream_reads_total{bound="pace"}`);
        }
        else {
            return;
        }
        log.request(requestId, "upstream sent too much", {
            upstream: upstreamId,
            readBytes,
            slowedMilliseconds: Math.round(slowedMilliseconds),
            exceeded,
        });
    },
});
