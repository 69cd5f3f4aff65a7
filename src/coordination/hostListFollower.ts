/**
 * Follows the platform's host list and keeps the latest valid copy.
 *
 * The list comes from a slow poll of the platform and, by gossip, from other daemons, so that a daemon that cannot
 * reach the platform still learns its hosts. Only a list with a higher version replaces the current copy.
 */
import type { Result } from "neverthrow";
import type { Clock, HostRecord } from "../state/types.js";
import type { GossipTopic } from "./gossip.js";

export type HostList = { version: number; hosts: HostRecord[]; };

export type HostListFailure = { kind: "unavailable"; reason: string; };

export type HostListFollower = {
    current: () => HostList;
    hosts: () => HostRecord[];
    /** Adopts a list from another daemon; one that is not newer is ignored. */
    adopt: (list: HostList) => void;
    /** Calls `listener` with each newer list, and immediately with the current one. */
    onChange: (listener: (list: HostList) => void) => void;
    /** Why the last poll failed; undefined if it succeeded. */
    failure: () => string | undefined;
};

export type HostListOptions = {
    /** Reads the list from the platform; returns undefined if it is still at `knownVersion`. */
    read: (knownVersion: number, signal: AbortSignal) => Promise<Result<HostList | undefined, HostListFailure>>;
    pollMilliseconds: number;
    clock: Clock;
    signal: AbortSignal;
};

/** Starts the task, which ends when `signal` aborts. */
export const startHostListFollower = ({ read, pollMilliseconds, clock, signal }: HostListOptions): HostListFollower => {
    let list: HostList = { version: -1, hosts: [] };
    let failure: string | undefined;
    const listeners: ((list: HostList) => void)[] = [];

    const adopt = (newer: HostList): void => {
        if (newer.version > list.version) {
            list = newer;
            listeners.forEach(listener => listener(newer));
        }
    };

    const follow = async (): Promise<void> => {
        while (!signal.aborted) {
            const answer = await read(list.version, signal);
            const newer = answer.unwrapOr(undefined);
            if (newer !== undefined) {
                adopt(newer);
            }
            failure = answer.isErr() ? answer.error.reason : undefined;
            await clock.sleep(pollMilliseconds, signal);
        }
    };
    void follow();

    return {
        current: () => list,
        hosts: () => list.hosts,
        adopt,
        onChange: listener => {
            listeners.push(listener);
            listener(list);
        },
        failure: () => failure,
    };
};

const versionOf = (digest: unknown): number =>
    typeof digest === "object" && digest !== null && "version" in digest ? Number(digest.version) : -1;

/** The gossip topic `hosts`; `decode` validates a list from a peer. */
export const hostListTopic = (
    follower: HostListFollower,
    decode: (update: unknown) => HostList | undefined,
): GossipTopic => ({
    name: "hosts",
    digest: () => ({ version: follower.current().version }),
    newerThan: digest => follower.current().version > versionOf(digest) ? follower.current() : undefined,
    accept: update => {
        const list = decode(update);
        if (list !== undefined) {
            follower.adopt(list);
        }
    },
});
