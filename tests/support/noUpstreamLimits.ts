/**
 * Stands in for the limits on requests where no upstream states one.
 */
import type { UpstreamLimits } from "../../src/coordination/ingress/upstreamLimits.js";

export const noUpstreamLimits: Pick<UpstreamLimits, "isLimited" | "millisecondsUntilOpen" | "take"> = {
    isLimited: () => false,
    millisecondsUntilOpen: () => 0,
    take: async () => true,
};
