/**
 * How entries share the reads of the store's list, and what each still finds out by itself.
 */
import { expect } from "chai";
import { err, ok } from "neverthrow";
import { setMaxListeners } from "node:events";
import {
    type DeploymentFeed,
    type DeploymentFollower,
    type FeedRecord,
    followDeployment,
} from "../../src/coordination/ingress/deploymentFeed.js";
import { createDeploymentState, type DeploymentState } from "../../src/coordination/ingress/deploymentState.js";
import { createIngressLog } from "../../src/coordination/ingress/ingressLog.js";
import { createSharedReads, type SharedReads } from "../../src/coordination/ingress/sharedReads.js";
import type { Upstream } from "../../src/state/ingressTypes.js";
import { type SteppedClock, steppedClock } from "../support/steppedClock.js";

const entries = 12;
const upstreams = 16;
const heartbeatMilliseconds = 1_200;

const upstream = (index: number, isDraining: boolean): FeedRecord => ({
    kind: "upstream",
    upstream: {
        id: `u${index}`,
        service: "model",
        address: `10.0.0.${index}:1`,
        availabilityZone: "medina",
        slots: 8,
        isDraining,
        coldMilliseconds: 0,
        bornAt: 1,
        group: undefined,
    } satisfies Upstream,
});

type Fleet = {
    clock: SteppedClock;
    append: (record: FeedRecord) => void;
    states: DeploymentState[];
    reads: SharedReads[];
    readsMade: () => number;
    /** Entries that the store turns away from now on. */
    turnAway: (entry: number, isAway: boolean) => void;
    /** The store shows this many records less to the entry. */
    showOldCopy: (entry: number, records: number) => void;
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
    const away = new Set<number>();
    const behind = new Map<number, number>();
    let readsMade = 0;
    const lives = Array.from({ length: entries }, () => new AbortController());
    lives.forEach(({ signal }) => setMaxListeners(0, signal));
    const states = lives.map(() => createDeploymentState(clock, log));
    const reads = lives.map((life, index) => createSharedReads(clock, () => isSharing ? index : 0));
    const followers: DeploymentFollower[] = [];

    const tell = async (from: number): Promise<void> => {
        const news = reads[from]?.news();
        await clock.sleep(1, end.signal);
        reads.forEach((reader, to) => {
            if (isSharing && news !== undefined && to !== from && lives[to]?.signal.aborted === false) {
                reader.hear(news);
                followers[to]?.newsHeard();
            }
        });
    };

    const feedOf = (entry: number): DeploymentFeed => {
        const shown = (): FeedRecord[] => list.slice(0, list.length - (behind.get(entry) ?? 0));
        const answer = async (from: number) => {
            readsMade += 1;
            await clock.sleep(4, end.signal);
            return away.has(entry)
                ? err({ kind: "unavailable" as const, reason: "turned away" })
                : ok({ records: shown().slice(from), nextOffset: Math.max(from, shown().length) });
        };
        return {
            readAll: async topic => topic === "operator" ? ok({ records: [], nextOffset: 0 }) : answer(0),
            readNewer: async (topic, offset, waitMilliseconds, signal) => {
                if (topic === "upstreams") {
                    return answer(offset);
                }
                await clock.sleep(away.has(entry) ? 0 : waitMilliseconds, signal);
                return signal.aborted || away.has(entry)
                    ? err({ kind: "unavailable" as const, reason: "no answer" })
                    : ok({ records: [], nextOffset: offset });
            },
        };
    };

    lives.forEach(({ signal }, entry) => {
        followers.push(followDeployment({
            feed: feedOf(entry),
            sink: states[entry] as DeploymentState,
            reads: reads[entry] as SharedReads,
            onListRead: () => void tell(entry),
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
    const beat = async (): Promise<void> => {
        for (let index = 0; !end.signal.aborted; index = (index + 1) % upstreams) {
            list.push(upstream(index, false));
            await clock.sleep(heartbeatMilliseconds / upstreams, end.signal);
        }
    };
    void beat();
    return {
        clock,
        append: record => list.push(record),
        states,
        reads,
        readsMade: () => readsMade,
        turnAway: (entry, isAway) => isAway ? away.add(entry) : away.delete(entry),
        showOldCopy: (entry, records) => behind.set(entry, records),
        kill: entry => lives[entry]?.abort(),
        stop: () => {
            end.abort();
            lives.forEach(life => life.abort());
        },
    };
};

/** The id of a server of which only this list record tells. */
const left = (state: DeploymentState): boolean => !state.all().some(({ id }) => id === "u99");

describe("reads of the list of upstreams by many entries", () => {
    const readsPerSecond = async (isSharing: boolean): Promise<number> => {
        const fleet = startFleet(isSharing);
        await fleet.clock.run(3_000);
        const before = fleet.readsMade();
        await fleet.clock.run(10_000);
        fleet.stop();
        return (fleet.readsMade() - before) / 10;
    };

    it("cost little more than those of one entry", async () => {
        expect(await readsPerSecond(false)).to.be.greaterThan(14);
        expect(await readsPerSecond(true)).to.be.lessThan(3);
    });

    const learnsWithin = async (disturb: (fleet: Fleet) => void): Promise<number> => {
        const fleet = startFleet(true);
        fleet.append(upstream(99, false));
        await fleet.clock.run(4_000);
        disturb(fleet);
        fleet.append({ kind: "upstream-gone", id: "u99" });
        const startedAt = fleet.clock.now();
        const living = fleet.states.slice(2);
        while (!living.every(left) && fleet.clock.now() - startedAt < 20_000) {
            await fleet.clock.run(10);
        }
        fleet.stop();
        return fleet.clock.now() - startedAt;
    };

    it("show every entry within a second that an upstream has left", async () => {
        expect(await learnsWithin(() => undefined)).to.be.lessThan(1_000);
    });

    it("go on when those whose turn it is are killed, or are turned away by the store", async () => {
        expect(await learnsWithin(fleet => [0, 1].forEach(fleet.kill))).to.be.lessThan(1_200);
        expect(await learnsWithin(fleet => [0, 1].forEach(entry => fleet.turnAway(entry, true)))).to.be.lessThan(1_200);
    });

    it("don't take the word of one that is shown an old copy of the list", async () => {
        const copies = (fleet: Fleet): void => [0, 1].forEach(entry => fleet.showOldCopy(entry, 40));
        expect(await learnsWithin(copies)).to.be.lessThan(1_200);
    });

    it("tell an entry that is turned away that it missed nothing, and all of them that the store is gone", async () => {
        const fleet = startFleet(true);
        await fleet.clock.run(3_000);
        fleet.turnAway(5, true);
        await fleet.clock.run(5_000);
        const age = (entry: number): number => fleet.clock.now() - (fleet.reads[entry]?.lastContact() ?? -Infinity);
        expect(age(5)).to.be.lessThan(1_000);
        const all = [...fleet.states.keys()];
        all.forEach(entry => fleet.turnAway(entry, true));
        await fleet.clock.run(2_000);
        all.forEach(entry => expect(age(entry), `entry ${entry}`).to.be.greaterThan(1_000));
        fleet.stop();
    });
});
