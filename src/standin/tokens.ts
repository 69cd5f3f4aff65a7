/**
 * Text that the simulated engines generate: a pure function of the prompt and the token index, so that any engine can
 * resume a stream and a test can check a complete answer.
 */

const vocabulary = ["the ", "board ", "table ", "notice ", "zone ", "budget ", "tray ", "dryer "];

/** 32-bit FNV-1a hash of the prompt's UTF-16 code units. */
const hashPrompt = (prompt: string): number => {
    let hash = 0x811c9dc5;
    for (let position = 0; position < prompt.length; position += 1) {
        hash = Math.imul(hash ^ prompt.charCodeAt(position), 0x01000193);
    }
    return hash >>> 0;
};

/** Returns a function from token index to token for one prompt; the prompt is hashed once. */
export const createTokenGenerator = (prompt: string): (index: number) => string => {
    const hash = hashPrompt(prompt);
    return index => {
        const mixed = Math.imul(hash ^ index, 0x9e3779b1) >>> 0;
        return `${vocabulary[mixed >>> 29] ?? ""}${(mixed & 0xfff).toString(16)} `;
    };
};

/** Returns token `index` of the answer to `prompt`. */
export const expectedToken = (prompt: string, index: number): string => createTokenGenerator(prompt)(index);

/** Returns the answer to `prompt` with the given number of tokens. */
export const expectedAnswer = (prompt: string, tokens: number): string => {
    const tokenAt = createTokenGenerator(prompt);
    return [...Array(tokens).keys()].map(tokenAt).join("");
};
