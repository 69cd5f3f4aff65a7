/**
 * Tells a crash of the engine from an answer that merely broke off.
 *
 * Both look alike on the connection, but only a crash makes the engine cold and its requests suspect. So the engine is
 * asked once more: if it doesn't answer, or answers in another incarnation, it crashed.
 */
import type { EngineClient, UpstreamFailure } from "./upstreamClients.js";

/** Gives `failure`, or a `cut` in its place when the engine of `incarnation` is still there. */
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
