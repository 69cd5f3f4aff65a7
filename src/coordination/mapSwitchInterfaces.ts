/**
 * What the map switch needs from its surroundings: the rank's engine, the other agents of the group, and its log.
 *
 * Transport implements these over HTTP and tRPC; tests implement them in memory.
 */
import type { Result } from "neverthrow";
import type { ExpertMap } from "../state/expertMap.js";
import type { GroupState } from "../state/groupState.js";
import type { MapCommit, MapPromise, RankMapStatus } from "../state/mapPromise.js";

/**
 * Why an engine did not take an order: `stale-fence` for an old fencing number, `conflict` when the rank's formation or
 * last promise is not the one that the order names, `not-loaded` when it lacks the weights, `unreachable` otherwise.
 */
export type EngineOrderFailure = {
    kind: "stale-fence" | "conflict" | "not-loaded" | "unreachable";
    reason: string;
};

/** Orders the engine to promise `commit`, if its last promise in `formation` is still `previous`. */
export type PromiseOrder = { formation: number; commit: number; plan: string; previous: number; leadSteps: number; };

/** Tells the engine that all ranks have promised `commit`: the old map's last step is `lastStep`. */
export type ReleaseOrder = { formation: number; commit: number; lastStep: number; };

/** Has the engine load the weights of `map` beside those in use; the answer comes when they are there. */
export type PrepareOrder = { plan: string; map: ExpertMap; };

/** The engine of one rank; every order carries a fencing number and gives the rank's new status. */
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

/** What agents of a group tell each other; `commit` goes along when the other side knows only older ones. */
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

/** The agents of the other ranks. */
export type RankPeers = {
    /** Sends our news to the agent of `rank` and gives its news. */
    exchange: (rank: number, report: PeerReport, signal: AbortSignal) => Promise<Result<PeerReport, PeerFailure>>;
    /** Has the agent of `rank` load a planned map; only the coordinator does. */
    prepare: (
        rank: number,
        fence: number,
        order: PrepareOrder,
        signal: AbortSignal,
    ) => Promise<Result<void, PeerFailure>>;
};

/** The group's stream as far as this agent has followed it. */
export type GroupLog = {
    state: () => GroupState;
    /** Whether the stream's end has been reached since the start. */
    atEnd: () => boolean;
    /** Calls `listener` after each change until `signal` aborts. */
    onChange: (listener: () => void, signal: AbortSignal) => void;
};
