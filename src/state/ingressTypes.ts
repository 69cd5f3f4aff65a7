/**
 * Domain types of a deployment whose configuration and upstreams are listed in the platform's store.
 *
 * Durations are in milliseconds. Points in time are readings of the monotonic clock, so they are unaffected by changes
 * of the system time; a time read from the store remains in milliseconds since the Unix epoch and is documented as
 * such.
 */

/** Whether requests may be retried; `streaming` responses are event streams, retried only if the route is resumable. */
export type RequestKind = "idempotent" | "non-idempotent" | "streaming";

/** Dimensions of a group's expert maps. */
export type ExpertShape = {
    layers: number;
    experts: number;
    /** The most experts that a rank can hold in one layer. */
    placesPerRank: number;
    /** The most experts per layer that a rank can load with one new map. */
    newPerMap: number;
    /** Time that a rank takes to load one expert. */
    loadMilliseconds: number;
};

export type WeightedService = { service: string; weight: number; };

export type IngressRoute = {
    name: string;
    host: string;
    /** Begins and ends with a slash. */
    pathPrefix: string;
    kind: RequestKind;
    /** The services that receive its requests, in proportion to their weights. */
    services: WeightedService[];
    /** The most upstreams that one request may be sent to. */
    attempts: number;
    /** A request without a complete response after this time fails. */
    timeoutMilliseconds: number;
    /** Latency objective for the complete response, or for the first event of a stream. */
    objectiveMilliseconds: number;
    /** 0 is the highest. */
    priority: number;
    /** Requests need no API key. */
    isPublic: boolean;
    /** A stream may be resumed at another upstream after its last event. */
    isResumable: boolean;
    /** Longest pause between two events of a stream that callers accept. */
    gapTargetMilliseconds: number;
};

/** What the operator states of a model engine's speed and memory; all servers of a service have the same. */
export type EngineProfile = {
    /** Tokens that the requests of one server may hold together. */
    tokenMemory: number;
    /** Decoding steps between two events of a stream. */
    stepsPerPass: number;
    millisecondsPerStep: number;
    /** Added to each step for each stream that is being written. */
    millisecondsPerStream: number;
    /** Added to each step for each 1,000 tokens of context of the streams that are being written. */
    millisecondsPerThousandContextTokens: number;
    promptTokensPerMillisecond: number;
    usualPromptTokens: number;
    usualAnswerTokens: number;
};

export type UpstreamService = {
    name: string;
    /** Undefined for a service that is no model, or if the operator doesn't state it. */
    engine: EngineProfile | undefined;
    /** Dimensions of its groups' expert maps; undefined for a service that is no mixture-of-experts model. */
    experts: ExpertShape | undefined;
};

/** Limits on requests and on idle connections of callers. */
export type CallerLimits = {
    headerBytes: number;
    bodyBytes: number;
    headerTimeoutMilliseconds: number;
    idleTimeoutMilliseconds: number;
};

export type IngressAccount = { name: string; keys: string[]; priority: number | undefined; };

export type IngressConfiguration = {
    version: number;
    routes: IngressRoute[];
    services: UpstreamService[];
    limits: CallerLimits;
    /** Undefined if requests need no API key; an empty list admits public routes only. */
    accounts: IngressAccount[] | undefined;
};

/** The lock-step group to which a model upstream belongs. */
export type GroupMembership = { name: string; epoch: number; rank: number; isOpen: boolean; };

/** One run of a server process; its address may later be reused by another. */
export type Upstream = {
    id: string;
    service: string;
    /** `ip:port` */
    address: string;
    availabilityZone: string;
    /** Number of requests that it processes concurrently. */
    slots: number;
    isDraining: boolean;
    /** Remaining warm-up time at the time of its report. */
    coldMilliseconds: number;
    /** Start time in milliseconds since the Unix epoch; distinguishes two runs with the same id. */
    bornAt: number;
    /** Increases with each record that this run writes; 0 if its records don't say. */
    revision: number;
    group: GroupMembership | undefined;
};

/** The platform-independent content of the request line and headers of a caller's request. */
export type Envelope = {
    requestId: string;
    host: string;
    method: string;
    /** Path and query as received. */
    target: string;
    path: string;
    /** How long the caller keeps waiting; undefined if the request doesn't say. */
    patienceMilliseconds: number | undefined;
    apiKey: string | undefined;
    promptTokens: number;
    maximumAnswerTokens: number;
    /** The caller's estimate of the answer's length; right at the median, but often far off. Undefined if not stated. */
    expectedAnswerTokens: number | undefined;
    /** Ids of the parts of the prompt in order; requests share parts, but the last belongs to one request or session. */
    promptParts: string[];
    /** The event after which to resume a stream; undefined to start from the beginning. */
    lastEventId: string | undefined;
};

/** A parsed log line; each has `event`, `timestamp` (ISO 8601) and `host`, the other fields depend on the event. */
export type LogLine = { event: string; timestamp: string; host: string; [field: string]: unknown; };
