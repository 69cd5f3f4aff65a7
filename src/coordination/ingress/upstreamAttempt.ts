/**
 * One attempt of a request: its delivery to one upstream, the response, and the ways in which it can fail.
 *
 * Each attempt uses a connection of its own, so that neither a late duplicate response nor a dead pooled connection can
 * affect another request. The connection is established before anything is sent, so an unreachable upstream doesn't
 * count against the attempts of the route.
 */
import type { Result } from "neverthrow";
import type { Upstream } from "../../state/ingressTypes.js";
import type { ReadVerdict } from "../peerReads.js";
import type { HeldBytes } from "./bufferBudget.js";
import type { ResponseMetadata, UpstreamRequestMetadata } from "./headerAdapter.js";

/** `unreachable`: nothing was sent; `broken`: the request may have been executed, and no usable response arrived. */
export type TransportFailure = { kind: "unreachable" | "broken"; reason: string; };

/** How an attempt without a usable response ended, including what the response itself shows. */
export type FailedAttempt = {
    /**
     * `unreachable`: nothing was sent; `misdirected`: the address now belongs to another upstream; `not-run`: the
     * upstream states that it has not executed the request; `broken`: it may have been executed.
     */
    kind: "unreachable" | "misdirected" | "not-run" | "broken";
    reason: string;
    /** Whether this entry may have caused it, so that it says nothing about the upstream. */
    isOwnDoing?: boolean;
    /** How the body ended that isn't whole; `pendingBytes` are those of an event without an end. */
    ending?: BodyEnding & { pendingBytes?: number; };
};

/**
 * How the end of a body is marked: by its length, by the last of its chunks, or by the end of its connection; `none`: the
 * method or the status has no body; `other-coding`: by a transfer coding that isn't decoded.
 */
export type BodyFraming = "length" | "chunks" | "connection" | "none" | "other-coding";

/**
 * What ended a body. `marked`: the end that its framing states; `closed`: the upstream closed the connection; `reset`: the
 * connection failed; `silent`: no data for too long; `invalid`: bytes that are no HTTP; `oversized`: more than is read of
 * a server; `abandoned`: this entry closed it.
 */
export type BodyEnd = "marked" | "closed" | "reset" | "silent" | "invalid" | "oversized" | "abandoned";

/** `end` is undefined until the body has ended. */
export type BodyEnding = {
    framing: BodyFraming;
    end: BodyEnd | undefined;
    bodyBytes: number;
    /** The bound for which an oversized body was ended. */
    exceeded?: string;
};

/** Whether the body arrived completely. */
export const isWholeBody = ({ framing, end }: BodyEnding): boolean => end === "marked" && framing !== "other-coding";

export type UpstreamResponse = {
    status: number;
    metadata: ResponseMetadata;
    /** Raw headers for the caller, names and values alternating. */
    headers: string[];
    /** The body as it arrives; ends early, without an exception, if the response is cut off. */
    body: AsyncIterable<Buffer>;
    /** How the body ended. */
    ending: () => BodyEnding;
    /** States how many bytes wait for the rest of an event; absent if these aren't bounded. */
    keepPending?: (bytes: number) => ReadVerdict;
    /** Ends the attempt and closes its connection. */
    close: () => void;
};

export type AttemptTimeouts = {
    /** Longest wait for the response headers, once the connection is established. */
    headersMilliseconds: number;
    /** Longest time without data while the body is read. */
    idleMilliseconds: number;
};

const misdirectedStatus = 421;

/** Why a response can't be used; undefined if it is the upstream's own and its body can be read. */
export const findResponseFault = (
    { metadata, status }: UpstreamResponse,
    requestId: string,
): FailedAttempt | undefined => {
    if (metadata.requestId !== undefined && metadata.requestId !== requestId) {
        return { kind: "broken", reason: "the response belongs to another request" };
    }
    if (metadata.isNotRun) {
        if (metadata.requestId === undefined) {
            return { kind: "broken", reason: `status ${status}, for no request that it names` };
        }
        return { kind: status === misdirectedStatus ? "misdirected" : "not-run", reason: `status ${status}` };
    }
    return metadata.isSealed ? undefined : { kind: "broken", reason: `status ${status} without the upstream's seal` };
};

/** Whether the failure shows that the upstream is not at its address. */
export const isUpstreamAbsent = ({ kind }: FailedAttempt): boolean => kind === "unreachable" || kind === "misdirected";

/**
 * Reads complete bodies, and adds their bytes to `held`; undefined if a response was cut off or exceeds the budget of
 * `held`.
 */
export type BodyReader = (response: UpstreamResponse, held?: HeldBytes) => Promise<Buffer[] | undefined>;

/** Parts that are joined into one, as each takes some hundred bytes beside its own. */
const joinedParts = 256;

/** The bytes of a body are bounded where they are read from the connection. */
export const readFullBody: BodyReader = async (response, held) => {
    const whole: Buffer[] = [];
    let parts: Buffer[] = [];
    let counted = 0;
    for await (const part of response.body) {
        if (held?.fits(part.length) === false) {
            response.close();
            break;
        }
        held?.add(part.length);
        counted += part.length;
        parts.push(part);
        if (parts.length === joinedParts) {
            whole.push(Buffer.concat(parts));
            parts = [];
        }
    }
    if (isWholeBody(response.ending())) {
        return [...whole, ...parts];
    }
    held?.add(-counted);
    return undefined;
};

/** Sends the caller's request to `upstream` and resolves once the response headers have arrived. */
export type SendToUpstream = (
    upstream: Upstream,
    metadata: Omit<UpstreamRequestMetadata, "upstreamId" | "bodyBytes">,
    timeouts: AttemptTimeouts,
    signal: AbortSignal,
) => Promise<Result<UpstreamResponse, TransportFailure>>;
