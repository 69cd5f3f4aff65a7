/**
 * Plays unary requests that many entries place on the servers of one service, and checks that each server gets its share:
 * also one that was slow for a while, and one that came back.
 */
import { expect } from "chai";
import { startUnaryLoadModel, type UnaryLoad } from "../support/unaryLoadModel.js";

type Deployment = Omit<UnaryLoad, "load">;

const deployments: Deployment[] = [
    { entries: 1, servers: 2, tellMilliseconds: 100 },
    { entries: 5, servers: 8, tellMilliseconds: 100 },
    { entries: 9, servers: 3, tellMilliseconds: 100 },
    { entries: 44, servers: 4, tellMilliseconds: 200 },
    { entries: 44, servers: 30, tellMilliseconds: 200 },
    { entries: 99, servers: 5, tellMilliseconds: 300 },
];
/** The deployments in use run at the lowest of these on quiet days. */
const loads = [0.03, 0.3, 0.7];

/** Time in which each server gets a hundred requests, so that chance alone moves its share by a tenth. */
const windowMilliseconds = (load: number): number => Math.max(3_000, 1_000 / load);

const sum = (counts: number[]): number => counts.reduce((total, count) => total + count, 0);
const busiestOverMean = (counts: number[]): number => Math.max(...counts) / (sum(counts) / counts.length);
/** What one server got, as a share of what it would get of an even spread. */
const shareOf = (counts: number[], server: number): number => (counts[server] ?? 0) / (sum(counts) / counts.length);

const forEachLoad = (check: (load: UnaryLoad, title: string) => void): void =>
    deployments.forEach(deployment =>
        loads.forEach(load =>
            check(
                { ...deployment, load },
                `${deployment.entries} entries, ${deployment.servers} servers, load ${load}`,
            )
        )
    );

describe("placing of unary requests by many entries", () => {
    forEachLoad((load, title) => {
        it(`uses equal servers alike, at any time (${title})`, () => {
            const model = startUnaryLoadModel(load);
            model.play(2_000);
            model.takeArrivals();
            for (let window = 0; window < 3; window += 1) {
                model.play(windowMilliseconds(load.load));
                expect(busiestOverMean(model.takeArrivals())).to.be.at.most(1.5);
            }
        }).timeout(60_000);

        it(`tries a server again that was slow for a second (${title})`, () => {
            const model = startUnaryLoadModel(load);
            model.slowDown(0, 8);
            model.play(1_000);
            model.slowDown(0, 1);
            model.play(4_000);
            model.takeArrivals();
            model.play(windowMilliseconds(load.load));
            expect(shareOf(model.takeArrivals(), 0)).to.be.within(0.5, 1.5);
        }).timeout(60_000);

        it(`gives a server that came back its share, neither nothing nor everything (${title})`, () => {
            const model = startUnaryLoadModel(load);
            model.play(2_000);
            model.takeAway(0);
            model.play(2_000);
            model.comeBack(0);
            model.takeArrivals();
            model.play(windowMilliseconds(load.load) / 3);
            expect(shareOf(model.takeArrivals(), 0), "at first").to.be.at.most(2);
            model.play(windowMilliseconds(load.load));
            expect(shareOf(model.takeArrivals(), 0), "after that").to.be.within(0.5, 1.5);
        }).timeout(60_000);
    });

    forEachLoad((load, title) => {
        if (load.load < 0.3) {
            return;
        }
        it(`spares a server that is slow, and keeps waits short (${title})`, () => {
            const model = startUnaryLoadModel(load);
            model.play(4_000);
            expect(model.takeMeanWait()).to.be.at.most(30);
            model.slowDown(0, 4);
            model.play(2_000);
            model.takeArrivals();
            model.play(4_000);
            expect(shareOf(model.takeArrivals(), 0)).to.be.at.most(0.6);
        });
    });
});
