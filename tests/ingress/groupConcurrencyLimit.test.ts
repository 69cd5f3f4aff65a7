/**
 * The limit on the streams of a group follows what the group bears, for small and large groups behind few and many
 * entries, under more callers than the group can serve.
 */
import { expect } from "chai";
import {
    createGroupConcurrencyLimit,
    type GroupConcurrencyLimit,
} from "../../src/coordination/ingress/groupConcurrencyLimit.js";
import { seededRandom } from "../support/random.js";

type Load = {
    entries: number;
    ranks: number;
    slotsPerRank: number;
    /** Streams at which the pause between two events reaches what callers accept, at a time in milliseconds. */
    borne: (now: number) => number;
};

const gapTargetMilliseconds = 150;
/** Duration of a pass without streams, as a share of the gap target. */
const emptyPassShare = 0.35;
const eventsOfStream = 17;

const mean = (values: number[]): number => values.reduce((sum, value) => sum + value, 0) / values.length;

/** Plays saturated entries; returns the running streams in all, as they are after each second. */
const playRunning = ({ entries, ranks, slotsPerRank, borne }: Load, seconds: number): number[] => {
    const random = seededRandom(1);
    let now = 0;
    const running = new Array<number>(entries).fill(0);
    const runningInAll = (): number => running.reduce((total, count) => total + count, 0);
    /** The limits that the entries told each other last. */
    let told: number[] = [];
    const limits: GroupConcurrencyLimit[] = [...Array(entries).keys()].map(index =>
        createGroupConcurrencyLimit({
            clock: { now: () => now },
            initialLimit: ranks * slotsPerRank * 0.55,
            runningOnAllEntries: runningInAll,
            peerLimit: () => {
                const others = told.filter((limit, other) => other !== index);
                return others.length === 0 ? undefined : mean(others);
            },
            maximumLimit: () => ranks * slotsPerRank,
        })
    );
    const bySecond: number[] = [];
    while (now < seconds * 1_000) {
        told = limits.map(limit => limit.limit());
        const load = runningInAll() / borne(now);
        const pause = gapTargetMilliseconds * (emptyPassShare + (1 - emptyPassShare) * load);
        now += pause;
        limits.forEach((limit, index) => {
            for (let stream = running[index] ?? 0; stream > 0; stream -= 1) {
                limit.recordPause(pause, gapTargetMilliseconds);
                if (random() < 1 / eventsOfStream) {
                    running[index] = (running[index] ?? 0) - 1;
                    limit.release();
                }
            }
        });
        for (let turn = 0; turn < ranks * slotsPerRank; turn += 1) {
            const index = Math.floor(random() * entries);
            const limit = limits[index];
            if (limit !== undefined && runningInAll() < Math.floor(limit.limit())) {
                running[index] = (running[index] ?? 0) + 1;
                limit.acquire();
            }
        }
        while (bySecond.length < Math.floor(now / 1_000)) {
            bySecond.push(runningInAll());
        }
    }
    return bySecond;
};

describe("the limit on the streams of a group", () => {
    for (const [entries, ranks, slotsPerRank] of [[1, 8, 8], [9, 8, 8], [44, 32, 7], [99, 96, 4]] as const) {
        const title = `${ranks} ranks, ${entries} entries`;
        const few = ranks * slotsPerRank * 0.4;

        it(`uses a group within eight seconds that has come to bear twice as much (${title})`, () => {
            const borne = (now: number): number => now < 8_000 ? few : 2 * few;
            const running = playRunning({ entries, ranks, slotsPerRank, borne }, 18);
            expect(mean(running.slice(15)) / (2 * few)).to.be.at.least(0.45);
        }).timeout(60_000);

        it(`spares a group within four seconds that bears half as much (${title})`, () => {
            const borne = (now: number): number => now < 8_000 ? 2 * few : few;
            const running = playRunning({ entries, ranks, slotsPerRank, borne }, 14);
            expect(Math.max(...running.slice(12))).to.be.at.most(few);
        }).timeout(60_000);

        it(`stays below what the group bears, and near it (${title})`, () => {
            const running = playRunning({ entries, ranks, slotsPerRank, borne: () => few }, 30);
            expect(Math.max(...running.slice(10)) / few).to.be.at.most(1);
            expect(mean(running.slice(10)) / few).to.be.at.least(0.6);
        }).timeout(60_000);
    }
});
