/**
 * Many entries on one store: their combined call rate must stay low, and each must detect changes, outages and hanging
 * polls in time.
 */
import { expect } from "chai";
import { err, ok } from "neverthrow";
import { setMaxListeners } from "node:events";
import {
    type DeploymentFeed,
    type DeploymentFollower,
    type FeedRecord,
    type FeedTopic,
    followDeployment,
} from "../../src/coordination/ingress/deploymentFeed.js";
import { createDeploymentState, type DeploymentState } from "../../src/coordination/ingress/deploymentState.js";
import { createIngressLog } from "../../src/coordination/ingress/ingressLog.js";
import { createStoreMonitor, type StoreMonitor } from "../../src/coordination/ingress/storeMonitor.js";
import { type SteppedClock, steppedClock } from "../support/steppedClock.js";
import { listedUpstream } from "../support/upstreams.js";

const entries = 12;
const callMilliseconds = 4;
/** Timeout of a call without a response, as in the store client. */
const answerTimeoutMilliseconds = 900;

const upstream = (index: number): FeedRecord => ({ kind: "upstream", upstream: listedUpstream({ id: `u${index}` }) });

type Fleet = {
    clock: SteppedClock;
    append: (record: FeedRecord) => void;
    states: DeploymentState[];
    monitors: StoreMonitor[];
    callsMade: () => number;
    /** From now on, the store refuses calls of the entry. */
    refuseCalls: (entry: number) => void;
    /** Running polls of the entry get no response; new calls do. */
    hangPolls: (entry: number) => void;
    /** Deletes the history of the list; a full read still returns the newest record of each key. */
    dropHistory: () => void;
    kill: (entry: number) => void;
    stop: () => void;
};

/** Simulates entries on one store; each sends its status to the others every 0.1 s, with a delay of one millisecond. */
const startFleet = (isSharing: boolean): Fleet => {
    const clock = steppedClock(0);
    const log = createIngressLog(() => undefined, clock);
    const end = new AbortController();
    setMaxListeners(0, end.signal);
    const list: FeedRecord[] = [];
    const refusedEntries = new Set<number>();
    const pollsHungAt = new Map<number, number>();
    let callsMade = 0;
    let firstOffset = 0;
    const lifetimes = Array.from({ length: entries }, () => new AbortController());
    lifetimes.forEach(({ signal }) => setMaxListeners(0, signal));
    const states = lifetimes.map(() => createDeploymentState(clock, log));
    const monitors = lifetimes.map((lifetime, index) => createStoreMonitor(clock, () => isSharing ? index : 0));
    const followers: DeploymentFollower[] = [];

    const publishStatus = async (from: number): Promise<void> => {
        const readStatus = monitors[from]?.readStatus();
        await clock.sleep(1, end.signal);
        monitors.forEach((monitor, to) => {
            if (isSharing && readStatus !== undefined && to !== from && lifetimes[to]?.signal.aborted === false) {
                monitor.recordPeerStatus(readStatus);
                followers[to]?.checkPeerOffsets();
            }
        });
    };

    const recordsOf = (topic: FeedTopic): FeedRecord[] => topic === "operator" ? [] : list;
    const noAnswer = (reason: string) => err({ kind: "unavailable" as const, reason });

    const feedOf = (entry: number): DeploymentFeed => {
        const read = async (topic: FeedTopic, offset: number, waitMilliseconds: number, signal: AbortSignal) => {
            const askedAt = clock.now();
            callsMade += 1;
            await clock.sleep(callMilliseconds, signal);
            const isWaiting = (): boolean => clock.now() - askedAt < waitMilliseconds && !signal.aborted;
            const isSilent = (): boolean => (pollsHungAt.get(entry) ?? -1) >= askedAt;
            while (isWaiting() && (recordsOf(topic).length <= offset || isSilent())) {
                await clock.sleep(10, signal);
            }
            if (refusedEntries.has(entry) || signal.aborted) {
                return noAnswer("refused or ended");
            }
            if (isSilent()) {
                await clock.sleep(answerTimeoutMilliseconds, signal);
                return noAnswer("no answer in time");
            }
            const records = recordsOf(topic).slice(offset);
            return ok({ records, nextOffset: offset + records.length });
        };
        return {
            readAll: (topic, signal) => read(topic, 0, 0, signal),
            readNewer: async (topic, offset, waitMilliseconds, signal) => {
                const slice = await read(topic, offset, waitMilliseconds, signal);
                const isDropped = topic === "upstreams" && offset < firstOffset;
                return isDropped ? err({ kind: "truncated" as const, reason: "deleted" }) : slice;
            },
        };
    };

    lifetimes.forEach(({ signal }, entry) => {
        followers.push(followDeployment({
            feed: feedOf(entry),
            sink: states[entry] as DeploymentState,
            storeMonitor: monitors[entry] as StoreMonitor,
            onStoreContact: () => void publishStatus(entry),
            clock,
            log,
            random: () => 0.5,
            signal,
        }));
        const repeat = async (): Promise<void> => {
            while (!signal.aborted) {
                await clock.sleep(100, signal);
                void publishStatus(entry);
            }
        };
        void repeat();
    });
    return {
        clock,
        append: record => list.push(record),
        states,
        monitors,
        callsMade: () => callsMade,
        refuseCalls: entry => refusedEntries.add(entry),
        dropHistory: () => {
            firstOffset = list.length;
        },
        hangPolls: entry => pollsHungAt.set(entry, clock.now()),
        kill: entry => lifetimes[entry]?.abort(),
        stop: () => {
            end.abort();
            lifetimes.forEach(lifetime => lifetime.abort());
        },
    };
};

const knows = (state: DeploymentState, id: string): boolean => state.all().some(known => known.id === id);

describe("store monitoring by many entries", () => {
    const callsPerSecond = async (isSharing: boolean): Promise<number> => {
        const fleet = startFleet(isSharing);
        await fleet.clock.advance(3_000);
        const before = fleet.callsMade();
        await fleet.clock.advance(25_000);
        fleet.stop();
        return (fleet.callsMade() - before) / 25;
    };

    it("makes fewer than 3 calls a second in total if entries share their status", async () => {
        expect(await callsPerSecond(false)).to.be.greaterThan(14);
        expect(await callsPerSecond(true)).to.be.lessThan(3);
    });

    const removalMilliseconds = async (injectFault: (fleet: Fleet) => void): Promise<number> => {
        const fleet = startFleet(true);
        fleet.append(upstream(1));
        await fleet.clock.advance(4_000);
        injectFault(fleet);
        fleet.append({ kind: "upstream-gone", id: "u1" });
        const startedAt = fleet.clock.now();
        while (fleet.states.some(state => knows(state, "u1")) && fleet.clock.now() - startedAt < 20_000) {
            await fleet.clock.advance(10);
        }
        fleet.stop();
        return fleet.clock.now() - startedAt;
    };

    it("delivers the removal of an upstream to all entries within 0.1 s", async () => {
        expect(await removalMilliseconds(() => undefined)).to.be.lessThan(100);
    });

    it("delivers it within a second to entries whose polls hang on dead connections", async () => {
        expect(await removalMilliseconds(fleet => [0, 3, 7].forEach(fleet.hangPolls))).to.be.lessThan(1_000);
    });

    it("delivers it even if the history is deleted while all polls hang, with about two calls per entry", async () => {
        let callsBefore = 0;
        let fleet: Fleet | undefined;
        const durationMilliseconds = await removalMilliseconds(started => {
            fleet = started;
            [...started.states.keys()].forEach(started.hangPolls);
            callsBefore = started.callsMade();
            started.append(upstream(2));
            started.append(upstream(3));
            void started.clock.sleep(1, AbortSignal.timeout(10_000)).then(started.dropHistory);
        });
        expect(durationMilliseconds).to.be.lessThan(1_500);
        expect((fleet?.callsMade() ?? Infinity) - callsBefore).to.be.at.most(2 * entries + 12);
    });

    it("lets an entry that the store refuses know whether it has missed records", async () => {
        const fleet = startFleet(true);
        await fleet.clock.advance(3_000);
        fleet.refuseCalls(5);
        await fleet.clock.advance(5_000);
        expect(fleet.clock.now() - (fleet.monitors[5]?.lastContact() ?? -Infinity)).to.be.lessThan(1_000);
        fleet.append(upstream(2));
        await fleet.clock.advance(3_000);
        expect(fleet.clock.now() - (fleet.monitors[5]?.lastContact() ?? -Infinity)).to.be.greaterThan(2_000);
        fleet.stop();
    });

    it("detects a store outage within two seconds, even if several entries die with it", async () => {
        const fleet = startFleet(true);
        fleet.append(upstream(1));
        await fleet.clock.advance(3_000);
        [0, 1, 2].forEach(fleet.kill);
        const living = [...fleet.states.keys()].slice(3);
        living.forEach(fleet.refuseCalls);
        await fleet.clock.advance(2_000);
        // An entry that has detected the outage keeps upstreams whose records expire.
        living.forEach(entry => {
            fleet.states[entry]?.apply([{ kind: "upstream-gone", id: "u1" }]);
            expect(knows(fleet.states[entry] as DeploymentState, "u1"), `entry ${entry}`).to.equal(true);
        });
        fleet.stop();
    });
});
