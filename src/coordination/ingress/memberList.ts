/**
 * Interface to the list of the daemons of one role in the platform's store, by which daemons discover each other.
 */
import type { Result } from "neverthrow";

/** `address` is the `ip:port` for traffic between daemons. */
export type Member = { host: string; availabilityZone: string; address: string; };

export type MemberList = {
    /** Registers this daemon; the newest record of a host replaces earlier ones. */
    announce: (member: Member, signal: AbortSignal) => Promise<Result<void, string>>;
    read: (signal: AbortSignal) => Promise<Result<Member[], string>>;
};
