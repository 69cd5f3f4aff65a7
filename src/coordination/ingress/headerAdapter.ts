/**
 * What the ingress asks of the adapter that knows the header fields of a platform.
 */
import type { IncomingMessage } from "node:http";
import type { Envelope } from "../../state/ingressTypes.js";

/** What the balancer adds to a request that it passes on. */
export type UpstreamRequestMetadata = {
    /** The only upstream that may run it. */
    upstreamId: string;
    /** How long the caller still waits. */
    patienceMilliseconds: number;
    clientAccount: string | undefined;
    /** The last event that the caller has; undefined leaves what the caller itself said. */
    lastEventId: string | undefined;
    bodyBytes: number;
};

/** What the head of an answer says about it. */
export type ResponseMetadata = {
    /** The request that it answers. */
    requestId: string | undefined;
    /** Carries the upstream's proof that the answer is its own. */
    isSealed: boolean;
    /** States that the upstream has not run the request. */
    isNotRun: boolean;
};

export type HeaderAdapter = {
    readEnvelope: (request: IncomingMessage) => Envelope;
    /** Raw header fields for the upstream, names and values by turns. */
    upstreamRequestHeaders: (request: IncomingMessage, metadata: UpstreamRequestMetadata) => string[];
    readResponseMetadata: (response: IncomingMessage) => ResponseMetadata;
    /** Raw header fields for the caller; a stream that may be resumed states no length. */
    callerResponseHeaders: (response: IncomingMessage, isStream: boolean) => string[];
    /** The header field under which answers repeat the request's id. */
    requestIdHeader: string;
};
