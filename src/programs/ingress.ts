#!/usr/bin/env node
/**
 * `cyclamengap-ingress`: the entry for deployments on an external platform.
 */
import { defineCommand, runMain } from "citty";
import { createCrashEvidenceStore } from "../../platform/crashRecords.js";
import { platformEngines } from "../../platform/engineClient.js";
import { createMemberList } from "../../platform/memberRecords.js";
import { configurationFileVariable, paths, slowReadersContract } from "../../platform/names.js";
import { createRecordSource } from "../../platform/recordSource.js";
import { platformHeaderAdapter } from "../../platform/requestHeaders.js";
import { createStoreClient } from "../../platform/storeClient.js";
import { decodeDeploymentRecord } from "../../platform/storeRecords.js";
import type { RecordSource } from "../coordination/ingress/recordSource.js";
import { ingressConfigSchema } from "../protocol/ingressConfig.js";
import { startIngress } from "../transport/ingress/ingressDaemon.js";
import { createLogger } from "../transport/logger.js";
import { loadConfig, onStopSignal } from "./daemon.js";

const command = defineCommand({
    meta: { name: "cyclamengap-ingress", description: "Entry for a platform that keeps its configuration in a store" },
    args: {
        config: {
            type: "string",
            description: "configuration file, JSON with comments; default from the platform's environment variable",
        },
    },
    run: async ({ args }) => {
        const config = loadConfig(ingressConfigSchema, args.config ?? process.env[configurationFileVariable] ?? "");
        const logger = createLogger(config.logLevel, {
            host: config.host,
            availabilityZone: config.availabilityZone,
            role: "ingress",
        });
        // Without a handler SIGHUP would end the process; the configuration file is not read again.
        process.on(
            "SIGHUP",
            () => logger.info("reload", { file: args.config ?? process.env[configurationFileVariable] }),
        );
        const lifetime = new AbortController();
        const store = createStoreClient(config.store.address, lifetime.signal);
        const adapter = {
            headerAdapter: platformHeaderAdapter,
            records: createRecordSource(store),
            decode: decodeDeploymentRecord,
            createMemberList: (source: RecordSource) => createMemberList(store, source),
            createCrashEvidenceStore: (source: RecordSource) => createCrashEvidenceStore(store, source),
            engines: platformEngines,
            readinessPath: paths.readiness,
            conditions: { hasSlowReaders: config.platformContracts.includes(slowReadersContract) },
        };
        logger.info("starting", { callers: config.callers, store: config.store.address });
        const daemon = await startIngress(config, adapter, logger, lifetime.signal);
        logger.info("started", { callers: config.callers, startMilliseconds: Math.round(performance.now()) });
        onStopSignal(async name => {
            logger.info("stopping", { signal: name });
            await daemon.stop();
            logger.info("stopped");
            lifetime.abort();
            process.exit(0);
        });
    },
});

await runMain(command);
