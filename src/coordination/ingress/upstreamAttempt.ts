/**
 * One sending of a request to one upstream, as the decisions about requests see it.
 *
 * Every sending has a connection of its own, so that neither a late second answer nor a silent old connection can touch
 * another request; and as the connection is made before anything is sent, an unreachable upstream costs no attempt.
 */
import type { Result } from "neverthrow";
import type { Upstream } from "../../state/ingressTypes.js";
import type { ResponseMetadata, UpstreamRequestMetadata } from "./headerAdapter.js";

/** `unreachable`: nothing was sent; `broken`: the request may have run, and no usable answer came. */
export type TransportFailure = { kind: "unreachable" | "broken"; reason: string; };

/** How a sending without a usable answer ended, beyond `SendingFailure`. */
export type FailedAttempt = {
    /**
     * `unreachable`: nothing was sent; `misdirected`: the address belongs to another upstream now; `not-run`: the upstream
     * says that it has not run the request; `broken`: it may have run.
     */
    kind: "unreachable" | "misdirected" | "not-run" | "broken";
    reason: string;
};

export type UpstreamResponse = {
    status: number;
    metadata: ResponseMetadata;
    /** Raw header fields for the caller. */
    headers: string[];
    /** The body as it comes; ends early with an error value when the answer is cut. */
    body: AsyncIterable<Buffer>;
    /** Whether the body came whole; true only after its end. */
    isComplete: () => boolean;
    /** Ends the exchange and its connection. */
    close: () => void;
};

export type AttemptTimeouts = {
    /** Longest wait for the head of the answer. */
    headersMilliseconds: number;
    /** Longest silence within the answer. */
    idleMilliseconds: number;
};

const misdirectedStatus = 421;

/** Why an answer can't be used; undefined if it is the upstream's own and may be read on. */
export const findResponseFault = (
    { metadata: metadata, status }: UpstreamResponse,
    requestId: string,
): FailedAttempt | undefined => {
    if (metadata.requestId !== undefined && metadata.requestId !== requestId) {
        return { kind: "broken", reason: "the answer belongs to another request" };
    }
    if (metadata.isNotRun) {
        return { kind: status === misdirectedStatus ? "misdirected" : "not-run", reason: `status ${status}` };
    }
    return metadata.isSealed ? undefined : { kind: "broken", reason: `status ${status} without a seal` };
};

/** Whether the loss shows that the upstream itself is not there. */
export const isUpstreamAbsent = ({ kind }: FailedAttempt): boolean => kind === "unreachable" || kind === "misdirected";

/** The whole body; undefined if the answer was cut. */
export const readFullBody = async (response: UpstreamResponse): Promise<Buffer[] | undefined> => {
    const chunks: Buffer[] = [];
    for await (const chunk of response.body) {
        chunks.push(chunk);
    }
    return response.isComplete() ? chunks : undefined;
};

/** Sends the caller's request to `upstream`. */
export type SendToUpstream = (
    upstream: Upstream,
    metadata: Omit<UpstreamRequestMetadata, "upstreamId" | "bodyBytes">,
    timeouts: AttemptTimeouts,
    signal: AbortSignal,
) => Promise<Result<UpstreamResponse, TransportFailure>>;
