#!/usr/bin/env node
/**
 * `cyclamengap-agent`: admits and runs attempts on one upstream.
 */
import { defineCommand, runMain } from "citty";
import { agentConfigSchema } from "../protocol/daemonConfig.js";
import { startAgent } from "../transport/agentDaemon.js";
import { createLogger } from "../transport/logger.js";
import { loadConfigAndTokens, onStopSignal } from "./daemon.js";

const command = defineCommand({
    meta: {
        name: "cyclamengap-agent",
        description: "Admits attempts to one upstream and, for a model group, manages its expert map",
    },
    args: { config: { type: "string", required: true, description: "configuration file, JSON with comments" } },
    run: async ({ args }) => {
        const { config, tokens } = loadConfigAndTokens(agentConfigSchema, args.config);
        const { host, availabilityZone } = config;
        const logger = createLogger(config.logLevel, { host, availabilityZone, role: "agent" });
        const agent = await startAgent(config, tokens, logger);
        logger.info("listening", { address: agent.address });
        onStopSignal(async name => {
            logger.info("stopping", { signal: name });
            await agent.stop();
            logger.info("stopped");
        });
    },
});

await runMain(command);
