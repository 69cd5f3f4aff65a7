/**
 * The first expert map of large groups, whose coordinator has a narrow link, on a stepped clock.
 */
import { expect } from "chai";
import { err, ok } from "neverthrow";
import { setMaxListeners } from "node:events";
import { createGroupCoordinator } from "../../src/coordination/experts/groupCoordinator.js";
import type { EngineOrder, RankEngines } from "../../src/coordination/experts/rankEngine.js";
import { type RelayPrepare, withRelayedMaps } from "../../src/coordination/experts/relayedMaps.js";
import { createIngressLog } from "../../src/coordination/ingress/ingressLog.js";
import { createMetrics } from "../../src/coordination/metrics.js";
import { decodeMap, encodeMap } from "../../src/protocol/mapRelayRouter.js";
import { splitAddress } from "../../src/transport/address.js";
import { createMapRelay, serveMapRelay } from "../../src/transport/experts/mapRelay.js";
import { startLockstepGroup } from "../support/lockstepGroup.js";
import { seededRandom } from "../support/random.js";
import { startSharedLink } from "../support/sharedLink.js";
import { steppedClock } from "../support/steppedClock.js";

const ranks = 96;
const shape = { layers: 16, experts: 192, placesPerRank: 3, newPerMap: 2, loadMilliseconds: 18 };
const linkMegabitsPerSecond = 4.2;
const headerBytes = 300;
const orderTimeoutMilliseconds = 250;
const prepareTimeoutMilliseconds = 2_000;
const relayTimeoutMilliseconds = 2_500;

/** Plays a group under skewed demand; returns when its first map is in force, in milliseconds, if that is soon. */
const playFirstMap = async (silentAgents: ReadonlySet<number>): Promise<number | undefined> => {
    const random = seededRandom(1);
    const clock = steppedClock(0);
    const end = new AbortController();
    setMaxListeners(0, end.signal);
    const noFaults = { unansweredProbability: 0, lateExecutionProbability: 0 };
    const group = startLockstepGroup(ranks, noFaults, clock, random, end.signal);
    const link = startSharedLink(linkMegabitsPerSecond, clock, end.signal);

    const bytesOf = (order: EngineOrder): number => headerBytes + JSON.stringify(order).length;
    const engines: RankEngines = {
        ...group.engines,
        order: async (engine, epoch, order, signal) => {
            const timeout = order.kind === "prepare" ? prepareTimeoutMilliseconds : orderTimeoutMilliseconds;
            const isLocal = engine === group.addresses[0];
            return isLocal || await link.send(bytesOf(order), timeout)
                ? group.engines.order(engine, epoch, order, signal)
                : err("timed out");
        },
    };
    const relay: RelayPrepare = async (engine, epoch, { version, map }, signal) => {
        const encoded = encodeMap(map);
        if (silentAgents.has(group.addresses.indexOf(engine))) {
            await clock.sleep(relayTimeoutMilliseconds, end.signal);
            return err("timed out");
        }
        if (!await link.send(headerBytes + encoded.length, relayTimeoutMilliseconds)) {
            return err("timed out");
        }
        const order = { kind: "prepare" as const, version, map: decodeMap(encoded)._unsafeUnwrap() };
        return group.engines.order(engine, epoch, order, signal);
    };
    const coordinator = createGroupCoordinator({
        ownRank: 0,
        ranks,
        shape,
        engines: withRelayedMaps(engines, group.addresses[0] as string, relay),
        members: () => group.addresses,
        clock,
        timeOfDaySeconds: () => 1_800_000_000 + Math.floor(clock.now() / 1_000),
        log: createIngressLog(() => undefined, clock),
        metrics: createMetrics(),
        signal: end.signal,
    });
    void coordinator.run(() => true);
    const popularity = Array.from({ length: shape.layers * shape.experts }, () => random() ** 6 * 30);
    const counts = [...Array(ranks).keys()].map(() => popularity.map(() => 0));
    let inForceAfter: number | undefined;
    while (inForceAfter === undefined && clock.now() < 12_000) {
        counts.forEach((row, rank) => {
            popularity.forEach((share, index) => row[index] = (row[index] ?? 0) + share * (0.5 + random()));
            const report = group.report(rank);
            const engine = group.addresses[rank] as string;
            coordinator.receiveUpdate({ report, engine, step: report.step, counts: [...row] });
        });
        await clock.advance(300);
        inForceAfter = group.report(0).mapInForce > 0 ? clock.now() : undefined;
    }
    expect(group.violations).to.deep.equal([]);
    end.abort();
    return inForceAfter;
};

describe("a map on its way through an agent", () => {
    it("reaches the engine beside the agent whole, with its epoch and version", async () => {
        const map = [[[0, 2], [1]], [[1], [0, 2]]];
        const received: unknown[] = [];
        const listener = await serveMapRelay("127.0.0.1:0", {
            prepare: async (...order) => {
                received.push(order);
                return received.length === 1 ? ok("done") : err("the engine doesn't answer");
            },
        });
        const relay = createMapRelay(splitAddress(listener.address).port);
        const prepare = () =>
            relay("127.0.0.1:9", 3, { kind: "prepare", version: 41, map }, AbortSignal.timeout(5_000));
        expect(await prepare()).to.deep.equal(ok("done"));
        expect((await prepare()).isErr()).to.equal(true);
        expect(received).to.deep.equal([[3, 41, map], [3, 41, map]]);
        await listener.close();
        expect((await prepare()).isErr()).to.equal(true);
    });
});

describe("the first expert map of a group of 96 ranks", () => {
    it("is in force within four seconds of the first counts on a link of 4.2 Mbit/s", async () => {
        expect(await playFirstMap(new Set())).to.be.at.most(4_000);
    }).timeout(60_000);

    it("reaches engines whose agents don't answer as well", async () => {
        expect(await playFirstMap(new Set([7, 40]))).to.be.at.most(8_000);
    }).timeout(60_000);
});
