/**
 * Interface to the list of the daemons of one role in the platform's store, by which daemons discover each other.
 */
import type { Result } from "neverthrow";
import type { FeedFailure, FeedPosition } from "./recordSource.js";

/** `address` is the `ip:port` for traffic between daemons. */
export type Member = { host: string; availabilityZone: string; address: string; };

export type MemberBatch = { members: Member[]; next: FeedPosition; };

export type MemberList = {
    /** Registers this daemon; the newest record of a host replaces earlier ones. */
    announce: (member: Member, signal: AbortSignal) => Promise<Result<void, string>>;
    readAll: (signal: AbortSignal) => Promise<Result<MemberBatch, FeedFailure>>;
    /** The members registered from `from` on; if there are none, waits up to `waitMilliseconds` for the first. */
    readNewer: (from: FeedPosition, waitMilliseconds: number, signal: AbortSignal) => Promise<
        Result<MemberBatch, FeedFailure>
    >;
};
