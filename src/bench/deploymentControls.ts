/**
 * Control operations of the bench on a deployment: fault injection at the stand-ins, settings changes and metrics.
 */
import { request } from "undici";
import { applySettingsRecords, editFrom } from "../state/settingsStateMachine.js";
import { emptySettings } from "../state/settingsTree.js";
import type { SettingsNode, SettingsPath, SettingsRecord } from "../state/types.js";
import { createLogClient } from "../transport/logClient.js";
import type { Deployment } from "./deployment.js";

/** State and counters of one rank, as the stand-in engine reports them. */
export type RankCounters = {
    rank: number;
    running: number;
    cold: boolean;
    admitted: number;
    admittedAboveColdCapacity: number;
    crashes: number;
    generatedTokens: number;
    lastAdmittedAt: number;
};

const requestJson = async (address: string, path: string, body?: unknown): Promise<unknown> => {
    const response = await request(`http://${address}${path}`, {
        method: body === undefined ? "GET" : "POST",
        headers: { "content-type": "application/json" },
        ...(body === undefined ? {} : { body: JSON.stringify(body) }),
    });
    return response.body.json();
};

/** Sets the injected faults of a stand-in. */
export const setFaults = async (address: string, faults: unknown, path = "/faults"): Promise<void> => {
    await requestJson(address, path, faults);
};

/** Reads the counters of all ranks of the engine that listens on `address`. */
export const readRanks = async (address: string): Promise<RankCounters[]> => {
    const { ranks } = await requestJson(address, `/record?from=${Number.MAX_SAFE_INTEGER}`) as {
        ranks: RankCounters[];
    };
    return ranks;
};

/** Reads the counters of all ranks of several engines, as one list in the order of the engines. */
export const readAllRanks = async (engines: Deployment["engines"]): Promise<RankCounters[]> => {
    const readings = await Promise.all(engines.map(engine => readRanks(engine.addresses[0] ?? "")));
    return readings.flat();
};

/** Reads the executions that a stand-in service has recorded. */
export const readRuns = async (address: string): Promise<{ idempotencyKey?: string; at: number; }[]> =>
    await requestJson(address, "/_runs") as { idempotencyKey?: string; at: number; }[];

/** Reads the counters of the stand-in log: appends, reads, and bytes received and sent. */
export const readLogMetrics = async (
    platform: string,
): Promise<{ appends: number; reads: number; bytesIn: number; bytesOut: number; }> =>
    await requestJson(platform, "/metrics") as { appends: number; reads: number; bytesIn: number; bytesOut: number; };

/** Reads the state dump of one daemon. */
export const readState = async (address: string, operatorToken: string): Promise<unknown> => {
    const response = await request(`http://${address}/state`, {
        headers: { authorization: `Bearer ${operatorToken}` },
    });
    return response.body.json();
};

/**
 * Sets the settings node at `path` by a change based on the newest revision. Returns the offset of the change, or
 * `undefined` if the log could not be read or rejected the append.
 */
export const changeSettings = async (
    platform: string,
    path: SettingsPath,
    value: SettingsNode,
    id: string,
    signal: AbortSignal,
): Promise<number | undefined> => {
    const stream = createLogClient<SettingsRecord>({ platform: `http://${platform}`, stream: "settings" });
    let state = emptySettings;
    for (;;) {
        const batch = await stream.read(state.offset + 1, 0, signal);
        if (batch.isErr()) {
            return undefined;
        }
        if (batch.value.records.length === 0) {
            break;
        }
        state = applySettingsRecords(state, batch.value.records).state;
    }
    const edits = [editFrom(state, path, value)];
    const appended = await stream.append({ kind: "change", id, author: "bench", comment: "bench", edits }, signal);
    return appended.isOk() ? appended.value : undefined;
};
