/**
 * Distinguishes a crash of the engine from a response that was merely cut off.
 *
 * The two look alike on the connection, but only a crash leaves the engine cold and makes its requests suspects. So the
 * engine is queried once more: if it does not answer, or reports another incarnation, it crashed.
 */
import type { EngineClient, UpstreamFailure } from "./upstreamClients.js";

/** Returns `failure`, or a `cut` in its place if the engine still runs as `incarnation`. */
export const confirmCrash = async (
    engine: Pick<EngineClient, "load">,
    failure: UpstreamFailure,
    incarnation: string | undefined,
    signal: AbortSignal,
): Promise<UpstreamFailure> => {
    if (failure.kind !== "crashed" || incarnation === undefined) {
        return failure;
    }
    const load = await engine.load(signal);
    return load.isOk() && load.value.incarnation === incarnation ? { ...failure, kind: "cut" } : failure;
};
