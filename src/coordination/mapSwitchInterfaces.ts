/**
 * Interfaces of the map switch to its environment: the rank's engine, the agents of the other ranks, and the group's
 * log.
 *
 * The transport layer implements them over HTTP and tRPC; tests implement them in memory.
 */
import type { Result } from "neverthrow";
import type { ExpertMap } from "../state/expertMap.js";
import type { GroupState } from "../state/groupState.js";
import type { MapCommit, MapPromise, RankMapStatus } from "../state/mapPromise.js";

/**
 * Why an engine did not carry out an order: `stale-fence` if the fencing token is outdated, `conflict` if the rank's
 * formation or last promise differs from the one in the order, `not-loaded` if the weights are missing, and
 * `unreachable` for anything else.
 */
export type EngineOrderFailure = {
    kind: "stale-fence" | "conflict" | "not-loaded" | "unreachable";
    reason: string;
};

/** Has the engine promise `commit`, provided its last promise in `formation` is still `previous`. */
export type PromiseOrder = { formation: number; commit: number; plan: string; previous: number; leadSteps: number; };

/** Tells the engine that all ranks have promised `commit`, and that `lastStep` is the last step on the old map. */
export type ReleaseOrder = { formation: number; commit: number; lastStep: number; };

/** Has the engine load the weights of `map` in addition to those in use. The response follows once they are loaded. */
export type PrepareOrder = { plan: string; map: ExpertMap; };

/** Client of one rank's engine. Every order carries a fencing token and returns the rank's new status. */
export type RankEngine = {
    status: (signal: AbortSignal) => Promise<Result<RankMapStatus, EngineOrderFailure>>;
    prepare: (
        fence: number,
        order: PrepareOrder,
        signal: AbortSignal,
    ) => Promise<Result<RankMapStatus, EngineOrderFailure>>;
    promise: (
        fence: number,
        order: PromiseOrder,
        signal: AbortSignal,
    ) => Promise<Result<RankMapStatus, EngineOrderFailure>>;
    release: (
        fence: number,
        order: ReleaseOrder,
        signal: AbortSignal,
    ) => Promise<Result<RankMapStatus, EngineOrderFailure>>;
};

/** Report that agents of a group exchange. `commit` is included if the receiver knows only older commits. */
export type PeerReport = {
    rank: number;
    incarnation: string;
    formation: number;
    released: number;
    promises: MapPromise[];
    newestCommit: number;
    commit?: MapCommit | undefined;
};

export type PeerFailure = { kind: "unreachable" | "refused"; reason: string; };

/** Client of the agents of the other ranks. */
export type RankPeers = {
    /** Sends this agent's report to the agent of `rank` and returns that agent's report. */
    exchange: (rank: number, report: PeerReport, signal: AbortSignal) => Promise<Result<PeerReport, PeerFailure>>;
    /** Has the agent of `rank` load a planned map; called only by the coordinator. */
    prepare: (
        rank: number,
        fence: number,
        order: PrepareOrder,
        signal: AbortSignal,
    ) => Promise<Result<void, PeerFailure>>;
};

/** State of the group's stream, up to the last record that this agent has read. */
export type GroupLog = {
    state: () => GroupState;
    /** Whether the last read reached the end of the stream. */
    isCaughtUp: () => boolean;
    /** Calls `listener` after each change until `signal` aborts. */
    onChange: (listener: () => void, signal: AbortSignal) => void;
};
