/**
 * The quarantine of one daemon, on the platform's log.
 */
import { randomUUID } from "node:crypto";
import { decodedStream } from "../coordination/decodedStream.js";
import { createQuarantineKeeper, type QuarantineKeeper } from "../coordination/quarantineKeeper.js";
import { decodeCrashReports, decodeQuarantineBatch, quarantineStreamName } from "../protocol/quarantineRecords.js";
import { createLogClient } from "./logClient.js";
import { systemClock } from "./systemClock.js";

/** Starts the keeper of the daemon on `host`; it ends when `signal` aborts. */
export const startQuarantineKeeper = (
    { host, platform }: { host: string; platform: string; },
    signal: AbortSignal,
): QuarantineKeeper => {
    const stream = createLogClient<unknown>({ platform, stream: quarantineStreamName });
    const keeper = createQuarantineKeeper({
        stream: decodedStream(stream, decodeQuarantineBatch),
        clock: systemClock,
        agent: `${host}/${randomUUID()}`,
        decodeReports: decodeCrashReports,
    });
    void keeper.run(signal);
    return keeper;
};
