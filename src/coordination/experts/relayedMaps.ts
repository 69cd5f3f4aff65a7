/**
 * Hands new expert maps to the ranks of a group through the agents beside their engines.
 *
 * Answers large groups: a map of 96 ranks takes 16 kB in the engines' format, and sent to each of them it fills the link
 * of the coordinator's machine for seconds. Agents take it compressed, and orders from an engine's own machine are not
 * charged for. All other orders are small and time-critical, and go to the engines directly.
 */
import type { Result } from "neverthrow";
import type { EngineAddress, EngineOrder, OrderOutcome, RankEngines } from "./rankEngine.js";

export type PrepareOrder = Extract<EngineOrder, { kind: "prepare"; }>;

/** Asks the agent beside an engine to give it the order; an error means that the agent gave no usable answer. */
export type RelayPrepare = (
    engine: EngineAddress,
    epoch: number,
    order: PrepareOrder,
    signal: AbortSignal,
) => Promise<Result<OrderOutcome, string>>;

/** The engines, with maps going through the agents; an engine whose agent doesn't answer gets its map directly. */
export const withRelayedMaps = (engines: RankEngines, ownEngine: EngineAddress, relay: RelayPrepare): RankEngines => ({
    ...engines,
    order: async (engine, epoch, order, signal) => {
        if (order.kind !== "prepare" || engine === ownEngine) {
            return engines.order(engine, epoch, order, signal);
        }
        const relayed = await relay(engine, epoch, order, signal);
        return relayed.isOk() || signal.aborted ? relayed : engines.order(engine, epoch, order, signal);
    },
});
