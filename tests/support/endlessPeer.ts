/**
 * Peers that answer without end, each in a process of its own, and processes that read from them.
 */
import { type Program, startNode } from "./processes.js";

/** Of a response: its head, its body and what is behind it. */
export const endlessForms = [
    "head",
    "status-line",
    "interim",
    "length",
    "no-length",
    "zeros",
    "byte-chunks",
    "chunk-extension",
    "trailers",
    "frames",
];

export type EndlessPeer = {
    address: string;
    /** Sends without end from now on, where it was joined to a sound peer. */
    flood: () => void;
    /** Resolves once each form was sent to `count` requests. */
    flooded: (count: number) => Promise<void>;
    program: Program;
};

/** Starts a peer that answers requests with `forms` in turn; until `flood` is called with the answers of `soundAddress`. */
export const startEndlessPeer = async (forms = endlessForms, soundAddress?: string): Promise<EndlessPeer> => {
    const parameters = [forms.join(","), ...(soundAddress === undefined ? [] : [soundAddress])];
    const program = startNode("endless peer", ["dist/tests/support/endlessPeerProgram.js", ...parameters], {
        env: process.env,
    });
    const { address } = await program.waitForEvent("listening");
    return {
        address,
        flood: () => program.sendSignal("SIGUSR2"),
        flooded: async count => {
            for (const form of forms) {
                let seen = 0;
                await program.waitForEvent(event =>
                    event.event === "flooding" && event["form"] === form && (seen += 1) === count
                );
            }
        },
        program,
    };
};

export type EndlessReads = {
    /** Reads that gave a value in place of a failure. */
    succeeded: number;
    peakMegabytes: number;
    slowestAnswerMilliseconds: number;
    answers: number;
};

/** As in deploy/system.toml. */
export const rankNodeOptions = ["--max-old-space-size=120", "--max-semi-space-size=2"];

/**
 * Reads from `address` with the client `reader` of `endlessReadProgram.ts`, `count` times at once, in a process with the
 * memory limits of a rank's, and calls that process until all reads have ended. Rejects if the process dies.
 */
export const readWithoutEnd = async (reader: string, address: string, count: number): Promise<EndlessReads> => {
    const parameters = ["dist/tests/support/endlessReadProgram.js", reader, address, String(count)];
    const program = startNode("reader", [...rankNodeOptions, ...parameters], { env: process.env });
    const { address: soundAddress } = await program.waitForEvent("listening");
    let isDone = false;
    const done = program.waitForEvent("done").finally(() => {
        isDone = true;
    });
    done.catch(() => undefined);
    let answers = 0;
    let slowestAnswerMilliseconds = 0;
    while (!isDone) {
        const askedAt = performance.now();
        await fetch(`http://${soundAddress}/`).then(response => response.text()).catch(() => undefined);
        // The process exits after its last read, perhaps before it has answered.
        if (!isDone) {
            answers += 1;
            slowestAnswerMilliseconds = Math.max(slowestAnswerMilliseconds, performance.now() - askedAt);
        }
    }
    const { succeeded, peakMegabytes } = await done;
    await program.exited;
    return { answers, slowestAnswerMilliseconds, succeeded: Number(succeeded), peakMegabytes: Number(peakMegabytes) };
};
