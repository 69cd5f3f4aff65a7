/**
 * Splits a byte stream into lines, for JSON frames and server-sent events.
 */

/** Yields, for each chunk, all lines that it completes. */
export async function* readLines(chunks: AsyncIterable<Buffer>): AsyncGenerator<string[]> {
    const decoder = new TextDecoder();
    let partialLine = "";
    for await (const chunk of chunks) {
        const lines = (partialLine + decoder.decode(chunk, { stream: true })).split("\n");
        partialLine = lines.pop() ?? "";
        yield lines;
    }
    if (partialLine !== "") {
        yield [partialLine];
    }
}
