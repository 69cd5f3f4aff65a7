#!/usr/bin/env node
/**
 * `cyclamengap-rank`: the agent beside one model server for deployments on an external platform.
 */
import { defineCommand, runMain } from "citty";
import { platformEngines } from "../../platform/engineClient.js";
import { configurationFileVariable } from "../../platform/names.js";
import { createRecordSource } from "../../platform/recordSource.js";
import { createStoreClient } from "../../platform/storeClient.js";
import { decodeDeploymentRecord } from "../../platform/storeRecords.js";
import { rankConfigSchema } from "../protocol/ingressConfig.js";
import { startRankDaemon } from "../transport/experts/rankDaemon.js";
import { createLogger } from "../transport/logger.js";
import { loadConfig, onStopSignal } from "./daemon.js";

const command = defineCommand({
    meta: { name: "cyclamengap-rank", description: "Manages the expert map of the group of its model server" },
    args: {
        config: {
            type: "string",
            description: "configuration file, JSON with comments; default from the platform's environment variable",
        },
    },
    run: async ({ args }) => {
        const config = loadConfig(rankConfigSchema, args.config ?? process.env[configurationFileVariable] ?? "");
        const { host, availabilityZone } = config;
        const logger = createLogger(config.logLevel, { host, availabilityZone, role: "rank" });
        // Without a handler SIGHUP would end the process; the configuration file is not read again.
        process.on("SIGHUP", () => logger.info("reload"));
        const lifetime = new AbortController();
        const store = createStoreClient(config.store.address, lifetime.signal);
        logger.info("starting", { engine: config.engine, store: config.store.address });
        await startRankDaemon(
            config,
            { records: createRecordSource(store), decode: decodeDeploymentRecord, engines: platformEngines },
            logger,
            lifetime.signal,
        );
        logger.info("started", { engine: config.engine, startMilliseconds: Math.round(performance.now()) });
        onStopSignal(name => {
            logger.info("stopping", { signal: name });
            lifetime.abort();
            process.exit(0);
        });
    },
});

await runMain(command);
