/**
 * One sending of a request to one upstream, as the decisions about requests see it.
 *
 * Every sending has a connection of its own, so that neither a late second answer nor a silent old connection can touch
 * another request; and as the connection is made before anything is sent, an unreachable upstream costs no attempt.
 */
import type { Result } from "neverthrow";
import type { Upstream } from "../../state/ingressTypes.js";
import type { AnswerMarks, OutgoingHead } from "./requestHeads.js";

/** `unreachable`: nothing was sent; `broken`: the request may have run, and no usable answer came. */
export type SendingFailure = { kind: "unreachable" | "broken"; reason: string; };

export type UpstreamAnswer = {
    status: number;
    marks: AnswerMarks;
    /** Raw header fields for the caller. */
    fields: string[];
    /** The body as it comes; ends early with an error value when the answer is cut. */
    body: AsyncIterable<Buffer>;
    /** Whether the body came whole; true only after its end. */
    isWhole: () => boolean;
    /** Ends the exchange and its connection. */
    close: () => void;
};

export type SendingTimes = {
    /** Longest wait for the head of the answer. */
    headMilliseconds: number;
    /** Longest silence within the answer. */
    silenceMilliseconds: number;
};

/** Sends the caller's request to `upstream`. */
export type SendToUpstream = (
    upstream: Upstream,
    head: Omit<OutgoingHead, "upstreamId" | "bodyBytes">,
    times: SendingTimes,
    signal: AbortSignal,
) => Promise<Result<UpstreamAnswer, SendingFailure>>;
