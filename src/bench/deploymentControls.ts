/**
 * What the bench does to a deployment beside its load: faults of the stand-ins, changes of the settings, readings.
 */
import { request } from "undici";
import { applySettingsRecords, editFrom } from "../state/settingsStateMachine.js";
import { emptySettings } from "../state/settingsTree.js";
import type { SettingsNode, SettingsPath, SettingsRecord } from "../state/types.js";
import { createLogClient } from "../transport/logClient.js";
import type { Deployment } from "./deployment.js";

/** Counters of one rank, as the stand-in engine reports them. */
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

/** Switches faults of a stand-in. */
export const setFaults = async (address: string, faults: unknown, path = "/faults"): Promise<void> => {
    await requestJson(address, path, faults);
};

/** Reads the counters of all ranks of the engine that `address` belongs to. */
export const readRanks = async (address: string): Promise<RankCounters[]> => {
    const { ranks } = await requestJson(address, `/record?from=${Number.MAX_SAFE_INTEGER}`) as {
        ranks: RankCounters[];
    };
    return ranks;
};

/** The counters of the ranks of several engines in one list. */
export const readAllRanks = async (engines: Deployment["engines"]): Promise<RankCounters[]> => {
    const readings = await Promise.all(engines.map(engine => readRanks(engine.addresses[0] ?? "")));
    return readings.flat();
};

/** Runs that a stand-in service has recorded. */
export const readRuns = async (address: string): Promise<{ idempotencyKey?: string; at: number; }[]> =>
    await requestJson(address, "/_runs") as { idempotencyKey?: string; at: number; }[];

/** Appends and bytes that the stand-in log has taken and given. */
export const readLogMetrics = async (
    platform: string,
): Promise<{ appends: number; reads: number; bytesIn: number; bytesOut: number; }> =>
    await requestJson(platform, "/metrics") as { appends: number; reads: number; bytesIn: number; bytesOut: number; };

/** The dump of one daemon's state. */
export const readState = async (address: string, operatorToken: string): Promise<unknown> => {
    const response = await request(`http://${address}/state`, {
        headers: { authorization: `Bearer ${operatorToken}` },
    });
    return response.body.json();
};

/**
 * Sets the node at `path` by a change made from the newest revision; gives the change's offset, or `undefined` when the
 * log did not take it.
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
