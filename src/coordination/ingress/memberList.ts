/**
 * The list of daemons of one role, kept in the platform's store, by which new daemons find the others.
 */
import type { Result } from "neverthrow";

/** `address` is the `ip:port` for traffic between daemons. */
export type Member = { host: string; availabilityZone: string; address: string; };

export type MemberList = {
    /** Enters this daemon; the newest entry of a host holds. */
    announce: (member: Member, signal: AbortSignal) => Promise<Result<void, string>>;
    read: (signal: AbortSignal) => Promise<Result<Member[], string>>;
};
