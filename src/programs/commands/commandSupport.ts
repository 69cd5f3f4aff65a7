/**
 * What the operators' commands share: where the platform is, how results are printed and how a command ends.
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

/** Exit statuses of the operators' program. */
export const exitStatus = {
    /** The change was turned away, or what was asked for does not exist. */
    rejected: 1,
    /** The command line, a file or the environment is wrong; nothing was sent. */
    invalidInput: 2,
    /** The platform or a daemon could not be reached, or an outcome could not be settled in time. */
    undetermined: 3,
} as const;

const settingsStream = "settings";
const platformVariable = "CYCLAMENGAP_PLATFORM";

/** The argument that names the platform. */
export const platformArgument = {
    platform: {
        type: "string",
        default: process.env[platformVariable] ?? "http://127.0.0.1:7000",
        description: `base URL of the platform, also from ${platformVariable}`,
    },
} as const;

/** Arguments of the commands that change settings. */
export const changeArguments = {
    ...platformArgument,
    "author": { type: "string", default: userInfo().username, description: "who makes the change, for the history" },
    "comment": { type: "string", default: "", description: "why, for the history" },
    "timeout-seconds": { type: "string", default: "30", description: "how long to wait for the change's fate" },
} as const;

/** Writes lines to standard output. */
export const print = (...lines: string[]): void => {
    process.stdout.write(lines.map(line => `${line}\n`).join(""));
};

/** Writes lines to standard error and sets the exit status. */
export const fail = (status: number, ...lines: string[]): void => {
    process.stderr.write(lines.map(line => `${line}\n`).join(""));
    process.exitCode = status;
};

/** Aborts when the operator interrupts the command. */
export const interruptSignal = (): AbortSignal => {
    const controller = new AbortController();
    process.once("SIGINT", () => controller.abort());
    process.once("SIGTERM", () => controller.abort());
    return controller.signal;
};

/** The `settings` stream of the platform at `platform`. */
export const openSettings = (platform: string): LogStream<SettingsRecord> =>
    createLogClient<SettingsRecord>({ platform, stream: settingsStream });

/** Reads the settings in force, or says why that failed and ends with `unsettled`. */
export const loadSettings = async (
    stream: LogStream<SettingsRecord>,
    signal: AbortSignal,
): Promise<SettingsHistory | undefined> => {
    const reading = await readSettingsHistory(stream, signal);
    return reading.match(
        read => read,
        ({ reason }) => {
            fail(exitStatus.undetermined, `the settings can't be read: ${reason}`);
            return undefined;
        },
    );
};

const readText = (file: string): Result<string, string[]> =>
    fromThrowable(() => readFileSync(file, "utf8"))()
        .mapErr(error => [`file "${file}" can't be read: ${(error as Error).message}`]);

/** Reads a settings document, or names each of its problems and ends with `wrongInput`. */
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

/** The operators' token from the environment; without one the command ends with `wrongInput`. */
export const loadOperatorToken = (): string | undefined => {
    const token = process.env[operatorTokenVariable];
    if (token === undefined || token === "") {
        fail(exitStatus.invalidInput, `environment variable "${operatorTokenVariable}" is not set`);
        return undefined;
    }
    return token;
};

/** Reads a number of seconds from the command line as milliseconds; undefined unless it is above 0. */
export const parseSeconds = (text: string): number | undefined => {
    const seconds = Number(text);
    return Number.isFinite(seconds) && seconds > 0 ? seconds * 1_000 : undefined;
};
