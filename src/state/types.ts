/**
 * Domain types shared by several layers.
 *
 * Times are milliseconds since the epoch, durations are milliseconds, offsets are positions in one stream of the
 * platform's log (0 is the first record; -1 means that no record has been read). Data is plain JSON: string unions, no
 * classes.
 */

/** Whether a request was executed, reported to the caller in the `Cyclamengap-Outcome` header. */
export type Outcome = "complete" | "not-run" | "unknown";

/** Priority of a client account's requests, declared in the order in which a queue serves them. */
export type Priority = "interactive" | "standard" | "batch";

/** Lifecycle state of an upstream, as seen by its agent. */
export type UpstreamState = "cold" | "warming" | "warm" | "draining" | "down";

/** What an upstream serves: one rank of a model group, or a plain service. */
export type Serves =
    | { kind: "group"; group: string; rank: number; }
    | { kind: "service"; service: string; };

/** One entry of the platform's host list; `address` is the `ip:port` of the daemon on that host. */
export type HostRecord = {
    host: string;
    availabilityZone: string;
    role: "entry" | "upstream";
    state: "live" | "leaving";
    address: string;
    serves?: Serves;
};

/** Load of one upstream, sent by its agent with every response and in answer to periodic polls. */
export type LoadReport = {
    state: UpstreamState;
    /** Changes whenever the engine or its agent restarts. */
    incarnation: string;
    /** Requests currently in the engine. */
    running: number;
    /** Maximum number of concurrent requests that the agent admits; grows with completed work during a cold start. */
    limit: number;
    /** Tokens still to be generated for the running requests, assuming that each reaches its maximum length. */
    outstandingTokens: number;
    /** Measured generation speed. */
    tokensPerSecond: number;
    /** When the agent took this measurement. */
    takenAt: number;
};

/** Path of a node in the settings tree: `""` is the root, `clientAccounts/portal` a child, segments joined by "/". */
export type SettingsPath = string;

/** The values that a node of the settings tree overrides. */
export type SettingsNode = Record<string, unknown>;

/** A node with the offsets of its latest changes; `value` is absent when the node has been removed. */
export type SettingsTreeNode = {
    value?: SettingsNode;
    /** Offset of the last accepted change of this path. */
    offset: number;
    /** Offset of the last accepted removal of this path. A removal also counts as a change of every path below it. */
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
    /** When the log accepted the record, by the log's clock. */
    appendedAt: number;
    body: Body;
};

/** A slice of a stream: its records, the oldest offset still retained and the offset that the next append will get. */
export type LogSlice<Body> = {
    records: LogRecord<Body>[];
    firstOffset: number;
    nextOffset: number;
};

/** Time source, injected so that tests can run on a virtual clock. */
export type Clock = {
    now: () => number;
    /** Resolves after `milliseconds`, or at once when `signal` aborts. */
    sleep: (milliseconds: number, signal: AbortSignal) => Promise<void>;
};

/** Returns a uniform random number in [0, 1); injected so that tests can use a fixed seed. */
export type RandomNumber = () => number;
