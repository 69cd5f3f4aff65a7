/**
 * Simulated entries before model servers that crash on certain requests, on a stepped clock.
 *
 * The entries run the product's own stream tasks, observers, evidence tables, gossip schedules and store readers; the
 * network, the servers and the store are simulated. Entries can be cut off from each other or from the store, frozen, and restarted with empty memory.
 */
import { setMaxListeners } from "node:events";
import { startCrashEvidenceSync } from "../../src/coordination/ingress/crashEvidenceSync.js";
import {
    type CrashEvidenceTable,
    createCrashEvidenceTable,
} from "../../src/coordination/ingress/crashEvidenceTable.js";
import { createCrashObserver } from "../../src/coordination/ingress/crashObserver.js";
import { type PeerEntry, startGossipSchedule } from "../../src/coordination/ingress/gossipSchedule.js";
import { createIngressLog } from "../../src/coordination/ingress/ingressLog.js";
import { createPeerStatusTable, type EntryStatus } from "../../src/coordination/ingress/peerStatusTable.js";
import type { RequestContext, RequestDependencies } from "../../src/coordination/ingress/requestContext.js";
import { requestTraits, suspectTraits } from "../../src/coordination/ingress/requestTraits.js";
import { createStreamAdmission } from "../../src/coordination/ingress/streamAdmission.js";
import { createStreamScheduler } from "../../src/coordination/ingress/streamScheduler.js";
import { createStreamTask } from "../../src/coordination/ingress/streamTask.js";
import { createUpstreamHealth } from "../../src/coordination/ingress/upstreamHealth.js";
import { createUpstreamPauses } from "../../src/coordination/ingress/upstreamPauses.js";
import { createMetrics } from "../../src/coordination/metrics.js";
import { createRetryBudget } from "../../src/coordination/retryBudget.js";
import { decodeEntryGossip, encodeEntryGossip } from "../../src/protocol/entryGossipMessages.js";
import type { Clock } from "../../src/state/types.js";
import { type CrashingServerModel, type FleetRequest, startCrashingServerModel } from "./crashingServerModel.js";
import { startEvidenceStoreModel } from "./evidenceStoreModel.js";
import { noUpstreamLimits } from "./noUpstreamLimits.js";
import { seededRandom } from "./random.js";
import { type SteppedClock, steppedClock } from "./steppedClock.js";

export type FleetAnswer = {
    /** `refused`: with the word that it has not run. */
    outcome: "answered" | "refused" | "failed";
    code: string | undefined;
    /** Number of servers that it was sent to. */
    sends: number;
    milliseconds: number;
};

export type FleetOptions = {
    entries: number;
    servers: number;
    /** Whether a server crashes as it begins to answer the request. */
    isBad: (request: FleetRequest) => boolean;
    seed?: number;
};

export type EntryFleet = {
    clock: SteppedClock;
    /** Sends a client's request through an entry; `attempts` as the route allows. */
    request: (entry: number, request: FleetRequest) => Promise<FleetAnswer>;
    sends: CrashingServerModel["sends"];
    crashes: CrashingServerModel["crashes"];
    /** Crashes the first `count` servers, for a cause outside of the requests. */
    crashServers: (count: number) => void;
    /** Cuts an entry off from the others, from the store, or from both; an empty list ends it. */
    cutOff: (entry: number, from: ("entries" | "store")[]) => void;
    freeze: (entry: number) => void;
    thaw: (entry: number) => void;
    /** Ends an entry at once and starts it with empty memory. */
    restart: (entry: number) => void;
    /** Bytes of evidence that the entry would gossip and store now. */
    evidenceBytes: (entry: number) => { gossiped: number; stored: number; };
    holdsAt: (entry: number) => string[];
    stop: () => void;
};

const datagramMilliseconds = 1;
const unixStart = 1_800_000_000_000;
const routeAttempts = 2;

type EntryState = {
    host: string;
    lifetime: AbortController;
    cutFrom: Set<"entries" | "store">;
    isFrozen: boolean;
    whenThawed: (() => void)[];
    /** How far its system time is off. */
    skewMilliseconds: number;
    table: CrashEvidenceTable;
    receive: (message: Buffer) => void;
    serve: (request: FleetRequest) => Promise<FleetAnswer>;
};

export const startEntryFleet = (options: FleetOptions): EntryFleet => {
    const { isBad, seed = 1 } = options;
    const random = seededRandom(seed);
    const clock = steppedClock(0);
    const everything = new AbortController();
    setMaxListeners(0, everything.signal);
    const servers = startCrashingServerModel(options.servers, isBad, clock, everything.signal);
    const { sends, crashes } = servers;

    const store = startEvidenceStoreModel(clock);

    const zones = ["kuopio", "varkaus", "iisalmi"];
    const peers: PeerEntry[] = [...Array(options.entries).keys()].map(index => ({
        host: `entry-${String(index).padStart(2, "0")}`,
        availabilityZone: zones[index % zones.length] as string,
        address: String(index),
    }));
    const entries: EntryState[] = [];

    const startEntry = (index: number, skewMilliseconds: number): EntryState => {
        const { host, availabilityZone } = peers[index] as PeerEntry;
        const lifetime = new AbortController();
        const { signal } = lifetime;
        setMaxListeners(0, signal);
        const state = (): EntryState => entries[index] as EntryState;
        const thawed = async (): Promise<void> => {
            while (state().isFrozen && !signal.aborted) {
                await new Promise<void>(resolve => state().whenThawed.push(resolve));
            }
        };
        const ownClock: Clock = {
            now: clock.now,
            sleep: async (milliseconds, sleepSignal) => {
                await clock.sleep(milliseconds, sleepSignal);
                await thawed();
            },
        };
        const log = createIngressLog(() => undefined, ownClock);
        const peerStatuses = createPeerStatusTable(ownClock, log);
        const metrics = createMetrics();
        const health = createUpstreamHealth(ownClock, log);
        const table = createCrashEvidenceTable({
            host,
            unixNow: () => unixStart + clock.now() + skewMilliseconds,
            onOwnReport: () => gossip.publishNow(),
            onEvidenceToStore: () => sync.scheduleWrite(),
            log,
        });
        const sync = startCrashEvidenceSync({
            host,
            store: store.openFor(() => state().cutFrom.has("store")),
            table,
            entries: peerStatuses.entries,
            clock: ownClock,
            log,
            random,
            signal,
        });
        let sequence = 0;
        const gossip = startGossipSchedule({
            host,
            availabilityZone,
            others: () => peers.filter(peer => peer.host !== host),
            peerStatuses,
            ownStatus: () => ({
                host,
                availabilityZone,
                incarnation: String(skewMilliseconds),
                sequence: sequence += 1,
                running: {},
                limits: {},
                store: undefined,
                unserved: [],
                hasRead: false,
                leaving: {},
                demand: {},
                work: {},
                statedLimits: {},
                crashEvidence: table.evidenceToGossip(),
            }),
            send: (addresses, statuses) => deliver(index, addresses, encodeEntryGossip({ from: host, news: statuses })),
            clock: ownClock,
            signal,
        });
        const crashObserver = createCrashObserver({
            isPortClosed: async address => servers.isDown(address),
            onCrash: ({ run, suspects }) => table.recordCrash(run, suspects.map(suspectTraits)),
            onAnswer: traits => table.recordAnswer(suspectTraits(traits)),
            clock: ownClock,
            log,
            metrics,
            signal,
        });
        const dependencies: RequestDependencies = {
            clock: ownClock,
            log,
            metrics,
            health,
            retryBudget: createRetryBudget(ownClock, () => 1),
            crashObserver,
            crashEvidence: table,
            upstreamLimits: noUpstreamLimits,
            random,
        };
        const scheduler = createStreamScheduler({
            state: { usable: servers.upstreams, all: servers.upstreams },
            health,
            pauses: createUpstreamPauses(ownClock, log),
            upstreamLimits: noUpstreamLimits,
            clock: ownClock,
            peerStatuses,
            queryEngine: async () => undefined,
            log,
            random,
            signal,
        });
        const admission = createStreamAdmission(scheduler, dependencies);
        const runStream = createStreamTask(scheduler, admission, dependencies);
        let requestCount = 0;
        return {
            host,
            lifetime,
            cutFrom: entries[index]?.cutFrom ?? new Set(),
            isFrozen: false,
            whenThawed: [],
            skewMilliseconds,
            table,
            receive: message =>
                void thawed().then(() => {
                    const statuses = decodeEntryGossip(message)._unsafeUnwrap().news
                        .filter((status: EntryStatus) => status.host !== host);
                    statuses.forEach(status => peerStatuses.record(status, ""));
                    statuses.flatMap(({ crashEvidence }) => crashEvidence ?? []).forEach(table.merge);
                    admission.retryQueued();
                }),
            serve: async request => {
                requestCount += 1;
                const { body, account = "council", parts = [] } = request;
                const arrivedAt = clock.now();
                let sendCount = 0;
                let outcome: FleetAnswer["outcome"] = "failed";
                let code: string | undefined;
                let hasStarted = false;
                const envelope = {
                    requestId: `${host}-${requestCount}`,
                    host: "portal.example",
                    method: "POST",
                    target: "/talk/1",
                    path: "/talk/1",
                    patienceMilliseconds: 8_000,
                    apiKey: undefined,
                    promptTokens: 800,
                    maximumAnswerTokens: 80,
                    expectedAnswerTokens: undefined,
                    promptParts: parts,
                    lastEventId: undefined,
                };
                const context: RequestContext = {
                    envelope,
                    traits: requestTraits(envelope, "model", account, Buffer.from(body)),
                    route: {
                        name: "talk",
                        host: "portal.example",
                        pathPrefix: "/talk/",
                        kind: "streaming",
                        services: [],
                        attempts: routeAttempts,
                        timeoutMilliseconds: 8_000,
                        objectiveMilliseconds: 400,
                        priority: 1,
                        isPublic: false,
                        isResumable: true,
                        gapTargetMilliseconds: 120,
                    },
                    service: "model",
                    clientAccount: account,
                    priority: 1,
                    urgency: undefined,
                    arrivedAt,
                    callerDeadlineAt: arrivedAt + 8_000,
                    responseDueAt: arrivedAt + 8_000,
                    send: servers.senderOf(index, request, () => sendCount += 1),
                    sink: {
                        start: () => hasStarted = true,
                        write: () => undefined,
                        end: () => outcome = "answered",
                        refuse: refusal => {
                            outcome = refusal.outcome === "not-run" ? "refused" : "failed";
                            code = refusal.code;
                        },
                        abort: () => undefined,
                        hasStarted: () => hasStarted,
                    },
                    signal,
                    callerGone: signal,
                };
                await runStream(context);
                return { outcome, code, sends: sendCount, milliseconds: clock.now() - arrivedAt };
            },
        };
    };

    const deliver = (from: number, addresses: string[], message: Buffer): void => {
        for (const to of addresses.map(Number)) {
            const isCut = [from, to].some(end => entries[end]?.cutFrom.has("entries"));
            if (!isCut && entries[to]?.lifetime.signal.aborted === false) {
                void clock.sleep(datagramMilliseconds, everything.signal).then(() => entries[to]?.receive(message));
            }
        }
    };

    const entryAt = (index: number): EntryState => entries[index] as EntryState;
    const clockSkew = (): number => Math.round((random() - 0.5) * 4_000);
    [...peers.keys()].forEach(index => entries.push(startEntry(index, clockSkew())));

    return {
        clock,
        request: (entry, request) => entryAt(entry).serve(request),
        sends,
        crashes,
        crashServers: servers.crash,
        cutOff: (entry, from) => {
            const { cutFrom } = entryAt(entry);
            cutFrom.clear();
            from.forEach(what => cutFrom.add(what));
        },
        freeze: entry => {
            entryAt(entry).isFrozen = true;
        },
        thaw: entry => {
            const state = entryAt(entry);
            state.isFrozen = false;
            state.whenThawed.splice(0).forEach(resume => resume());
        },
        restart: entry => {
            entryAt(entry).lifetime.abort();
            entries[entry] = startEntry(entry, clockSkew());
        },
        evidenceBytes: entry => ({
            gossiped: JSON.stringify(entryAt(entry).table.evidenceToGossip()).length,
            stored: JSON.stringify(entryAt(entry).table.evidenceToStore()).length,
        }),
        holdsAt: entry => entryAt(entry).table.holds().map(({ trait }) => trait),
        stop: () => {
            everything.abort();
            entries.forEach(({ lifetime }) => lifetime.abort());
        },
    };
};
