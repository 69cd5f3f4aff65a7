#!/usr/bin/env node
/**
 * `cyclamengap-entry`: accepts requests from callers and routes them to upstreams.
 */
import { defineCommand, runMain } from "citty";
import { entryConfigSchema } from "../protocol/daemonConfig.js";
import { startEntry } from "../transport/entryDaemon.js";
import { createLogger } from "../transport/logger.js";
import { loadConfigAndTokens, onStopSignal } from "./daemon.js";

const command = defineCommand({
    meta: { name: "cyclamengap-entry", description: "Routes callers' requests to model groups and plain services" },
    args: { config: { type: "string", required: true, description: "configuration file, JSON with comments" } },
    run: async ({ args }) => {
        const { config, tokens } = loadConfigAndTokens(entryConfigSchema, args.config);
        const { host, availabilityZone } = config;
        const logger = createLogger(config.logLevel, { host, availabilityZone, role: "entry" });
        const entry = await startEntry(config, tokens, logger);
        logger.info("listening", { address: entry.address, control: entry.control });
        onStopSignal(async name => {
            logger.info("stopping", { signal: name });
            await entry.stop();
            logger.info("stopped");
        });
    },
});

await runMain(command);
