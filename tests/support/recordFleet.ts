/**
 * Simulated entries that follow the topics of one store, on a stepped clock.
 *
 * The entries run the product's own gossip schedule, status tables, store monitors, shared records and deployment
 * followers; the network and the store are simulated. Entries can be killed, started, frozen, cut off from the store or
 * from each other, and their running polls can hang as on a dead connection.
 */
import type { Result } from "neverthrow";
import { setMaxListeners } from "node:events";
import {
    createRevisionOf,
    type DeploymentFollower,
    type FeedRecord,
    followDeployment,
} from "../../src/coordination/ingress/deploymentFeed.js";
import { createDeploymentState, type DeploymentState } from "../../src/coordination/ingress/deploymentState.js";
import { type PeerEntry, startGossipSchedule } from "../../src/coordination/ingress/gossipSchedule.js";
import { createIngressLog } from "../../src/coordination/ingress/ingressLog.js";
import { createPeerStatusTable, type EntryStatus } from "../../src/coordination/ingress/peerStatusTable.js";
import { createRecordPeers } from "../../src/coordination/ingress/recordPeers.js";
import {
    type FeedFailure,
    type FeedPosition,
    type FeedTopic,
    type RecordBatch,
    type RecordSource,
    type StoredRecord,
} from "../../src/coordination/ingress/recordSource.js";
import { createSharedRecords, type SharedRecords } from "../../src/coordination/ingress/sharedRecords.js";
import { createTopicFreshness, type TopicFreshness } from "../../src/coordination/ingress/topicFreshness.js";
import type { Clock } from "../../src/state/types.js";
import { type SteppedClock, steppedClock } from "./steppedClock.js";
import { answerTimeoutMilliseconds, createStoreModel, type StoreModel, unavailable } from "./storeModel.js";

export type RecordFleetOptions = {
    entries: number;
    zones?: number;
    /** Whether entries hear each other; true by default. */
    isGossiping?: boolean;
    /** Time between the starts of two entries. */
    startSpreadMilliseconds?: number;
};

export type RecordFleet = Omit<StoreModel, "sourceFor" | "isLost"> & {
    clock: SteppedClock;
    /** Of the running entries. */
    states: () => DeploymentState[];
    /** Undefined while the entry isn't running. */
    stateOf: (entry: number) => DeploymentState | undefined;
    freshness: (entry: number) => TopicFreshness;
    shared: (entry: number) => SharedRecords;
    /** Records that were sent between entries of different zones. */
    recordsAcrossZones: () => number;
    /** Cuts an entry off from all others; the store still serves it. */
    isolate: (entry: number, isIsolated: boolean) => void;
    kill: (entry: number) => void;
    start: (entry: number) => void;
    stop: () => void;
};

const relayMilliseconds = 2;
const datagramMilliseconds = 1;
type EntryModel = {
    lifetime: AbortController;
    receive: (statuses: EntryStatus[]) => void;
    state: DeploymentState;
    freshness: TopicFreshness;
    shared: SharedRecords;
};

export const hostOf = (entry: number): string => `entry-${String(entry).padStart(3, "0")}`;

const decode = ({ key, value }: StoredRecord): FeedRecord =>
    value.length === 0
        ? key.startsWith("evacuate/")
            ? { kind: "zone-returned", availabilityZone: key.slice("evacuate/".length) }
            : { kind: "upstream-gone", id: key }
        : JSON.parse(value.toString()) as FeedRecord;

export const startRecordFleet = (options: RecordFleetOptions): RecordFleet => {
    const { entries: entryCount, zones = 1, isGossiping = true, startSpreadMilliseconds = 0 } = options;
    const clock = steppedClock(0);
    const everything = new AbortController();
    setMaxListeners(0, everything.signal);
    const store = createStoreModel(clock);
    let recordsAcrossZones = 0;
    const isolated = new Set<number>();
    const entries: (EntryModel | undefined)[] = [];
    const known: PeerEntry[] = [...Array(entryCount).keys()].map(entry => ({
        host: hostOf(entry),
        availabilityZone: `zone-${entry % zones}`,
        address: String(entry),
    }));
    const zoneOf = (entry: number): string => (known[entry] as PeerEntry).availabilityZone;

    const isReachable = (from: number, to: number): boolean =>
        from === to || !isolated.has(from) && !isolated.has(to) && isGossiping && entries[to] !== undefined;

    const relayFrom = (entry: number, to: number): RecordSource => {
        const call = async (
            signal: AbortSignal,
            waitMilliseconds: number,
            read: (source: RecordSource) => Promise<Result<RecordBatch, FeedFailure>>,
        ): Promise<Result<RecordBatch, FeedFailure>> => {
            const calledAt = clock.now();
            await clock.sleep(relayMilliseconds, signal);
            const source = entries[to]?.shared.cache;
            if (source === undefined || !isReachable(entry, to)) {
                await clock.sleep(answerTimeoutMilliseconds, signal);
                return unavailable("not reachable");
            }
            const result = await read(source);
            if (await store.isLost(entry, calledAt, waitMilliseconds, signal)) {
                return unavailable("no answer in time");
            }
            recordsAcrossZones += result.isOk() && zoneOf(entry) !== zoneOf(to) ? result.value.records.length : 0;
            return result;
        };
        return {
            readAll: (topic, signal) => call(signal, 0, source => source.readAll(topic, signal)),
            readNewer: (topic, from: FeedPosition, waitMilliseconds, signal) =>
                call(signal, waitMilliseconds, source => source.readNewer(topic, from, waitMilliseconds, signal)),
        };
    };

    const deliver = async (from: number, addresses: string[], statuses: EntryStatus[]): Promise<void> => {
        await clock.sleep(datagramMilliseconds, everything.signal);
        addresses.map(Number).filter(to => isReachable(from, to)).forEach(to => entries[to]?.receive(statuses));
    };

    const startEntry = (entry: number): EntryModel => {
        const { host, availabilityZone } = known[entry] as PeerEntry;
        const lifetime = new AbortController();
        const { signal } = lifetime;
        setMaxListeners(0, signal);
        const log = createIngressLog(() => undefined, clock);
        const ownClock: Clock = clock;
        const peerStatuses = createPeerStatusTable(ownClock, log);
        const knownEntries = new Map(known.filter(peer => peer.host !== host).map(peer => [peer.host, peer]));
        const freshness = createTopicFreshness(ownClock, () => shared.storeTurn());
        const shared: SharedRecords = createSharedRecords({
            host,
            availabilityZone,
            store: store.sourceFor(entry),
            peers: createRecordPeers({
                availabilityZone,
                knownEntries: isGossiping ? knownEntries : new Map(),
                peerStatuses,
                createSource: address => relayFrom(entry, Number(address)),
            }),
            freshness,
            revisionOf: createRevisionOf((topic, record) => decode(record)),
            onNews: () => gossip.publishNow(),
            clock: ownClock,
            log,
            signal,
        });
        const state = createDeploymentState(ownClock, log);
        let sequence = 0;
        const incarnation = `${entry}-${clock.now()}`;
        const gossip = startGossipSchedule({
            host,
            availabilityZone,
            others: () => isGossiping ? [...knownEntries.values()] : [],
            peerStatuses,
            ownStatus: () => ({
                host,
                availabilityZone,
                incarnation,
                sequence: sequence += 1,
                running: {},
                limits: {},
                store: freshness.readStatus(),
                unserved: shared.unserved(),
                hasRead: shared.hasRead(),
                leaving: state.leavingToGossip(),
                demand: {},
                work: {},
                statedLimits: {},
                crashEvidence: undefined,
            }),
            send: (addresses, statuses) => void deliver(entry, addresses, statuses),
            clock: ownClock,
            signal,
        });
        const follower: DeploymentFollower = followDeployment({
            source: shared.source,
            store: shared.store,
            decode: (topic, record) => decode(record),
            sink: state,
            freshness,
            originOf: () => undefined,
            clock: ownClock,
            log,
            random: () => 0.5,
            signal,
        });
        const followOther = async (topic: FeedTopic): Promise<void> => {
            let position: FeedPosition | undefined;
            while (!signal.aborted) {
                const batch: Result<RecordBatch, FeedFailure> = position === undefined
                    ? await shared.source.readAll(topic, signal)
                    : await shared.source.readNewer(topic, position, 25_000, signal);
                position = batch.isOk() ? batch.value.next : undefined;
                await clock.sleep(batch.isOk() ? 0 : 1_000, signal);
            }
        };
        void followOther("entries");
        void followOther("crashes");
        return {
            lifetime,
            state,
            freshness,
            shared,
            receive: statuses => {
                const others = statuses.filter(status => status.host !== host);
                others.forEach(status => peerStatuses.record(status, ""));
                others.flatMap(({ store }) => store ?? []).forEach(freshness.recordPeerStatus);
                others.flatMap(({ leaving }) => Object.entries(leaving)).forEach(([id, bornAt]) =>
                    state.markLeaving(id, bornAt, "another entry")
                );
                follower.checkPeerPositions();
            },
        };
    };

    const start = (entry: number): void => {
        entries[entry] = startEntry(entry);
    };
    [...Array(entryCount).keys()].forEach(entry =>
        startSpreadMilliseconds === 0
            ? start(entry)
            : void clock.sleep(entry * startSpreadMilliseconds / entryCount, everything.signal).then(() => start(entry))
    );

    const entryAt = (entry: number): EntryModel => entries[entry] as EntryModel;
    const kill = (entry: number): void => {
        entryAt(entry).lifetime.abort();
        entries[entry] = undefined;
    };

    return {
        clock,
        ...store,
        stateOf: entry => entries[entry]?.state,
        states: () => entries.flatMap(entry => entry?.state ?? []),
        freshness: entry => entryAt(entry).freshness,
        shared: entry => entryAt(entry).shared,
        recordsAcrossZones: () => recordsAcrossZones,
        isolate: (entry, isIsolated) => void (isIsolated ? isolated.add(entry) : isolated.delete(entry)),
        kill,
        start,
        stop: () => {
            everything.abort();
            entries.forEach(entry => entry?.lifetime.abort());
        },
    };
};
