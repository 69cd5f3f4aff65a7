/**
 * What a stream is expected to cost the upstream that serves it.
 */
export type StreamCost = {
    promptTokens: number;
    /** Tokens that are expected to be written. */
    answerTokens: number;
    /** The most tokens that its prompt and answer can hold in the upstream's memory. */
    heldTokens: number;
};
