/**
 * Domain types that more than one layer shares.
 *
 * Times are milliseconds since the epoch, durations are milliseconds, offsets are positions in one stream of the
 * platform's log (0 is the first record; -1 means "nothing read yet"). Data is plain JSON: string unions, no classes.
 */

/** Whether the work of a request took place, told to the caller in `Cyclamengap-Outcome`. */
export type Outcome = "complete" | "not-run" | "unknown";

/** How urgent a client account's requests are; also the order in which a queue serves them. */
export type Priority = "interactive" | "standard" | "batch";

/** Life cycle of an upstream as its agent sees it. */
export type UpstreamState = "cold" | "warming" | "warm" | "draining" | "down";

/** What an upstream serves: one rank of a model group, or a plain service. */
export type Serves =
    | { kind: "group"; group: string; rank: number; }
    | { kind: "service"; service: string; };

/** One line of the platform's host list; `address` is `ip:port` of our process on that host. */
export type HostRecord = {
    host: string;
    availabilityZone: string;
    role: "entry" | "upstream";
    state: "live" | "leaving";
    address: string;
    serves?: Serves;
};

/** Load of one upstream, sent by its agent on every answer and on the slow poll. */
export type LoadReport = {
    state: UpstreamState;
    /** Changes whenever the engine or its agent starts anew. */
    incarnation: string;
    /** Requests now in the engine. */
    running: number;
    /** Requests the agent admits at once; grows on evidence during a cold start. */
    limit: number;
    /** Tokens still to be generated for the running requests, by their maximum lengths. */
    outstandingTokens: number;
    /** Measured generation speed. */
    tokensPerSecond: number;
    /** When the agent took the reading. */
    takenAt: number;
};

/** Path of a node in the settings tree: `""` is the root, `clientAccounts/portal` a child, segments joined by "/". */
export type SettingsPath = string;

/** The values that a node of the settings tree overrides. */
export type SettingsNode = Record<string, unknown>;

/** A node with its history: `value` is absent when the node has been removed. */
export type SettingsTreeNode = {
    value?: SettingsNode;
    /** Offset of the last accepted change of this path. */
    offset: number;
    /** Offset of the last accepted removal of this path, which touched every path below it. */
    removedAt?: number;
};

/** One edit of one node; `base` is the offset of the last accepted change that touched it, or -1 for a new path. */
export type SettingsEdit = {
    path: SettingsPath;
    base: number;
    /** The node's new overrides; absent when the edit removes the node and all below it. */
    value?: SettingsNode;
};

/** A change that an operator appends to the `settings` stream. */
export type SettingsChange = {
    kind: "change";
    id: string;
    author: string;
    comment: string;
    edits: SettingsEdit[];
};

/** A snapshot that any daemon may append so that retention can drop older records. */
export type SettingsSnapshot = {
    kind: "snapshot";
    /** Offset of the last record that the snapshot includes. */
    upToOffset: number;
    nodes: Record<SettingsPath, SettingsTreeNode>;
};

export type SettingsRecord = SettingsChange | SettingsSnapshot;

/** One record of a stream of the platform's log. */
export type LogRecord<Body> = {
    offset: number;
    /** When the log took the record, by the log's clock. */
    appendedAt: number;
    body: Body;
};

/** A slice of a stream: its records, the oldest offset still kept and the offset that the next append will get. */
export type LogSlice<Body> = {
    records: LogRecord<Body>[];
    firstOffset: number;
    nextOffset: number;
};

/** Time, random numbers and identifiers, passed in so that tests run on virtual clocks and fixed seeds. */
export type Clock = {
    now: () => number;
    /** Resolves after `milliseconds`, or at once when `signal` aborts. */
    sleep: (milliseconds: number, signal: AbortSignal) => Promise<void>;
};

/** A uniform random number in [0, 1). */
export type RandomNumber = () => number;
