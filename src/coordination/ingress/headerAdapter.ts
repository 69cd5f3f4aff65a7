/**
 * Interface to the platform's header fields: reads them from requests and responses, and builds those to be forwarded.
 */
import type { IncomingMessage } from "node:http";
import type { Envelope } from "../../state/ingressTypes.js";

/** What the load balancer adds to a request that it forwards. */
export type UpstreamRequestMetadata = {
    /** The only upstream that may execute the request. */
    upstreamId: string;
    /** How long the caller keeps waiting. */
    patienceMilliseconds: number;
    clientAccount: string | undefined;
    /** The last event that the caller has received; undefined leaves the caller's own header field unchanged. */
    lastEventId: string | undefined;
    bodyBytes: number;
    /** Position in the upstream's own queue, 0 (first) to 9; undefined leaves it to the upstream. */
    queuePriority?: number | undefined;
};

/** What the headers of a response state about it. */
export type ResponseMetadata = {
    /** The request that it responds to. */
    requestId: string | undefined;
    /** Whether it carries the seal by which the upstream marks its own responses. */
    isSealed: boolean;
    /** Whether the upstream states that it has not executed the request. */
    isNotRun: boolean;
    /** Whether the body is a stream of events. */
    isEventStream: boolean;
    /** Whether the upstream states that it is leaving. */
    isLeaving: boolean;
    /** How long it asks to be left alone, in seconds as it states them. */
    retryAfter: string | undefined;
    /** How many requests it takes a second from all entries together, as it states them. */
    requestsPerSecond: string | undefined;
};

export type HeaderAdapter = {
    readEnvelope: (request: IncomingMessage) => Envelope;
    /** Raw headers for the upstream, names and values alternating. */
    upstreamRequestHeaders: (request: IncomingMessage, metadata: UpstreamRequestMetadata) => string[];
    readResponseMetadata: (response: IncomingMessage) => ResponseMetadata;
    /** Raw headers for the caller; a stream gets no length, as it may be resumed at another upstream. */
    callerResponseHeaders: (response: IncomingMessage, isStream: boolean) => string[];
    /** The header field in which requests carry their id and responses repeat it. */
    requestIdHeader: string;
};
