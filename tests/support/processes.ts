/**
 * Runs the project's programs as child processes and waits for the events that they print as JSON lines.
 */
import { type ChildProcess, spawn } from "node:child_process";
import { readdirSync, readFileSync } from "node:fs";
import { createInterface } from "node:readline";

export type ProgramEvent =
    & { event: string; address: string; addresses: string[]; control: string; }
    & Record<string, unknown>;

export type Program = {
    /** Resolves with the first event, past or future, that matches; rejects if the process exits first. */
    waitForEvent: (matches: string | ((event: ProgramEvent) => boolean)) => Promise<ProgramEvent>;
    sendSignal: (name: NodeJS.Signals) => void;
    pid: number;
    exited: Promise<number | undefined>;
    /** Sends SIGKILL and waits for the exit. */
    kill: () => Promise<void>;
    output: () => string;
    /** The most memory that was resident at once, in megabytes of 1,000,000 bytes; undefined once the process has exited. */
    peakMegabytes: () => number | undefined;
    /** Open descriptors; undefined once the process has exited. */
    descriptors: () => number | undefined;
};

const bytesPerKibibyte = 1_024;
const bytesPerMegabyte = 1_000_000;

export const testTokens = { CYCLAMENGAP_PEER_TOKEN: "peer-secret", CYCLAMENGAP_OPERATOR_TOKEN: "operator-secret" };

const runningChildren = new Set<ChildProcess>();

export const startProgram = (name: string, parameters: string[], nodeOptions: string[] = []): Program =>
    startNode(name, [...nodeOptions, `dist/src/programs/${name}.js`, ...parameters], {
        env: { ...process.env, ...testTokens },
    });

/** Runs `node` with these arguments; `name` stands in error messages. */
export const startNode = (
    name: string,
    parameters: string[],
    options: { env: NodeJS.ProcessEnv; cwd?: string; },
): Program => {
    const child = spawn(process.execPath, parameters, { ...options, stdio: ["ignore", "pipe", "pipe"] });
    runningChildren.add(child);
    const events: ProgramEvent[] = [];
    const waiters = new Set<(event: ProgramEvent) => void>();
    let output = "";
    createInterface({ input: child.stdout }).on("line", line => {
        output += `${line}\n`;
        if (line.startsWith("{")) {
            const event = JSON.parse(line) as ProgramEvent;
            events.push(event);
            waiters.forEach(waiter => waiter(event));
        }
    });
    createInterface({ input: child.stderr }).on("line", line => {
        output += `${line}\n`;
    });
    const exited = new Promise<number | undefined>(resolve => {
        child.once("exit", status => {
            runningChildren.delete(child);
            resolve(status ?? undefined);
        });
    });
    return {
        waitForEvent: matches => {
            const predicate = typeof matches === "string" ? (event: ProgramEvent) => event.event === matches : matches;
            const pastEvent = events.find(predicate);
            if (pastEvent !== undefined) {
                return Promise.resolve(pastEvent);
            }
            return new Promise((resolve, reject) => {
                const waiter = (event: ProgramEvent): void => {
                    if (predicate(event)) {
                        waiters.delete(waiter);
                        resolve(event);
                    }
                };
                waiters.add(waiter);
                void exited.then(status => reject(new Error(`${name} exited with status ${status}:\n${output}`)));
            });
        },
        sendSignal: signalName => void child.kill(signalName),
        pid: child.pid ?? 0,
        exited,
        kill: async () => {
            child.kill("SIGKILL");
            await exited;
        },
        output: () => output,
        peakMegabytes: () => {
            try {
                const kibibytes = /^VmHWM:\s+(\d+) kB$/m.exec(readFileSync(`/proc/${child.pid}/status`, "utf8"))?.[1];
                return kibibytes === undefined ? undefined : Number(kibibytes) * bytesPerKibibyte / bytesPerMegabyte;
            }
            catch {
                return undefined;
            }
        },
        descriptors: () => {
            try {
                return readdirSync(`/proc/${child.pid}/fd`).length;
            }
            catch {
                return undefined;
            }
        },
    };
};

/** Kills the processes that a failed test left running. */
export const killAllPrograms = (): void => {
    for (const child of runningChildren) {
        child.kill("SIGKILL");
    }
};
