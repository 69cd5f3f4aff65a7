/**
 * The entries that share the upstreams of an availability zone: which of them this entry hears, and what share of those
 * that it should hear these are.
 *
 * Answers a partition, in which each part must use no more than its share of what all entries may use together. The
 * entries of the upstream's own zone share it, as a cut between zones leaves only them able to reach it. Where none of
 * them is heard, all entries do.
 */
import type { Clock } from "../../state/types.js";
import type { PeerEntry } from "./gossipSchedule.js";

export type SharingEntries = {
    /** Host names of the entries that are heard, this one included if it shares; never empty. */
    heard: string[];
    /** Those that are heard, as a share of those that should be. */
    share: number;
};

export type EntryRoster = {
    /** Records that the statuses of these entries were received. */
    recordHeard: (entries: { host: string; availabilityZone: string; }[]) => void;
    /** The entries that share the upstreams of a zone. */
    sharingIn: (availabilityZone: string) => SharingEntries;
};

export type EntryRosterOptions = {
    host: string;
    availabilityZone: string;
    /** All other entries that were ever listed or heard. */
    knownEntries: ReadonlyMap<string, PeerEntry>;
    clock: Pick<Clock, "now">;
};

/** Several messages in a row may be lost or late. */
const silentAfterMilliseconds = 1_500;
/** An entry that is silent for so long counts as gone where most others are heard. */
const goneAfterMilliseconds = 10_000;

/** Each status and each permit needs the entries that share; several upstreams of a zone are asked about at once. */
const sharingMaximumAgeMilliseconds = 50;

type Member = {
    host: string;
    availabilityZone: string;
    /** When it was heard last, or became known. */
    lastSignAt: number;
    hasBeenHeard: boolean;
    isGone: boolean;
};

export const createEntryRoster = (options: EntryRosterOptions): EntryRoster => {
    const { host, availabilityZone: ownZone, knownEntries, clock } = options;
    const members = new Map<string, Member>();

    const addListed = (): void => {
        for (const { host: listed, availabilityZone } of knownEntries.values()) {
            if (!members.has(listed)) {
                const sign = { lastSignAt: clock.now(), hasBeenHeard: false, isGone: false };
                members.set(listed, { host: listed, availabilityZone, ...sign });
            }
        }
    };

    const silence = ({ lastSignAt }: Member): number => clock.now() - lastSignAt;
    const isHeard = (member: Member): boolean => member.hasBeenHeard && silence(member) <= silentAfterMilliseconds;

    /** This entry and the given others; a minority never takes the rest for gone, as it may be cut off. */
    const sharingAmong = (others: Member[], isSharing: boolean): SharingEntries => {
        const own = isSharing ? [host] : [];
        const heard = [...own, ...others.filter(isHeard).map(member => member.host)];
        const expected = others.filter(({ isGone }) => !isGone);
        if (heard.length > (own.length + expected.length) / 2) {
            expected.filter(member => silence(member) > goneAfterMilliseconds).forEach(member => member.isGone = true);
        }
        const remaining = own.length + expected.filter(({ isGone }) => !isGone).length;
        return { heard, share: heard.length / Math.max(1, remaining) };
    };

    const sharing = new Map<string, { entries: SharingEntries; computedAt: number; }>();

    const computeSharing = (availabilityZone: string): SharingEntries => {
        addListed();
        const others = [...members.values()].filter(member => member.host !== host);
        const inZone = others.filter(member => member.availabilityZone === availabilityZone);
        const ofZone = sharingAmong(inZone, availabilityZone === ownZone);
        return ofZone.heard.length > 0 ? ofZone : sharingAmong(others, true);
    };

    return {
        recordHeard: entries => {
            for (const { host: heard, availabilityZone } of entries) {
                const sign = { lastSignAt: clock.now(), hasBeenHeard: true, isGone: false };
                members.set(heard, { host: heard, availabilityZone, ...sign });
            }
        },
        sharingIn: availabilityZone => {
            const known = sharing.get(availabilityZone);
            if (known !== undefined && clock.now() - known.computedAt < sharingMaximumAgeMilliseconds) {
                return known.entries;
            }
            const entries = computeSharing(availabilityZone);
            sharing.set(availabilityZone, { entries, computedAt: clock.now() });
            return entries;
        },
    };
};
