/**
 * The gossip topic for settings: a peer that lags slightly gets the records that it lacks, any other peer the whole
 * tree.
 */
import { snapshotOf, stateFromSnapshot } from "../state/settingsStateMachine.js";
import type { LogRecord, SettingsRecord, SettingsSnapshot } from "../state/types.js";
import type { GossipTopic } from "./gossip.js";
import type { SettingsFollower } from "./settingsFollower.js";

type SettingsUpdate =
    | { kind: "records"; records: LogRecord<SettingsRecord>[]; }
    | SettingsSnapshot;

/** Decodes an update from a peer, or returns undefined if it is malformed; provided by `protocol`. */
export type SettingsUpdateDecoder = (update: unknown) => SettingsUpdate | undefined;

const offsetOf = (digest: unknown): number =>
    typeof digest === "object" && digest !== null && "offset" in digest && Number.isSafeInteger(digest.offset)
        ? digest.offset as number
        : -1;

/** The longest prefix of `records` whose JSON has at most `maximumBytes`. */
const withinBytes = (records: LogRecord<SettingsRecord>[], maximumBytes: number): LogRecord<SettingsRecord>[] => {
    let bytes = 0;
    const end = records.findIndex(record => {
        bytes += Buffer.byteLength(JSON.stringify(record)) + 1;
        return bytes > maximumBytes;
    });
    return end < 0 ? records : records.slice(0, end);
};

const updateEnvelopeBytes = 64;

/** Builds the topic `settings` for `follower`. */
export const settingsTopic = (follower: SettingsFollower, decode: SettingsUpdateDecoder): GossipTopic => ({
    name: "settings",
    digest: () => ({ offset: follower.state().offset }),
    newerThan: (digest, maximumBytes): SettingsUpdate | undefined => {
        const offset = offsetOf(digest);
        const state = follower.state();
        if (offset >= state.offset) {
            return undefined;
        }
        const records = withinBytes(follower.recordsAfter(offset) ?? [], maximumBytes - updateEnvelopeBytes);
        return records.length > 0 ? { kind: "records", records } : snapshotOf(state);
    },
    accept: update => {
        const decoded = decode(update);
        if (decoded?.kind === "records") {
            follower.applyRecords(decoded.records);
        }
        else if (decoded?.kind === "snapshot") {
            follower.adopt(stateFromSnapshot(decoded));
        }
    },
    subscribe: follower.subscribe,
});
