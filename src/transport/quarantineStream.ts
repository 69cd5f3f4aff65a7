/**
 * Connects the quarantine registry of a daemon to the `quarantine` stream of the platform's log.
 */
import { randomUUID } from "node:crypto";
import { decodedStream } from "../coordination/decodedStream.js";
import { createQuarantineRegistry, type QuarantineRegistry } from "../coordination/quarantineRegistry.js";
import { decodeCrashReports, decodeQuarantineBatch, quarantineStreamName } from "../protocol/quarantineRecords.js";
import { createLogClient } from "./logClient.js";
import { systemClock } from "./systemClock.js";

/** Starts the quarantine registry of the daemon on `host`; ends when `signal` aborts. */
export const startQuarantineRegistry = (
    { host, platform }: { host: string; platform: string; },
    signal: AbortSignal,
): QuarantineRegistry => {
    const stream = createLogClient<unknown>({ platform, stream: quarantineStreamName });
    const registry = createQuarantineRegistry({
        stream: decodedStream(stream, decodeQuarantineBatch),
        clock: systemClock,
        agent: `${host}/${randomUUID()}`,
        decodeReports: decodeCrashReports,
    });
    void registry.run(signal);
    return registry;
};
