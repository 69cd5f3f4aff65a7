/**
 * What many entries spend on the store together, and how soon each notices a change, an outage or a hanging poll.
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
/** After this long an unanswered call is taken for lost, as by the store's client. */
const answerTimeoutMilliseconds = 900;

const upstream = (index: number): FeedRecord => ({ kind: "upstream", upstream: listedUpstream({ id: `u${index}` }) });

type Fleet = {
    clock: SteppedClock;
    append: (record: FeedRecord) => void;
    states: DeploymentState[];
    watches: StoreMonitor[];
    callsMade: () => number;
    /** Calls of the entry are refused from now on. */
    turnAway: (entry: number) => void;
    /** Polls under way of the entry get no answer; new calls do. */
    silence: (entry: number) => void;
    /** Deletes the records of the list; the newest of each key is still to be had. */
    dropHistory: () => void;
    kill: (entry: number) => void;
    stop: () => void;
};

/** Entries on one store; what one tells arrives at the others a millisecond later, and is told anew every 0.1 s. */
const startFleet = (isSharing: boolean): Fleet => {
    const clock = steppedClock(0);
    const log = createIngressLog(() => undefined, clock);
    const end = new AbortController();
    setMaxListeners(0, end.signal);
    const list: FeedRecord[] = [];
    const refusedEntries = new Set<number>();
    const silences = new Map<number, number>();
    let callsMade = 0;
    let firstOffset = 0;
    const lives = Array.from({ length: entries }, () => new AbortController());
    lives.forEach(({ signal }) => setMaxListeners(0, signal));
    const states = lives.map(() => createDeploymentState(clock, log));
    const watches = lives.map((life, index) => createStoreMonitor(clock, () => isSharing ? index : 0));
    const followers: DeploymentFollower[] = [];

    const tell = async (from: number): Promise<void> => {
        const readStatus = watches[from]?.readStatus();
        await clock.sleep(1, end.signal);
        watches.forEach((watch, to) => {
            if (isSharing && readStatus !== undefined && to !== from && lives[to]?.signal.aborted === false) {
                watch.recordPeerStatus(readStatus);
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
            const isSilent = (): boolean => (silences.get(entry) ?? -1) >= askedAt;
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

    lives.forEach(({ signal }, entry) => {
        followers.push(followDeployment({
            feed: feedOf(entry),
            sink: states[entry] as DeploymentState,
            storeMonitor: watches[entry] as StoreMonitor,
            onStoreContact: () => void tell(entry),
            clock,
            log,
            random: () => 0.5,
            signal,
        }));
        const repeat = async (): Promise<void> => {
            while (!signal.aborted) {
                await clock.sleep(100, signal);
                void tell(entry);
            }
        };
        void repeat();
    });
    return {
        clock,
        append: record => list.push(record),
        states,
        watches,
        callsMade: () => callsMade,
        turnAway: entry => refusedEntries.add(entry),
        dropHistory: () => {
            firstOffset = list.length;
        },
        silence: entry => silences.set(entry, clock.now()),
        kill: entry => lives[entry]?.abort(),
        stop: () => {
            end.abort();
            lives.forEach(life => life.abort());
        },
    };
};

const knows = (state: DeploymentState, id: string): boolean => state.all().some(known => known.id === id);

describe("calls of many entries to the store", () => {
    const callsPerSecond = async (isSharing: boolean): Promise<number> => {
        const fleet = startFleet(isSharing);
        await fleet.clock.run(3_000);
        const before = fleet.callsMade();
        await fleet.clock.run(25_000);
        fleet.stop();
        return (fleet.callsMade() - before) / 25;
    };

    it("cost little more than those of one entry", async () => {
        expect(await callsPerSecond(false)).to.be.greaterThan(14);
        expect(await callsPerSecond(true)).to.be.lessThan(3);
    });

    const learnsWithin = async (disturb: (fleet: Fleet) => void): Promise<number> => {
        const fleet = startFleet(true);
        fleet.append(upstream(1));
        await fleet.clock.run(4_000);
        disturb(fleet);
        fleet.append({ kind: "upstream-gone", id: "u1" });
        const startedAt = fleet.clock.now();
        while (fleet.states.some(state => knows(state, "u1")) && fleet.clock.now() - startedAt < 20_000) {
            await fleet.clock.run(10);
        }
        fleet.stop();
        return fleet.clock.now() - startedAt;
    };

    it("show every entry at once that an upstream has left", async () => {
        expect(await learnsWithin(() => undefined)).to.be.lessThan(100);
    });

    it("show it within a second also to entries whose polls hang on silent connections", async () => {
        expect(await learnsWithin(fleet => [0, 3, 7].forEach(fleet.silence))).to.be.lessThan(1_000);
    });

    it("show it also when the history is dropped while every poll hangs, at no more calls than two an entry", async () => {
        let callsBefore = 0;
        let fleet: Fleet | undefined;
        const took = await learnsWithin(started => {
            fleet = started;
            [...started.states.keys()].forEach(started.silence);
            callsBefore = started.callsMade();
            started.append(upstream(2));
            started.append(upstream(3));
            void started.clock.sleep(1, AbortSignal.timeout(10_000)).then(started.dropHistory);
        });
        expect(took).to.be.lessThan(1_500);
        expect((fleet?.callsMade() ?? Infinity) - callsBefore).to.be.at.most(2 * entries + 12);
    });

    it("tell an entry that is turned away that it missed nothing", async () => {
        const fleet = startFleet(true);
        await fleet.clock.run(3_000);
        fleet.turnAway(5);
        await fleet.clock.run(5_000);
        expect(fleet.clock.now() - (fleet.watches[5]?.lastContact() ?? -Infinity)).to.be.lessThan(1_000);
        fleet.append(upstream(2));
        await fleet.clock.run(3_000);
        expect(fleet.clock.now() - (fleet.watches[5]?.lastContact() ?? -Infinity)).to.be.greaterThan(2_000);
        fleet.stop();
    });

    it("show all entries within two seconds that the store is gone, whoever dies with it", async () => {
        const fleet = startFleet(true);
        fleet.append(upstream(1));
        await fleet.clock.run(3_000);
        [0, 1, 2].forEach(fleet.kill);
        const living = [...fleet.states.keys()].slice(3);
        living.forEach(fleet.turnAway);
        await fleet.clock.run(2_000);
        // An entry that took the store for gone keeps what lapses until shortly after its return.
        living.forEach(entry => {
            fleet.states[entry]?.apply([{ kind: "upstream-gone", id: "u1" }]);
            expect(knows(fleet.states[entry] as DeploymentState, "u1"), `entry ${entry}`).to.equal(true);
        });
        fleet.stop();
    });
});
