/**
 * Interface between the coordinator of a group and the engines of its ranks. An adapter implements it for a platform.
 */
import type { Result } from "neverthrow";

/**
 * `placement[layer][rank]` lists the experts that the rank holds in that layer. An expert's tokens are split evenly
 * among its ranks.
 */
export type ExpertPlacement = number[][][];

/** Status reported by one engine. */
export type RankReport = {
    group: string;
    rank: number;
    ranks: number;
    /** Changes whenever the group forms again, which voids all maps and orders of earlier epochs. */
    epoch: number;
    isOpen: boolean;
    /** Last step that has begun. */
    step: number;
    mapInForce: number;
    /** Version of the map whose experts are loaded in addition to those in force. */
    prepared: number | undefined;
    /** Version that the rank switches to when `step` begins; an engine may report the version alone. */
    armed: { version: number; step: number | undefined; } | undefined;
    /** Step that the group does not begin before it is released. */
    held: number | undefined;
};

/** Number of times that requests of one rank chose each expert, since the rank started. */
export type ExpertCounts = { epoch: number; step: number; counts: number[]; };

/** `done` if the state that the order asks for is reached or has begun, `refused` if the engine rejected the order. */
export type OrderOutcome = "done" | "refused";

export type EngineOrder =
    | { kind: "prepare"; version: number; map: ExpertPlacement; }
    | { kind: "arm"; version: number; step: number; }
    | { kind: "disarm"; version: number; }
    | { kind: "hold"; step: number; }
    | { kind: "release"; step: number; };

/** `ip:port` of an engine. Orders name the epoch, so that an engine that takes over the address later refuses them. */
export type EngineAddress = string;

export type RankEngines = {
    report: (engine: EngineAddress, signal: AbortSignal) => Promise<Result<RankReport, string>>;
    counts: (engine: EngineAddress, signal: AbortSignal) => Promise<Result<ExpertCounts, string>>;
    /** Experts that the rank holds in the map in force, by layer. */
    placedExperts: (
        engine: EngineAddress,
        signal: AbortSignal,
    ) => Promise<Result<{ version: number; experts: number[][]; }, string>>;
    /** An error means that no response arrived: the order may have been carried out, or may still be. */
    order: (engine: EngineAddress, epoch: number, order: EngineOrder, signal: AbortSignal) => Promise<
        Result<OrderOutcome, string>
    >;
};
