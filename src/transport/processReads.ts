/**
 * The reads of this process from its peers, which share one allowance and one budget, and a count of those that it ended.
 */
import { createPeerReads, type PeerReadKind, type PeerReads, type ReadVerdict } from "../coordination/peerReads.js";
import { monotonicClock } from "./systemClock.js";

const rule = createPeerReads(monotonicClock);
const endedReads = new Map<PeerReadKind, number>();

const countEnd = (kind: PeerReadKind, verdict: ReadVerdict): ReadVerdict => {
    if (verdict.kind === "end") {
        endedReads.set(kind, (endedReads.get(kind) ?? 0) + 1);
    }
    return verdict;
};

export const processReads: PeerReads = {
    open: kind => {
        const read = rule.open(kind);
        return {
            take: (bytes, pieces) => countEnd(kind, read.take(bytes, pieces)),
            keep: (bytes, pieces) => countEnd(kind, read.keep(bytes, pieces)),
            takeInterim: () => countEnd(kind, read.takeInterim()),
            close: read.close,
        };
    },
    openBuffer: rule.openBuffer,
};

/** How many reads exceeded a bound since the start, for the metrics endpoint. */
export const peerReadMetricsText = (): string =>
    [...endedReads].map(([kind, count]) => `peer_reads_ended_total{kind="${kind}"} ${count}\n`).join("");

const peerReadErrorCode = "ERR_PEER_READ";

/** The error of a read that exceeded a bound. */
export const createPeerReadError = (reason: string): Error =>
    Object.assign(new Error(`response ended: ${reason}`), { code: peerReadErrorCode });

export const isPeerReadError = (error: unknown): boolean =>
    error instanceof Error && "code" in error && error.code === peerReadErrorCode;
