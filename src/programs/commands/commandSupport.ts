/**
 * Shared by all operator commands: common arguments, input files, output and exit statuses.
 */
import { fromThrowable } from "neverthrow";
import type { Result } from "neverthrow";
import { readFileSync } from "node:fs";
import { userInfo } from "node:os";
import type { LogStream } from "../../coordination/logStream.js";
import { readSettingsHistory } from "../../coordination/settingsChange.js";
import type { SettingsHistory } from "../../coordination/settingsChange.js";
import { describeProblem } from "../../protocol/jsoncFile.js";
import { decodeSettingsDocument } from "../../protocol/settingsDocument.js";
import type { SettingsDocument } from "../../protocol/settingsDocument.js";
import type { SettingsRecord } from "../../state/types.js";
import { createLogClient } from "../../transport/logClient.js";
import { operatorTokenVariable } from "../../transport/tokens.js";

/** Exit statuses of the operator command line. */
export const exitStatus = {
    /** The change was rejected, or the requested object does not exist. */
    rejected: 1,
    /** The command line, a file or the environment is invalid; nothing was sent. */
    invalidInput: 2,
    /** The platform or a daemon was unreachable, or an outcome could not be determined in time. */
    undetermined: 3,
} as const;

const settingsStream = "settings";
const platformVariable = "CYCLAMENGAP_PLATFORM";

/** Argument with the address of the platform. */
export const platformArgument = {
    platform: {
        type: "string",
        default: process.env[platformVariable] ?? "http://127.0.0.1:7000",
        description: `base URL of the platform; default from ${platformVariable}`,
    },
} as const;

/** Arguments of the commands that change settings. */
export const changeArguments = {
    ...platformArgument,
    "author": { type: "string", default: userInfo().username, description: "author of the change, for the history" },
    "comment": { type: "string", default: "", description: "reason for the change, for the history" },
    "timeout-seconds": { type: "string", default: "30", description: "how long to wait for the outcome of the change" },
} as const;

export const print = (...lines: string[]): void => {
    process.stdout.write(lines.map(line => `${line}\n`).join(""));
};

/** Writes lines to standard error and sets the exit status; does not exit. */
export const fail = (status: number, ...lines: string[]): void => {
    process.stderr.write(lines.map(line => `${line}\n`).join(""));
    process.exitCode = status;
};

/** Creates a signal that aborts on SIGINT or SIGTERM. */
export const interruptSignal = (): AbortSignal => {
    const controller = new AbortController();
    process.once("SIGINT", () => controller.abort());
    process.once("SIGTERM", () => controller.abort());
    return controller.signal;
};

/** Opens the `settings` log stream of `platform`. */
export const openSettings = (platform: string): LogStream<SettingsRecord> =>
    createLogClient<SettingsRecord>({ platform, stream: settingsStream });

/** Reads the current settings; on failure reports it and sets exit status `undetermined`. */
export const loadSettings = async (
    stream: LogStream<SettingsRecord>,
    signal: AbortSignal,
): Promise<SettingsHistory | undefined> => {
    const reading = await readSettingsHistory(stream, signal);
    return reading.match(
        read => read,
        ({ reason }) => {
            fail(exitStatus.undetermined, `cannot read the settings: ${reason}`);
            return undefined;
        },
    );
};

const readText = (file: string): Result<string, string[]> =>
    fromThrowable(() => readFileSync(file, "utf8"))()
        .mapErr(error => [`cannot read file "${file}": ${(error as Error).message}`]);

/** Reads a settings document; if it is invalid, reports all problems and sets exit status `invalidInput`. */
export const loadDocument = (file: string): SettingsDocument | undefined =>
    readText(file)
        .andThen(text => decodeSettingsDocument(file, text).mapErr(problems => problems.map(describeProblem)))
        .match(
            document => document,
            problems => {
                fail(exitStatus.invalidInput, ...problems);
                return undefined;
            },
        );

/** Reads the operator token from the environment; if it is missing, sets exit status `invalidInput`. */
export const loadOperatorToken = (): string | undefined => {
    const token = process.env[operatorTokenVariable];
    if (token === undefined || token === "") {
        fail(exitStatus.invalidInput, `environment variable "${operatorTokenVariable}" is not set`);
        return undefined;
    }
    return token;
};

/** Parses a number of seconds and returns it in milliseconds; undefined unless it is above 0. */
export const parseSeconds = (text: string): number | undefined => {
    const seconds = Number(text);
    return Number.isFinite(seconds) && seconds > 0 ? seconds * 1_000 : undefined;
};
