/**
 * Splits a byte stream into lines, for JSON frames and server-sent events.
 */
import { createByteCollector } from "./boundedBody.js";
import { createPeerReadError, processReads } from "./processReads.js";

const lineFeed = 0x0a;

/** Yields, for each chunk, all lines that it completes. Rejects if a line is longer than a report may be. */
export async function* readLines(chunks: AsyncIterable<Buffer>): AsyncGenerator<string[]> {
    const collector = createByteCollector();
    let partialLine = processReads.open("report");
    try {
        for await (const chunk of chunks) {
            const end = chunk.lastIndexOf(lineFeed) + 1;
            if (end > 0) {
                partialLine.close();
                partialLine = processReads.open("report");
                collector.add(chunk.subarray(0, end - 1));
                yield collector.takeAll().toString("utf8").split("\n");
            }
            if (end < chunk.length) {
                const verdict = partialLine.keep(chunk.length - end, 0);
                if (verdict.kind === "end") {
                    yield Promise.reject(createPeerReadError(verdict.reason));
                }
                collector.add(chunk.subarray(end));
            }
        }
        const rest = collector.takeAll();
        if (rest.length > 0) {
            yield [rest.toString("utf8")];
        }
    }
    finally {
        partialLine.close();
    }
}
