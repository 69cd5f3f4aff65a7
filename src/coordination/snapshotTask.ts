/**
 * Appends a snapshot to the `settings` stream before the log drops the records since the previous one.
 *
 * Every daemon runs this task. For each snapshot the hosts are ranked by rendezvous hash, and each waits in proportion
 * to its rank, so that usually only one of them appends; a second snapshot does no harm. A daemon that lags, or that
 * cannot reach the log, leaves the snapshot to the others.
 */
import { createHash } from "node:crypto";
import { snapshotOf } from "../state/settingsStateMachine.js";
import type { Clock, SettingsRecord } from "../state/types.js";
import type { LogStream } from "./logStream.js";
import type { SettingsFollower } from "./settingsFollower.js";

const checkIntervalMilliseconds = 1_000;
const delayPerRankMilliseconds = 1_000;
const maximumDelayMilliseconds = 60_000;
const snapshotsPerRetention = 4;

/** How long the log retains the records of a stream; an absent limit does not apply. */
export type LogRetention = { records?: number; milliseconds?: number; };

export type SnapshotTaskOptions = {
    follower: SettingsFollower;
    stream: LogStream<SettingsRecord>;
    retention: LogRetention;
    /** Name of this host. */
    host: string;
    /** Names of all hosts that run this task. */
    hosts: () => readonly string[];
    clock: Clock;
    signal: AbortSignal;
};

const rendezvousWeight = (host: string, key: string): string =>
    createHash("sha256").update(`${key} ${host}`).digest("hex");

/** Rank of `host` among `hosts` by rendezvous hash for `key`; the lowest hash has rank 0. */
export const rendezvousRank = (host: string, hosts: readonly string[], key: string): number => {
    const ownWeight = rendezvousWeight(host, key);
    return hosts.filter(other => other !== host && rendezvousWeight(other, key) < ownWeight).length;
};

/** Runs the task until `signal` aborts. */
export const runSnapshotTask = async (options: SnapshotTaskOptions): Promise<void> => {
    const { follower, stream, retention, host, hosts, clock, signal } = options;
    const startedAt = clock.now();
    const startOffset = follower.state().offset;

    const isDue = (): boolean => {
        const { snapshot, nextOffset, offset } = follower.status();
        if (offset < 0 || nextOffset !== offset + 1) {
            return false;
        }
        const records = offset - (snapshot?.upToOffset ?? startOffset);
        const age = clock.now() - (snapshot?.appendedAt ?? startedAt);
        return records * snapshotsPerRetention > (retention.records ?? Infinity)
            || age * snapshotsPerRetention > (retention.milliseconds ?? Infinity);
    };

    while (!signal.aborted) {
        await clock.sleep(checkIntervalMilliseconds, signal);
        if (!isDue()) {
            continue;
        }
        const rank = rendezvousRank(host, hosts(), String(follower.status().snapshot?.offset));
        await clock.sleep(Math.min(rank * delayPerRankMilliseconds, maximumDelayMilliseconds), signal);
        if (!signal.aborted && isDue()) {
            await stream.append(snapshotOf(follower.state()), signal);
        }
    }
};
