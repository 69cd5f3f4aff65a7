/**
 * Domain types of a deployment whose configuration and upstreams are listed in the platform's store.
 *
 * Durations are milliseconds. Instants are readings of the steady clock, so a jump of the time of day changes none of
 * them; an instant read from the store stays in milliseconds since the epoch and says so.
 */

/** What may be repeated: `streaming` answers are event streams, and repeatable only where their route can be resumed. */
export type RequestKind = "idempotent" | "non-idempotent" | "streaming";

/** Sizes of a group's expert maps. */
export type ExpertShape = {
    layers: number;
    experts: number;
    /** The most experts that a rank holds in one layer. */
    placesPerRank: number;
    /** The most experts of one layer that a rank can take in with one map. */
    newPerMap: number;
};

export type WeightedService = { service: string; weight: number; };

export type IngressRoute = {
    name: string;
    host: string;
    /** Begins and ends with a slash. */
    pathPrefix: string;
    kind: RequestKind;
    /** Where its requests go, in proportion to the weights. */
    services: WeightedService[];
    /** The most upstreams that one request may be sent to. */
    attempts: number;
    /** A request without a final answer after this long is answered with a failure. */
    timeoutMilliseconds: number;
    /** Latency objective: to the whole answer, or to the first event of a stream. */
    objectiveMilliseconds: number;
    /** 0 is the most urgent. */
    priority: number;
    /** Needs no API key. */
    isPublic: boolean;
    /** A stream may go on at another upstream after its last event. */
    isResumable: boolean;
    /** The longest pause between two events of a stream that callers accept. */
    gapTargetMilliseconds: number;
};

export type UpstreamService = {
    name: string;
    /** Sizes of the expert maps of its groups; undefined for a plain service. */
    experts: ExpertShape | undefined;
};

/** What a caller may send, and how long it may stay idle. */
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
    accounts: IngressAccount[];
};

/** The lock-step group to which a model upstream belongs. */
export type GroupMembership = { name: string; epoch: number; rank: number; isOpen: boolean; };

/** One start of one server; the same address may later belong to another. */
export type Upstream = {
    id: string;
    service: string;
    /** `ip:port` */
    address: string;
    availabilityZone: string;
    /** Requests that it works on at once. */
    slots: number;
    isDraining: boolean;
    /** How much longer it was to stay cold when it said so. */
    coldMilliseconds: number;
    /** Time of day of its start, in milliseconds since the epoch; tells two starts under one id apart. */
    bornAt: number;
    group: GroupMembership | undefined;
};

/** What the head of a caller's request says, in the project's words. */
export type Envelope = {
    requestId: string;
    host: string;
    method: string;
    /** Path and query, as sent. */
    target: string;
    path: string;
    /** How long the caller waits from now on; undefined if it didn't say. */
    patienceMilliseconds: number | undefined;
    apiKey: string | undefined;
    promptTokens: number;
    maximumAnswerTokens: number;
    /** The event after which a stream is to go on; undefined for one from the start. */
    lastEventId: string | undefined;
};

/** A log line read back; `event`, `timestamp` (ISO 8601) and `host` are in each, the rest depends on the event. */
export type LogLine = { event: string; timestamp: string; host: string; [field: string]: unknown; };
