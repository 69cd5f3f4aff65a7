/**
 * Simulated entries before upstreams that state a limit on requests, on a stepped clock.
 *
 * Each entry runs the product's own knowledge of limits, roster and permits; the network, the upstreams and the choice
 * among these are simulated. Entries can be cut off from each other, frozen, and restarted with empty memory.
 */
import { err, ok, type Result } from "neverthrow";
import { setMaxListeners } from "node:events";
import { createEntryRoster, type EntryRoster } from "../../src/coordination/ingress/entryRoster.js";
import type { PeerEntry } from "../../src/coordination/ingress/gossipSchedule.js";
import { createIngressLog } from "../../src/coordination/ingress/ingressLog.js";
import type { PermitDecision } from "../../src/coordination/ingress/requestPermits.js";
import { createStatedLimits, type StatedLimits } from "../../src/coordination/ingress/statedLimits.js";
import {
    createUpstreamLimits,
    type PermitQuestion,
    type UpstreamLimits,
} from "../../src/coordination/ingress/upstreamLimits.js";
import { createMetrics } from "../../src/coordination/metrics.js";
import { seededRandom } from "./random.js";
import { type SteppedClock, steppedClock } from "./steppedClock.js";
import { listedUpstream } from "./upstreams.js";

export type LimitFleetOptions = {
    entries: number;
    upstreams: number;
    /** Of all entries together. */
    requestsPerSecond: number;
    seed?: number;
};

export type LimitFleet = {
    clock: SteppedClock;
    /** Lets the first `count` upstreams state a limit, undefined for none, in all further responses. */
    stateLimits: (count: number, requestsPerSecond: number | undefined) => void;
    /** Arrivals at each upstream, in milliseconds by the clock. */
    arrivals: number[][];
    /** Number of requests that found no upstream. */
    refused: () => number;
    /** Calls from one entry to another. */
    asked: () => number;
    /** Plays the callers' requests for `milliseconds`. */
    play: (milliseconds: number) => Promise<void>;
    /** Divides the entries into parts that don't reach each other, by the number of each entry's part. */
    partition: (partOf: (entry: number) => number) => void;
    freeze: (entry: number, isFrozen: boolean) => void;
    /** Starts an entry with empty memory. */
    restart: (entry: number) => void;
    stop: () => void;
};

const zones = ["kuopio", "varkaus", "iisalmi"];
const networkMilliseconds = 1;
const answerTimeoutMilliseconds = 100;
const responseMilliseconds = 60;
/** How late entries hear of each other. */
const gossipMilliseconds = 300;
const stepMilliseconds = 5;
const deniedUntilUnlimited = 2;
const maximumTries = 6;

type EntryModel = {
    peer: PeerEntry;
    stated: StatedLimits;
    roster: EntryRoster;
    limits: UpstreamLimits;
    isFrozen: boolean;
};

export const startLimitFleet = (options: LimitFleetOptions): LimitFleet => {
    const { requestsPerSecond, seed = 1 } = options;
    const random = seededRandom(seed);
    const clock = steppedClock(0);
    const end = new AbortController();
    setMaxListeners(0, end.signal);
    const log = createIngressLog(() => undefined, clock);
    const peers: PeerEntry[] = [...Array(options.entries).keys()].map(index => ({
        host: `entry-${String(index).padStart(2, "0")}`,
        availabilityZone: zones[index % zones.length] as string,
        address: String(index),
    }));
    const upstreams = [...Array(options.upstreams).keys()].map(index =>
        listedUpstream({ id: `u${index}`, availabilityZone: zones[index % zones.length] as string })
    );
    const arrivals: number[][] = upstreams.map(() => []);
    const statedByUpstream: (number | undefined)[] = upstreams.map(() => undefined);
    let partOf: (entry: number) => number = () => 0;
    let refusedCount = 0;
    let askedCount = 0;

    const isReachable = (from: number, to: number): boolean =>
        partOf(from) === partOf(to) && entries[to]?.isFrozen === false;

    const ask = async (
        from: number,
        owner: string,
        question: PermitQuestion,
    ): Promise<Result<PermitDecision, string>> => {
        const to = peers.findIndex(({ host }) => host === owner);
        askedCount += 1;
        if (!isReachable(from, to)) {
            await clock.sleep(answerTimeoutMilliseconds, end.signal);
            return err("timed out");
        }
        await clock.sleep(networkMilliseconds, end.signal);
        const decision = entries[to]?.limits.answer(question);
        await clock.sleep(networkMilliseconds, end.signal);
        return decision === undefined ? err("no such entry") : ok(decision);
    };

    const startEntry = (index: number): EntryModel => {
        const peer = peers[index] as PeerEntry;
        const stated = createStatedLimits(clock, log);
        const knownEntries = new Map(peers.filter(other => other !== peer).map(other => [other.host, other]));
        const roster = createEntryRoster({ ...peer, knownEntries, clock });
        const limits = createUpstreamLimits({
            host: peer.host,
            stated,
            roster,
            upstreams: () => upstreams,
            ask: (owner, question) => ask(index, owner, question),
            clock,
            log,
            metrics: createMetrics(),
        });
        return { peer, stated, roster, limits, isFrozen: false };
    };
    const entries: EntryModel[] = [...peers.keys()].map(startEntry);

    /** Chooses among the open upstreams as the schedulers do, at random where they go by load. */
    const choose = (limits: UpstreamLimits, prefersUnlimited: boolean): number | undefined => {
        const open = [...upstreams.keys()].filter(index =>
            limits.millisecondsUntilOpen(upstreams[index] as typeof upstreams[number]) <= 0
        );
        const unlimited = open.filter(index => !limits.isLimited(upstreams[index] as typeof upstreams[number]));
        const among = prefersUnlimited && unlimited.length > 0 ? unlimited : open;
        return among[Math.floor(random() * among.length)];
    };

    const request = async (entry: EntryModel): Promise<void> => {
        for (let tries = 0; tries < maximumTries; tries += 1) {
            const index = choose(entry.limits, tries >= deniedUntilUnlimited);
            const upstream = upstreams[index ?? -1];
            if (index === undefined || upstream === undefined) {
                break;
            }
            if (await entry.limits.take(upstream, end.signal)) {
                arrivals[index]?.push(clock.now());
                const sentAt = clock.now();
                await clock.sleep(responseMilliseconds, end.signal);
                const stated = statedByUpstream[index];
                if (stated === undefined) {
                    entry.stated.recordNone(upstream, sentAt);
                }
                else {
                    entry.stated.record(upstream, String(stated));
                }
                return;
            }
        }
        refusedCount += 1;
    };

    const gossip = async (): Promise<void> => {
        while (!end.signal.aborted) {
            const statuses = entries.map(({ peer, limits, isFrozen }) => ({
                peer,
                isFrozen,
                statements: limits.statementsToGossip(),
            }));
            await clock.sleep(gossipMilliseconds, end.signal);
            entries.forEach(({ roster, stated }, to) =>
                statuses.forEach(({ peer, isFrozen, statements }, from) => {
                    if (from !== to && !isFrozen && isReachable(from, to)) {
                        roster.recordHeard([peer]);
                        const aged = Object.entries(statements).map(([id, statement]) => [
                            id,
                            { ...statement, ageMilliseconds: statement.ageMilliseconds + gossipMilliseconds },
                        ]);
                        stated.merge(Object.fromEntries(aged));
                    }
                })
            );
        }
    };
    void gossip();

    /** The balancer before the entries spreads unevenly: the first entries get up to three times what the last get. */
    const chooseEntry = (): number => Math.floor(entries.length * random() ** 1.5);

    return {
        clock,
        stateLimits: (count, limit) => {
            statedByUpstream.fill(limit, 0, count);
        },
        arrivals,
        refused: () => refusedCount,
        asked: () => askedCount,
        play: async milliseconds => {
            const perStep = requestsPerSecond * stepMilliseconds / 1_000;
            for (let step = 0; step < milliseconds / stepMilliseconds; step += 1) {
                for (let due = perStep; random() < due; due -= 1) {
                    const entry = entries[chooseEntry()] as EntryModel;
                    if (!entry.isFrozen) {
                        void request(entry);
                    }
                }
                await clock.advance(stepMilliseconds);
            }
        },
        partition: nextPartOf => {
            partOf = nextPartOf;
        },
        freeze: (entry, isFrozen) => {
            (entries[entry] as EntryModel).isFrozen = isFrozen;
        },
        restart: entry => {
            entries[entry] = startEntry(entry);
        },
        stop: () => end.abort(),
    };
};
