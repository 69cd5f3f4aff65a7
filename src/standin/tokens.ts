/**
 * The text that a stand-in engine generates: a pure function of the prompt and the token's index, so that any engine
 * can resume a stream and a test can check a whole answer.
 */

const vocabulary = ["the ", "board ", "table ", "notice ", "zone ", "budget ", "tray ", "dryer "];

/** FNV-1a over the prompt, 32 bits. */
const hashPrompt = (prompt: string): number => {
    let hash = 0x811c9dc5;
    for (let position = 0; position < prompt.length; position += 1) {
        hash = Math.imul(hash ^ prompt.charCodeAt(position), 0x01000193);
    }
    return hash >>> 0;
};

/** Gives a function from index to token for one prompt; hashes the prompt once. */
export const createTokenGenerator = (prompt: string): (index: number) => string => {
    const hash = hashPrompt(prompt);
    return index => {
        const mixed = Math.imul(hash ^ index, 0x9e3779b1) >>> 0;
        return `${vocabulary[mixed >>> 29] ?? ""}${(mixed & 0xfff).toString(16)} `;
    };
};

/** Token `index` of the answer to `prompt`. */
export const expectedToken = (prompt: string, index: number): string => createTokenGenerator(prompt)(index);

/** The whole answer to `prompt`. */
export const expectedAnswer = (prompt: string, tokens: number): string => {
    const tokenAt = createTokenGenerator(prompt);
    return [...Array(tokens).keys()].map(tokenAt).join("");
};
