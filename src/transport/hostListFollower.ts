/**
 * Polls the platform's host list and keeps the last good copy.
 */
import type { Clock, HostRecord } from "../state/types.js";
import { type HostList, readHostList } from "./hostListClient.js";

const pollIntervalMilliseconds = 1_000;

export type HostListFollower = {
    current: () => HostList;
    hosts: () => HostRecord[];
    /** Why the last poll failed; undefined when it succeeded. */
    failure: () => string | undefined;
};

/** Starts the task; it ends when `signal` aborts. */
export const startHostListFollower = (platform: string, clock: Clock, signal: AbortSignal): HostListFollower => {
    let list: HostList = { version: -1, hosts: [] };
    let failure: string | undefined;

    const follow = async (): Promise<void> => {
        while (!signal.aborted) {
            const read = await readHostList(platform, signal);
            if (read.isOk() && read.value.version >= list.version) {
                list = read.value;
            }
            failure = read.isErr() ? read.error.reason : undefined;
            await clock.sleep(pollIntervalMilliseconds, signal);
        }
    };
    void follow();

    return { current: () => list, hosts: () => list.hosts, failure: () => failure };
};
