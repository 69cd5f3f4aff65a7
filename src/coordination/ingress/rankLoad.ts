/**
 * How much one more stream on a rank lengthens the passes of its group, by the engine's profile.
 *
 * A group runs at the pace of its slowest rank. Prompts that are read on different ranks at once take the group's time
 * once, those on the same rank one after the other, so the part of a rank counts, not that of its group.
 */
import type { EngineProfile } from "../../state/ingressTypes.js";
import type { PeerWork } from "./peerStatusTable.js";
import type { StreamCost } from "./streamCost.js";

export type RankLoad = {
    /** Time that the rank takes to read its prompts, and for its streams over the passes until the next ones start. */
    lengtheningMilliseconds: number;
    /** Tokens that its streams are expected to write still. */
    remainingTokens: number;
    /** Whether the engine's token memory holds the stream beside those that run there. */
    fitsMemory: boolean;
};

/**
 * Passes over which a stream's part of them counts against reading a prompt once. In the model of streams, 6 and 12
 * served alike; 25 and more let short prompts wait behind long ones, 4 and fewer let streams wait for slots.
 */
const passesPerStream = 6;
const tokensPerThousand = 1_000;

/** The load of a rank with `streams` running, if a stream of this cost is added. */
export const rankLoad = (work: PeerWork, streams: number, cost: StreamCost, profile: EngineProfile): RankLoad => {
    const { promptTokensPerMillisecond, millisecondsPerStream, stepsPerPass, usualPromptTokens } = profile;
    const { usualAnswerTokens, tokenMemory } = profile;
    const readingMilliseconds = (work.promptTokens + cost.promptTokens) / promptTokensPerMillisecond;
    const heldTokens = work.heldTokens + work.unestimated * (usualPromptTokens + usualAnswerTokens);
    const writingMilliseconds = millisecondsPerStream * (streams + 1)
        + profile.millisecondsPerThousandContextTokens * heldTokens / tokensPerThousand;
    return {
        lengtheningMilliseconds: readingMilliseconds + passesPerStream * stepsPerPass * writingMilliseconds,
        remainingTokens: work.remaining + work.unestimated * usualAnswerTokens / 2,
        fitsMemory: heldTokens + Math.min(cost.heldTokens, tokenMemory) <= tokenMemory,
    };
};
