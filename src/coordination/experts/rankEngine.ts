/**
 * What the coordinator of a group asks of the engines of its ranks; an adapter speaks their protocol.
 */
import type { Result } from "neverthrow";

/** `layers[layer][rank]` lists the experts that the rank holds in that layer; an expert's tokens are shared evenly. */
export type ExpertPlacement = number[][][];

/** What one engine says of itself. */
export type RankReport = {
    group: string;
    rank: number;
    ranks: number;
    /** Changes whenever the group forms anew; all maps and orders of an earlier epoch are void then. */
    epoch: number;
    isOpen: boolean;
    /** The last pass that was begun. */
    step: number;
    mapInForce: number;
    /** The map whose experts it holds beside those in force. */
    prepared: number | undefined;
    /** The map that it switches to as pass `step` begins; an engine may state the version alone. */
    armed: { version: number; step: number | undefined; } | undefined;
    /** The pass that the group does not begin before it is released. */
    held: number | undefined;
};

/** How often the requests of one rank chose each expert, since the rank started. */
export type ExpertCounts = { epoch: number; step: number; counts: number[]; };

/** `answer` is true where the order's state holds or has begun; false where the engine refused it. */
export type OrderOutcome = "done" | "refused";

export type EngineOrder =
    | { kind: "prepare"; version: number; map: ExpertPlacement; }
    | { kind: "arm"; version: number; step: number; }
    | { kind: "disarm"; version: number; }
    | { kind: "hold"; step: number; }
    | { kind: "release"; step: number; };

/** `ip:port` of an engine; orders name the epoch, which an engine that came later to the address refuses. */
export type EngineAddress = string;

export type RankEngines = {
    report: (engine: EngineAddress, signal: AbortSignal) => Promise<Result<RankReport, string>>;
    counts: (engine: EngineAddress, signal: AbortSignal) => Promise<Result<ExpertCounts, string>>;
    /** The experts that the rank holds by the map in force, by layer. */
    placedExperts: (
        engine: EngineAddress,
        signal: AbortSignal,
    ) => Promise<Result<{ version: number; experts: number[][]; }, string>>;
    /** An error means that no answer came: the order may have been carried out, or may be later. */
    order: (engine: EngineAddress, epoch: number, order: EngineOrder, signal: AbortSignal) => Promise<
        Result<OrderOutcome, string>
    >;
};
