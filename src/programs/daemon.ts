/**
 * Shared by the daemon programs: loading of configuration files and tokens, and handling of stop signals.
 */
import { err, ok, type Result } from "neverthrow";
import { readFileSync } from "node:fs";
import type { z } from "zod";
import { decodeJsoncFile, describeProblem } from "../protocol/jsoncFile.js";
import type { ControlTokens } from "../transport/daemonCore.js";
import { operatorTokenVariable, peerTokenVariable } from "../transport/tokens.js";

/** Exit status of a daemon whose configuration file or environment is invalid. */
const invalidConfigurationExitStatus = 2;

const readTokens = (environment: NodeJS.ProcessEnv): Result<ControlTokens, string[]> => {
    const peerToken = environment[peerTokenVariable];
    const operatorToken = environment[operatorTokenVariable];
    const missing = [peerToken ? [] : peerTokenVariable, operatorToken ? [] : operatorTokenVariable].flat();
    return peerToken && operatorToken
        ? ok({ peerToken, operatorToken })
        : err(missing.map(name => `environment variable "${name}" is not set`));
};

const readConfig = <Schema extends z.ZodType>(schema: Schema, file: string): Result<z.infer<Schema>, string[]> => {
    try {
        return decodeJsoncFile(schema, file, readFileSync(file, "utf8"))
            .mapErr(problems => problems.map(describeProblem));
    }
    catch (error) {
        return err([`cannot read configuration file "${file}": ${(error as Error).message}`]);
    }
};

const exitWithProblems = (problems: string[]): never => {
    for (const problem of problems) {
        process.stderr.write(`${problem}\n`);
    }
    process.exit(invalidConfigurationExitStatus);
};

/** Reads a configuration file; if it is invalid, reports all problems on standard error and exits. */
export const loadConfig = <Schema extends z.ZodType>(schema: Schema, file: string): z.infer<Schema> =>
    readConfig(schema, file).match(config => config, exitWithProblems);

/** Reads configuration file and tokens; if any is invalid, reports all problems on standard error and exits. */
export const loadConfigAndTokens = <Schema extends z.ZodType>(
    schema: Schema,
    file: string,
): { config: z.infer<Schema>; tokens: ControlTokens; } => {
    const config = readConfig(schema, file);
    const tokens = readTokens(process.env);
    if (config.isOk() && tokens.isOk()) {
        return { config: config.value, tokens: tokens.value };
    }
    return exitWithProblems([...(config.isErr() ? config.error : []), ...(tokens.isErr() ? tokens.error : [])]);
};

/** Calls `stop` on the first SIGTERM or SIGINT only. */
export const onStopSignal = (stop: (name: string) => Promise<void> | void): void => {
    let isStopping = false;
    const handle = (name: string): void => {
        if (!isStopping) {
            isStopping = true;
            void Promise.resolve(stop(name));
        }
    };
    process.on("SIGTERM", handle);
    process.on("SIGINT", handle);
};
